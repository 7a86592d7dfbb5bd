"""Logging of one JSON object per line, through ``absl.logging``."""

import json
import logging as standard_logging
import sys
import time
from collections.abc import Mapping

from absl import flags, logging

from hitchdeck_core.log_output import BoundedOutput

_FIELDS = 'hitchdeck_fields'


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a line with time, level, event and the fields of the record."""
        line = {
            'time': time.strftime(
                '%Y-%m-%dT%H:%M:%S',
                time.gmtime(record.created),
            )
            + f'.{int(record.msecs):03d}Z',
            'level': record.levelname.lower(),
            'event': record.getMessage(),
            **getattr(record, _FIELDS, {}),
        }
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class _Context:
    """Fields that are added to every line of this process."""

    def __init__(self) -> None:
        self.fields: dict[str, object] = {}


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


def silence() -> None:
    """Disable logging, for programs whose output is something else."""
    logging.set_verbosity(logging.FATAL)
    logging.get_absl_logger().setLevel(standard_logging.CRITICAL)


def _log(
    level: int,
    event: str,
    fields: Mapping[str, object],
    error: BaseException | None = None,
) -> None:
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
