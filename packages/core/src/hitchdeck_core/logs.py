"""Logging of one JSON object per line.

It uses the standard library alone: importing ``absl.logging`` took a tenth of the
processor time of a start.
"""

import json
import logging
import sys
import time
from collections.abc import Mapping
from typing import Any, TextIO

from hitchdeck_core.log_output import BoundedOutput

_FIELDS = 'hitchdeck_fields'


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
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
_logger = logging.getLogger('hitchdeck')
_handler: logging.StreamHandler[Any] = logging.StreamHandler()
_handler.setFormatter(JsonFormatter())


def set_up(**fields: object) -> None:
    """Log to standard error, with the given fields in every line."""
    _set_up(sys.stderr, fields)


def set_up_stdout(**fields: object) -> None:
    """Log to standard output without blocking on its reader."""
    _set_up(BoundedOutput(sys.stdout.fileno()), fields)


def silence() -> None:
    """Disable logging, for programs whose output is something else."""
    _logger.setLevel(logging.CRITICAL)


def _set_up(stream: TextIO | BoundedOutput, fields: dict[str, object]) -> None:
    _context.fields = fields
    _handler.setStream(stream)
    # The root logger, so that lines of libraries have the same form.
    logging.root.addHandler(_handler)
    logging.root.setLevel(logging.INFO)


def _log(
    level: int,
    event: str,
    fields: Mapping[str, object],
    error: BaseException | None = None,
) -> None:
    _logger.log(
        level,
        event,
        exc_info=error,
        extra={_FIELDS: {**_context.fields, **fields}},
    )


def info(event: str, **fields: object) -> None:
    """Log an event that is of interest to an operator."""
    _log(logging.INFO, event, fields)


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator should investigate."""
    _log(logging.WARNING, event, fields)


def failure(event: str, error: BaseException, **fields: object) -> None:
    """Log an error with its traceback."""
    _log(logging.ERROR, event, fields, error)
