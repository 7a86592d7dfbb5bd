"""Whether the engines of a pool have time to spare for accounts beyond their share.

Load: accounts at several times their usual traffic.  Where engines are mostly idle,
their excess takes nothing from others; where all engines have queues, it delays those
within their share, and long prompts first.
"""

from collections.abc import Callable, Iterable

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName
from hitchdeck_edge.model.upstreams import Upstream

SPARE_WAIT_FRACTION = 0.15
"""Mean wait at the engines, as a fraction of a request's goal, up to which they have
time to spare: what requests within their share then lose is small beside the goal."""

UPDATE_SECONDS = 0.02
"""Time for which the mean wait is kept: working it out for each request would cost as
much as placing it."""


class SpareTime:
    """Mean wait at the engines of each pool, kept for a short time."""

    def __init__(
        self,
        engines: Callable[[PoolName], Iterable[Upstream]],
        wait: Callable[[Upstream], float],
        now: Clock,
    ) -> None:
        self.engines = engines
        self.wait = wait
        self.now = now
        self.means: dict[PoolName, tuple[float, float]] = {}

    def is_left(self, pool: PoolName, goal: float) -> bool:
        """Tell whether a pool has time to spare for a request with this goal."""
        return self.mean_wait(pool) <= SPARE_WAIT_FRACTION * goal

    def mean_wait(self, pool: PoolName) -> float:
        """Return the mean seconds until an engine begins to read a new request."""
        now = self.now()
        measured, mean = self.means.get(pool, (0.0, 0.0))
        if pool not in self.means or now - measured >= UPDATE_SECONDS:
            waits = [self.wait(one) for one in self.engines(pool)]
            mean = sum(waits) / max(1, len(waits))
            self.means[pool] = now, mean
        return mean
