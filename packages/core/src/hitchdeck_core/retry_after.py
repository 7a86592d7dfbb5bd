"""Parsing of the ``Retry-After`` header (RFC 9110, 10.2.3).

The standard allows whole seconds or a date.  Fractions of seconds are accepted as
well, since upstreams send them.
"""

import math
from email.utils import parsedate_to_datetime

from hitchdeck_core.clock import Clock, wall_seconds

RETRY_AFTER = 'Retry-After'

RETRY_AFTER_STATUSES = frozenset((429, 503))
"""Statuses with which ``Retry-After`` applies (RFC 9110, 10.2.3; RFC 6585, 4)."""

MAX_RETRY_AFTER_SECONDS = 2_147_483_647.0
"""Upper limit of the requested time: longer than any process runs, and small enough
to be added to a clock."""


def requested_backoff(status: int, header: str) -> float:
    """Return the backoff in seconds that a response asks for, 0 for none."""
    return parse_retry_after(header) if status in RETRY_AFTER_STATUSES else 0


def parse_retry_after(header: str, now: Clock = wall_seconds) -> float:
    """Return the seconds until the next attempt, 0 if the header gives none.

    A malformed header counts as absent; the response itself remains valid.

    Parameters
    ----------
    now
        Wall clock in Unix seconds, to which dates are relative.
    """
    try:
        seconds = _seconds(header.strip(), now)
    except (ValueError, OverflowError):
        # Neither a number nor an HTTP date.
        return 0
    return 0 if math.isnan(seconds) else min(MAX_RETRY_AFTER_SECONDS, max(0, seconds))


def _seconds(header: str, now: Clock) -> float:
    try:
        return float(header)
    except ValueError:
        # The HTTP date form.
        return parsedate_to_datetime(header).timestamp() - now()
