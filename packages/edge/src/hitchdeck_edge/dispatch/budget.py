"""A retry budget that the boxes of a fleet share without coordination.

In any window, the fleet may retry a share of all requests, and a fixed number more.
Each box spends that share of its own requests and an equal part of the fixed number, so
the limit on the fleet holds whatever the other boxes do.
"""

from collections import defaultdict, deque

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName

SAFETY_FACTOR = 0.8
"""Fraction of the budget that is used: a box counts the requests that it receives, but
requests lost on their way to a box are counted by none."""

MIN_BOXES = 4
"""Number of boxes assumed until a hub reports it, and the least assumed at all."""


class RetryBudget:
    """Counts requests and retries by pool over a sliding window.

    ``boxes`` is how many entry boxes the fleet has.
    """

    def __init__(self, share: float, extra: float, window: float, now: Clock) -> None:
        self.share = share
        self.extra = extra
        self.window = window
        self.now = now
        self.boxes = MIN_BOXES
        self.requests: dict[PoolName, deque[float]] = defaultdict(deque)
        self.retries: dict[PoolName, deque[float]] = defaultdict(deque)

    def fleet_fraction(self) -> float:
        """Return this box's fraction of the fleet: one over the number of boxes."""
        return 1 / max(self.boxes, MIN_BOXES)

    def count_request(self, pool: PoolName) -> None:
        """Count a request of a caller."""
        requests = self.requests[pool]
        requests.append(self.now())
        _count_recent(requests, self.now() - self.window)

    def try_spend(self, pool: PoolName) -> bool:
        """Count a retry if the budget allows it; tell whether it does."""
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
