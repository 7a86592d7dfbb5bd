"""The header by which a server says when it wants to be asked again.

RFC 9110, 10.2.3: seconds, or a date.  Fractions of seconds are taken too, since
upstreams send them.
"""

import math
from email.utils import parsedate_to_datetime

from hitchdeck_core.clock import Clock, wall_seconds

RETRY_AFTER = 'Retry-After'

TURNED_AWAY = frozenset((429, 503))
"""Answers in which the header asks for a pause (RFC 9110, 10.2.3; RFC 6585, 4)."""

LONGEST_SECONDS = 2_147_483_647.0
"""Cap on what is asked for: longer than any process runs, and a number that can
be added to a clock."""


def pause_asked(status: int, given: str) -> float:
    """Return for how many seconds an answer asks to be sent nothing, 0 for none."""
    return read_retry_after(given) if status in TURNED_AWAY else 0


def read_retry_after(given: str, now: Clock = wall_seconds) -> float:
    """Return the seconds until another try is wanted, 0 where none are told.

    What can't be read tells nothing, and is no reason to drop an answer.

    Parameters
    ----------
    now
        The time of day, in Unix seconds: dates are compared with it.
    """
    try:
        seconds = _seconds(given.strip(), now)
    except (ValueError, OverflowError):
        # Neither a number nor a date.
        return 0
    return 0 if math.isnan(seconds) else min(LONGEST_SECONDS, max(0, seconds))


def _seconds(given: str, now: Clock) -> float:
    try:
        return float(given)
    except ValueError:
        # The other form that the standard has.
        return parsedate_to_datetime(given).timestamp() - now()
