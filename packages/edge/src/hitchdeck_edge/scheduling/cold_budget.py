"""How many requests a cold upstream is sent, over all who decide.

A cold upstream fails under more requests a second than its pool states, whichever
processes send them.  Each process that decides has a part of that rate, in proportion
to the boxes that it decides for, so the parts add up to one rate without a message.
Sends are spaced evenly, and a slot that was not used in time is lost: unused parts of
many boxes must not add up to a burst.
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
"""Part of the stated rate that is used: sends that are spaced here arrive less evenly,
and some are decided before an upstream is known to be cold."""

SLOT_TTL_SECONDS = 0.5
"""How long a slot can be used."""

_NEVER = 1e6
"""Interval of a process without a part, in seconds."""

RatePerSecond = Callable[[PoolName], float]


@dataclass(slots=True)
class SendSlots:
    """When the next slot of a cold upstream begins, and the time between two."""

    next_at: float
    interval: float


class ColdBudget:
    """Spaces requests to cold upstreams.

    Attributes
    ----------
    rate_of
        Requests a second that a cold upstream of a pool bears; 0 where not limited.
    part
        Returns the part of that rate that this process may use, from 0 to 1.
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
        """Return the upstreams that may be sent a request now."""
        cold = self.cold.cold_now()
        if not cold:
            self.slots.clear()
            return list(upstreams)
        return [one for one in upstreams if one.name not in cold or self._has_slot(one)]

    def spend(self, upstream: Upstream) -> None:
        """Count a request that is sent to an upstream."""
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
            # At random, so that boxes which learn of it at once take turns.
            slots = SendSlots(now + random.uniform(0, interval), interval)
            self.slots[upstream.name] = slots
        slots.interval = interval
        if now - slots.next_at > SLOT_TTL_SECONDS:
            missed = math.ceil((now - SLOT_TTL_SECONDS - slots.next_at) / interval)
            slots.next_at += missed * interval
        return now >= slots.next_at


def _full_rate() -> float:
    return 1
