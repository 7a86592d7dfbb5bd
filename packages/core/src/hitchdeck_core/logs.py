"""Logging of one JSON object per line, through ``absl.logging``."""

import json
import logging as standard_logging
import sys
import threading
import time
from collections.abc import Mapping
from functools import lru_cache, partial

from absl import flags, logging

from hitchdeck_core.log_output import BoundedOutput

_FIELDS = 'hitchdeck_fields'
_MS = 1000

_encode = json.JSONEncoder(default=str).encode


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a line with time, level, event and the fields of the record."""
        fields = getattr(record, _FIELDS, {})
        if record.exc_info:
            fields = {**fields, 'error': self.formatException(record.exc_info)}
        return json_line(record.created, record.levelno, record.getMessage(), fields)


def json_line(
    created: float, level: int, event: str, fields: Mapping[str, object]
) -> str:
    """Return a line with time, level, event and fields, without a line end."""
    second = int(created)
    milliseconds = int((created - second) * _MS)
    line = {
        'time': f'{_second_text(second)}.{milliseconds:03d}Z',
        'level': standard_logging.getLevelName(level).lower(),
        'event': event,
        **fields,
    }
    return _encode(line)


@lru_cache(maxsize=1)
def _second_text(second: int) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(second))


class _Context:
    """Logging of this process.

    Attributes
    ----------
    fields
        Fields that are added to every line.
    output
        Where lines are written without a ``LogRecord``, or ``None``.
    """

    def __init__(self) -> None:
        self.fields: dict[str, object] = {}
        self.output: BoundedOutput | None = None
        self.lock = threading.Lock()


_context = _Context()


def set_up(**fields: object) -> None:
    """Log to standard error, with the given fields in every line."""
    _context.fields = fields
    _context.output = None
    # Without this, absl warns at startup that no flags were parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter())
    logging.set_stderrthreshold('info')
    logging.set_verbosity(logging.INFO)


def set_up_stdout(**fields: object) -> None:
    """Log to standard output without blocking on its reader."""
    set_up(**fields)
    logging.set_stderrthreshold('fatal')
    flags.FLAGS['logtostderr'].value = False
    handler = logging.get_absl_handler().python_handler
    _context.output = BoundedOutput(sys.stdout.fileno())
    handler.stream = _Locked(_context.output, _context.lock)


class _Locked:
    """The output as a stream for records of libraries, which share its limits."""

    def __init__(self, output: BoundedOutput, lock: threading.Lock) -> None:
        self.output = output
        self.lock = lock

    def write(self, text: str) -> None:
        """Write a line."""
        with self.lock:
            self.output.write(text)

    def flush(self) -> None:
        """Write as much as the reader accepts now."""
        with self.lock:
            self.output.flush()

    def close(self) -> None:
        """Flush."""
        self.flush()


def silence() -> None:
    """Disable logging, for programs whose output is something else."""
    _context.output = None
    logging.set_verbosity(logging.FATAL)
    logging.get_absl_logger().setLevel(standard_logging.CRITICAL)


def _log(
    level: int,
    event: str,
    fields: Mapping[str, object],
    error: BaseException | None = None,
) -> None:
    output = _context.output
    if output is not None and error is None:
        _write(output, level, event, fields)
        return
    logging.get_absl_logger().log(
        level,
        event,
        exc_info=error,
        extra={_FIELDS: {**_context.fields, **fields}},
    )


def _write(
    output: BoundedOutput, level: int, event: str, fields: Mapping[str, object]
) -> None:
    """Write a line without a ``LogRecord``, which takes half as long again."""
    with _context.lock:
        output.write_built(partial(_built_line, level, event, fields))
        output.flush()


def _built_line(level: int, event: str, fields: Mapping[str, object]) -> str:
    line = json_line(time.time(), level, event, {**_context.fields, **fields})
    return f'{line}\n'


def info(event: str, **fields: object) -> None:
    """Log an event that is of interest to an operator."""
    _log(standard_logging.INFO, event, fields)


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator should investigate."""
    _log(standard_logging.WARNING, event, fields)


def failure(event: str, error: BaseException, **fields: object) -> None:
    """Log an error with its traceback."""
    _log(standard_logging.ERROR, event, fields, error)
