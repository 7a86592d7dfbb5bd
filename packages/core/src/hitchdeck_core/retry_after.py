"""The header by which a server says when it wants to be asked again.

RFC 9110, 10.2.3: seconds, or a date.  Fractions of seconds are taken too, since
upstreams send them.
"""

import math
from email.utils import parsedate_to_datetime

from hitchdeck_core.clock import Clock, wall_seconds

RETRY_AFTER = 'Retry-After'

RETRY_AFTER_STATUSES = frozenset((429, 503))
"""Answers in which the header asks for a pause (RFC 9110, 10.2.3; RFC 6585, 4)."""

MAX_RETRY_AFTER_SECONDS = 2_147_483_647.0
"""Cap on what is asked for: longer than any process runs, and a number that can
be added to a clock."""


def requested_backoff(status: int, header: str) -> float:
    """Return for how many seconds an answer asks to be sent nothing, 0 for none."""
    return parse_retry_after(header) if status in RETRY_AFTER_STATUSES else 0


def parse_retry_after(header: str, now: Clock = wall_seconds) -> float:
    """Return the seconds until another try is wanted, 0 where none are told.

    What can't be read tells nothing, and is no reason to drop an answer.

    Parameters
    ----------
    now
        The time of day, in Unix seconds: dates are compared with it.
    """
    try:
        seconds = _seconds(header.strip(), now)
    except (ValueError, OverflowError):
        # Neither a number nor a date.
        return 0
    return 0 if math.isnan(seconds) else min(MAX_RETRY_AFTER_SECONDS, max(0, seconds))


def _seconds(header: str, now: Clock) -> float:
    try:
        return float(header)
    except ValueError:
        # The other form that the standard has.
        return parsedate_to_datetime(header).timestamp() - now()
