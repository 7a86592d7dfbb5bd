"""A budget of repeats that all boxes share without a message.

The fleet may send, in any window, a share of all requests again, and some
more.  Each box uses that share of its own requests, and its even part of the
rest; so the sum holds whatever the others do.
"""

from collections import defaultdict, deque

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName

SAFETY_FACTOR = 0.8
"""Part of the budget that is used: a box counts requests as it sees them,
while those cut off on their way to it count for nobody."""

MIN_BOXES = 4
"""Assumed where a hub has not yet said how many boxes there are."""


class RetryBudget:
    """Counts requests and repeats by pool over a sliding window."""

    def __init__(self, share: float, extra: float, window: float, now: Clock) -> None:
        self.share = share
        self.extra = extra
        self.window = window
        self.now = now
        self.boxes = MIN_BOXES
        self.requests: dict[PoolName, deque[float]] = defaultdict(deque)
        self.retries: dict[PoolName, deque[float]] = defaultdict(deque)

    def fleet_fraction(self) -> float:
        """Return which part of the fleet's boxes this one is."""
        return 1 / max(self.boxes, MIN_BOXES)

    def count_request(self, pool: PoolName) -> None:
        """Count a caller's request."""
        requests = self.requests[pool]
        requests.append(self.now())
        _count_recent(requests, self.now() - self.window)

    def try_spend(self, pool: PoolName) -> bool:
        """Count a repeat if the budget has room for it."""
        horizon = self.now() - self.window
        requests = _count_recent(self.requests[pool], horizon)
        retries = _count_recent(self.retries[pool], horizon)
        allowed = self.share * requests + self.extra * self.fleet_fraction()
        if retries + 1 > allowed * SAFETY_FACTOR:
            return False
        self.retries[pool].append(self.now())
        return True


def _count_recent(times: deque[float], horizon: float) -> int:
    while times and times[0] < horizon:
        times.popleft()
    return len(times)
