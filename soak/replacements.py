"""Replaces and restarts hubs during a run, beside the other faults."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak.faults import STOP_GRACE_SECONDS, Faults
from soak.fleet import Fleet, Program

CATCH_UP_SECONDS = 4.0
"""Time after its start from which a hub has to bear the loss of others."""

MAX_REPLACEMENTS = 20

AddProxy = Callable[[str], Awaitable[str]]


class HubReplacements:
    """Takes hubs away for good, and adds others in their place.

    It draws from a generator of its own, so that the other faults of a seed are the
    same as without it.
    """

    def __init__(self, faults: Faults, add_proxy: AddProxy, seed: int) -> None:
        self.faults = faults
        self.fleet: Fleet = faults.fleet
        self.add_proxy = add_proxy
        self.random = random.Random(f'replacements {seed}')
        self.added = 0

    async def run(self) -> None:
        """Replace or stop a hub again and again; runs until cancelled."""
        changes = [self.replace_as_planned, self.replace_killed, self.stop_and_start]
        while self.added < MAX_REPLACEMENTS:
            await asyncio.sleep(self.random.uniform(0.5, 3))
            async with self.faults.hub_down:
                change = self.random.choice(changes)
                self.faults.injected.append(change.__name__)
                await change(self.random.choice(self.fleet.hubs))

    async def replace_as_planned(self, old: Program) -> None:
        """Start the successor, and stop the old hub once it had its time."""
        await self._add()
        await asyncio.sleep(CATCH_UP_SECONDS)
        self.fleet.hubs.remove(old)
        old.signal(signal.SIGTERM)
        await asyncio.to_thread(old.end, STOP_GRACE_SECONDS)

    async def replace_killed(self, old: Program) -> None:
        """Kill a hub for good, and give its successor its time."""
        self.fleet.hubs.remove(old)
        old.signal(signal.SIGKILL)
        await asyncio.to_thread(old.end, 1)
        await asyncio.sleep(self.random.uniform(0, 1))
        await self._add()
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def stop_and_start(self, hub: Program) -> None:
        """Stop a hub, and start it on its disk."""
        hub.signal(signal.SIGTERM)
        await asyncio.to_thread(hub.end, STOP_GRACE_SECONDS)
        await asyncio.sleep(self.random.uniform(0, 1))
        self.fleet.write_settings(hub, first=False)
        hub.start()
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def _add(self) -> None:
        self.added += 1
        number = len(self.fleet.boxes) + self.added - 1
        ip = self.fleet.ip_of(number)
        await self.add_proxy(self.fleet.control_at(ip))
        self.fleet.add(number, 'hub', first=False)
