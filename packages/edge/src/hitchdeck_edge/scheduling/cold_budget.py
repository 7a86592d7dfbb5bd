"""Rate limit for requests to cold upstreams, over all processes that place requests.

A cold upstream fails if it gets more requests per second than its pool states, from
whichever processes.  Each process that places requests uses a fraction of that rate,
in proportion to the boxes it places for, so the fractions add up to the whole rate
without coordination.  Sends are spaced evenly, and a slot that is not used in time
expires: unused slots of many boxes must not add up to a burst.
"""

import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.state.cold import ColdUpstreams

USED_FRACTION = 0.8
"""Fraction of the stated rate that is used.  The rest leaves room for requests that
arrive less evenly than they were sent, and for those that were placed before the
upstream was known to be cold."""

SLOT_TTL_SECONDS = 0.5
"""Time after which an unused slot expires."""

_NEVER = 1e6
"""Interval between sends for a process whose fraction is 0, in seconds."""

RatePerSecond = Callable[[PoolName], float]


@dataclass(slots=True)
class SendSlots:
    """Start of the next send slot for a cold upstream, and the time between slots."""

    next_at: float
    interval: float


class ColdBudget:
    """Limits the rate of requests to cold upstreams.

    Attributes
    ----------
    rate_of
        Returns the requests per second that a cold upstream of a pool can handle; 0
        if there is no limit.
    rate_fraction
        Returns the fraction of that rate that this process may use, from 0 to 1.
    """

    def __init__(
        self,
        now: Clock,
        cold: ColdUpstreams,
        rate_of: RatePerSecond,
    ) -> None:
        self.now = now
        self.cold = cold
        self.rate_of = rate_of
        self.rate_fraction: Callable[[], float] = _full_rate
        self.slots: dict[UpstreamName, SendSlots] = {}

    def usable(self, upstreams: Collection[Upstream]) -> list[Upstream]:
        """Return those of the upstreams that may be sent a request now."""
        cold = self.cold.cold_now()
        if not cold:
            self.slots.clear()
            return list(upstreams)
        return [one for one in upstreams if one.name not in cold or self._has_slot(one)]

    def spend(self, upstream: Upstream) -> None:
        """Use up a send slot of an upstream."""
        slots = self.slots.get(upstream.name)
        if slots is not None:
            slots.next_at = max(slots.next_at + slots.interval, self.now())

    def _has_slot(self, upstream: Upstream) -> bool:
        rate = self.rate_of(upstream.pool)
        if not rate:
            return True
        interval = 1 / max(rate * USED_FRACTION * self.rate_fraction(), 1 / _NEVER)
        now = self.now()
        slots = self.slots.get(upstream.name)
        if slots is None:
            # Random phase: many boxes learn of a cold upstream at the same time.
            slots = SendSlots(now + random.uniform(0, interval), interval)
            self.slots[upstream.name] = slots
        slots.interval = interval
        if now - slots.next_at > SLOT_TTL_SECONDS:
            missed = math.ceil((now - SLOT_TTL_SECONDS - slots.next_at) / interval)
            slots.next_at += missed * interval
        return now >= slots.next_at


def _full_rate() -> float:
    return 1
