"""Free slots of a shard's upstreams, updated incrementally.

A scheduler looks for a free slot on every message, far more often than slots
change; scanning all upstreams each time took most of its CPU time.
"""

from hitchdeck_core.ids import UpstreamName
from hitchdeck_router.scheduling.loads import Loads, UpstreamLoad
from hitchdeck_router.scheduling.placement import choose_upstream
from hitchdeck_router.scheduling.queueing import TicketKey


class ShardCapacity:
    """Loads of all upstreams, and the free slots of those that have any."""

    def __init__(self) -> None:
        self.loads: Loads = {}
        self.free: dict[UpstreamName, int] = {}

    def free_slots(self) -> int:
        """Return the number of free slots in the shard."""
        return sum(self.free.values())

    def set_upstreams(
        self,
        slots: dict[UpstreamName, int],
        held: dict[UpstreamName, set[TicketKey]],
        now: float,
    ) -> None:
        """Set the upstreams that accept new requests, with their slots."""
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
        """Update the free slots of one upstream."""
        load = self.loads.get(name)
        free_slots = load.free_slots(now) if load else 0
        if free_slots > 0:
            self.free[name] = free_slots
        else:
            self.free.pop(name, None)

    def refresh_all(self, now: float) -> None:
        """Update all upstreams: penalties after failures end with time."""
        for name in self.loads:
            self.refresh(name, now)

    def choose(
        self,
        preferred: UpstreamName | None,
        avoid: frozenset[UpstreamName],
    ) -> UpstreamName | None:
        """Return an upstream with a free slot, the preferred one if possible.

        If all upstreams are to be avoided, ``avoid`` is ignored: the ticket
        would never be granted.
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
        """Return an upstream with a free slot if ``extra`` slots are allowed."""
        available = {
            name: load.free_slots(now, extra)
            for name, load in self.loads.items()
            if name not in avoid
        }
        return choose_upstream(available, preferred)
