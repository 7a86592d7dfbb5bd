"""Routers under other policies, to compare with.

``round-robin``: each router has a queue of its own, first come first served,
and sends to upstreams in turn, with its even part of all slots.
``fifo``: one queue for the fleet, first come first served, through the same
schedulers.
"""

import asyncio
import itertools
from pathlib import Path
from typing import Any

import fire

from hitchdeck_core import logs
from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_core.settings import load_settings
from hitchdeck_core.wire.hitchdeck_pb2 import Ticket, UsageSum
from hitchdeck_router.process import SchedulingOverrides, start_router
from hitchdeck_router.scheduling.client_state import Slot
from hitchdeck_router.scheduling.fairness import AccountShare
from hitchdeck_router.scheduling.policy import least_served
from hitchdeck_router.scheduling.queueing import WaitingTicket
from hitchdeck_router.scheduling.slots import SlotFinder


def first_come(share: AccountShare, head: WaitingTicket, now: float) -> float:
    """Rank by arrival."""
    return head.since


class LocalKeeper:
    """Gives slots back to the queue of this router."""

    def __init__(self) -> None:
        self.free: asyncio.Semaphore | None = None
        self.held: set[int] = set()

    def release(self, slot: Slot, *, failed: bool = False) -> None:
        """Give a slot back."""
        if id(slot.ticket) in self.held and self.free:
            self.held.discard(id(slot.ticket))
            self.free.release()

    def report_progress(self, slot: Slot) -> None:
        """Ignore costs."""


class RoundRobinFinder(SlotFinder):
    """A queue per router, upstreams in turn."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.local = LocalKeeper()
        self.turn = itertools.count()

    async def acquire(self, pool: PoolName, ticket: Ticket) -> Slot:
        """Wait in this router's queue."""
        upstreams = sorted(
            self.fleet.view.in_service(pool),
            key=lambda one: one.name,
        )
        if self.local.free is None:
            slots = sum(one.slots for one in upstreams)
            routers = len(self.fleet.directory.routers)
            self.local.free = asyncio.Semaphore(max(1, round(slots / routers)))
        await self.local.free.acquire()
        chosen = upstreams[next(self.turn) % len(upstreams)]
        self.local.held.add(id(ticket))
        return Slot(ticket, self.local, UpstreamName(chosen.name))

    def unreported_usage(self) -> list[UsageSum]:
        """Tell nothing."""
        return []


VARIATIONS = {
    'fair': SchedulingOverrides(),
    'fifo': SchedulingOverrides(rank=first_come),
    'round-robin': SchedulingOverrides(least_served, RoundRobinFinder),
}


async def _serve(settings: str, policy: str) -> None:
    checked = load_settings(Path(settings))
    logs.set_up(box=checked.box)
    await start_router(checked, VARIATIONS[policy])
    await asyncio.Event().wait()


def main(settings: str, policy: str = 'fair') -> None:
    """Run a router under a policy until killed."""
    asyncio.run(_serve(settings, policy))


if __name__ == '__main__':
    fire.Fire(main)
