"""Logging of one JSON object per line, through ``absl.logging``."""

import json
import logging as standard_logging
import sys
import threading
import time
from collections.abc import Mapping
from functools import lru_cache

from absl import flags, logging

from hitchdeck_core.log_output import BoundedOutput

_FIELDS = 'hitchdeck_fields'
_MS = 1000
_encode = json.JSONEncoder(default=str).encode


@lru_cache(maxsize=1)
def _format_second(second: int) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(second))


def _head_of_line(created: float, level: str, event: str) -> dict[str, object]:
    """Return the first fields of a line."""
    second = int(created)
    ms = int((created - second) * _MS)
    return {
        'time': f'{_format_second(second)}.{ms:03d}Z',
        'level': level,
        'event': event,
    }


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a line with time, level, event and the fields of the record."""
        line = {
            **_head_of_line(
                record.created, record.levelname.lower(), record.getMessage()
            ),
            **getattr(record, _FIELDS, {}),
        }
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return _encode(line)


class _Context:
    """What holds for every line of this process.

    Attributes
    ----------
    fields
        Fields that are added.
    handler
        Writes lines to standard output; ``None`` if they go to standard error, or none
        are written.
    """

    def __init__(self) -> None:
        self.fields: dict[str, object] = {}
        self.handler: standard_logging.StreamHandler[BoundedOutput] | None = None

    def write(self, level: int, event: str, fields: Mapping[str, object]) -> bool:
        """Write a line to standard output; return whether it was written.

        A record of the logging library, and its way through handlers, took two thirds
        of the time of a line.  Fields that cannot be encoded are left to the library,
        which reports them on standard error and does not raise.
        """
        if self.handler is None:
            return False
        name = standard_logging.getLevelName(level).lower()
        head = _head_of_line(time.time(), name, event)
        try:
            line = _encode({**head, **self.fields, **fields})
        except Exception:
            return False
        with _lock_of(self.handler):
            self.handler.stream.write(f'{line}\n')
            self.handler.stream.flush()
        return True


def _lock_of(handler: standard_logging.Handler) -> threading.RLock:
    """Return the lock that other records are written under."""
    assert handler.lock is not None
    return handler.lock


_context = _Context()


def set_up(**fields: object) -> None:
    """Log to standard error, with the given fields in every line."""
    _context.fields = fields
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
    handler.stream = BoundedOutput(sys.stdout.fileno())
    _context.handler = handler


def silence() -> None:
    """Disable logging, for programs whose output is something else."""
    _context.handler = None
    logging.set_verbosity(logging.FATAL)
    logging.get_absl_logger().setLevel(standard_logging.CRITICAL)


def _log(
    level: int,
    event: str,
    fields: Mapping[str, object],
    error: BaseException | None = None,
) -> None:
    if error is None and _context.write(level, event, fields):
        return
    logging.get_absl_logger().log(
        level,
        event,
        exc_info=error,
        extra={_FIELDS: {**_context.fields, **fields}},
    )


def info(event: str, **fields: object) -> None:
    """Log an event that is of interest to an operator."""
    _log(standard_logging.INFO, event, fields)


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator should investigate."""
    _log(standard_logging.WARNING, event, fields)


def failure(event: str, error: BaseException, **fields: object) -> None:
    """Log an error with its traceback."""
    _log(standard_logging.ERROR, event, fields, error)
