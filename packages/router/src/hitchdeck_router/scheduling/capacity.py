"""Which upstreams of a shard have room, kept up to date as slots come and go.

A scheduler looks for room at every message it gets, far more often than room
changes; looking at every upstream each time was most of its processor time.
"""

from hitchdeck_core.ids import UpstreamName
from hitchdeck_router.scheduling.loads import Loads, UpstreamLoad
from hitchdeck_router.scheduling.placement import choose_upstream
from hitchdeck_router.scheduling.queueing import TicketKey


class ShardCapacity:
    """Upstreams by load, and the free slots of those that have any."""

    def __init__(self) -> None:
        self.loads: Loads = {}
        self.free: dict[UpstreamName, int] = {}

    def free_slots(self) -> int:
        """Return how many more requests the shard could run."""
        return sum(self.free.values())

    def set_upstreams(
        self,
        slots: dict[UpstreamName, int],
        held: dict[UpstreamName, set[TicketKey]],
        now: float,
    ) -> None:
        """Say which upstreams may get new work, and their slots."""
        for gone in set(self.loads) - set(slots):
            self.loads.pop(gone)
            self.free.pop(gone, None)
        for name, max_slots in slots.items():
            load = self.loads.get(name)
            if load is None:
                taken = held.get(name, set())
                self.loads[name] = UpstreamLoad(max_slots, float(max_slots), taken)
            elif load.slots != max_slots:
                load.slots = max_slots
                load.limit = float(max_slots)
            self.refresh(name, now)

    def refresh(self, name: UpstreamName, now: float) -> None:
        """Look at one upstream again."""
        load = self.loads.get(name)
        free_slots = load.free_slots(now) if load else 0
        if free_slots > 0:
            self.free[name] = free_slots
        else:
            self.free.pop(name, None)

    def refresh_all(self, now: float) -> None:
        """Look at all again: blocks after failures end with time."""
        for name in self.loads:
            self.refresh(name, now)

    def choose(
        self,
        preferred: UpstreamName | None,
        avoid: frozenset[UpstreamName],
    ) -> UpstreamName | None:
        """Return an upstream with room, the preferred one if it has some.

        Where all upstreams are to be avoided, none is: a ticket that nothing
        suits would wait for ever.
        """
        available = self.free
        if avoid and not avoid >= self.loads.keys():
            available = {
                name: free_slots
                for name, free_slots in available.items()
                if name not in avoid
            }
        return choose_upstream(available, preferred)

    def choose_overcommitted(
        self,
        preferred: UpstreamName | None,
        avoid: frozenset[UpstreamName],
        extra: int,
        now: float,
    ) -> UpstreamName | None:
        """Return an upstream that has room if it may exceed its slots."""
        available = {
            name: load.free_slots(now, extra)
            for name, load in self.loads.items()
            if name not in avoid
        }
        return choose_upstream(available, preferred)
