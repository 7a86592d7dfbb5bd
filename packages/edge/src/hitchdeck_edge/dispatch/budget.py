"""A budget of repeats that all boxes share without a message.

The fleet may send, in any window, a share of all requests again, and some
more.  Each box uses that share of its own requests, and its even part of the
rest; so the sum holds whatever the others do.
"""

from collections import defaultdict, deque

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName

CAUTION = 0.8
"""Part of the budget that is used: a box counts requests as it sees them,
while those cut off on their way to it count for nobody."""

FEWEST_BOXES = 4
"""Assumed where a hub has not yet said how many boxes there are."""


class RepeatBudget:
    """Counts requests and repeats by pool over a sliding window."""

    def __init__(self, share: float, extra: float, window: float, now: Clock) -> None:
        self.share = share
        self.extra = extra
        self.window = window
        self.now = now
        self.boxes = FEWEST_BOXES
        self.requests: dict[PoolName, deque[float]] = defaultdict(deque)
        self.repeats: dict[PoolName, deque[float]] = defaultdict(deque)

    def part_of_fleet(self) -> float:
        """Return which part of the fleet's boxes this one is."""
        return 1 / max(self.boxes, FEWEST_BOXES)

    def count(self, pool: PoolName) -> None:
        """Count a caller's request."""
        requests = self.requests[pool]
        requests.append(self.now())
        _recent(requests, self.now() - self.window)

    def take(self, pool: PoolName) -> bool:
        """Count a repeat if the budget has room for it."""
        horizon = self.now() - self.window
        requests = _recent(self.requests[pool], horizon)
        repeats = _recent(self.repeats[pool], horizon)
        allowed = self.share * requests + self.extra * self.part_of_fleet()
        if repeats + 1 > allowed * CAUTION:
            return False
        self.repeats[pool].append(self.now())
        return True


def _recent(times: deque[float], horizon: float) -> int:
    while times and times[0] < horizon:
        times.popleft()
    return len(times)
