"""Callers whose requests crash workers, and how many workers these reach."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from soak.callers import RESUMABLE, Request
from soak.faults import Faults
from soak.fleet import Program
from soak.promises import Answer, History, LethalRuns
from standins.platform_worker import Worker

LETHAL = 'lethal'
"""Content that crashes workers, and the beginning of the ids of its requests."""

LETHAL_PART = 'deadpart'
"""Part of a prompt that crashes workers; no two requests with it are alike."""

RECOGNIZED_AT = {LETHAL: 3, LETHAL_PART: 5}
"""Crashes by which each kind must be recognized."""

REPORT_SECONDS = 0.8
"""Time for a restarted worker to send its first report to a hub."""

Send = Callable[[Request, Program | None], Awaitable[Answer]]


class LethalCallers:
    """Sends requests that crash workers, under faults and after them."""

    def __init__(
        self,
        workers: Sequence[Worker],
        history: History,
        send: Send,
        chance: Random,
    ) -> None:
        self.chance = chance
        self.workers = workers
        self.history = history
        self.send = send
        self.asked = 0

    async def repeat(self) -> None:
        """Send lethal requests of either kind to any box until cancelled."""
        while True:
            await asyncio.sleep(self.chance.uniform(0.3, 1))
            await self._ask(self.chance.choice((LETHAL, LETHAL_PART)))

    async def check(self, faults: Faults, boxes: Sequence[Program]) -> None:
        """Send lethal requests of each kind to each box twice, without faults."""
        for kind, recognized_at in RECOGNIZED_AT.items():
            before = self._runs(kind)
            for box in (*boxes, *boxes):
                await self._ask(kind, box)
                await faults.restart_crashed()
                await asyncio.sleep(REPORT_SECONDS)
            after = self._runs(kind) - before
            self.history.lethal_runs.append(
                LethalRuns(kind, recognized_at, before, after)
            )

    async def _ask(self, kind: str, box: Program | None = None) -> None:
        self.asked += 1
        attempt = f'{kind}{self.asked}'
        request = Request(attempt, RESUMABLE, LETHAL)
        if kind == LETHAL_PART:
            request = Request(attempt, RESUMABLE, attempt, part=LETHAL_PART)
        await self.send(request, box)

    def _runs(self, kind: str) -> int:
        ran = [one for worker in self.workers for one in worker.ran]
        return len([one for one in ran if one.startswith(kind)])
