"""Orders on failure domains, and cold upstreams, as upstreams see them obeyed."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from tornado.httpclient import HTTPRequest

from soak.promises import SUCCESS, History
from standins.platform_worker import Worker

DOMAIN = 'a'
"""Failure domain that is evacuated; upstreams of another one remain."""

IN_FORCE_SECONDS = 1.5
"""From the acceptance of an order until every box must obey it, when calm."""

ORDER_SECONDS = 20.0
"""Until an order is accepted, when calm."""

COLD_PER_SECOND = 4.0
COLD_REMAINING_MS = 3000.0
COLD_REQUESTS_PER_SECOND_LIMIT = 11
"""1.5 times the stated rate, and 5."""

FLOOD_CALLERS = 6
"""Callers that ask every box at once."""

SAMPLE_SECONDS = 0.05

Fetch = Callable[[HTTPRequest], Awaitable[tuple[int, str]]]
Step = Callable[[], Awaitable[None]]
"""Sends some requests to every box, or restarts every program."""


class DomainOrders:
    """Gives orders, and counts what upstreams get against them."""

    def __init__(
        self,
        workers: list[Worker],
        history: History,
        fetch: Fetch,
        control: Callable[[], str],
    ) -> None:
        self.workers = workers
        self.history = history
        self.fetch = fetch
        self.control = control

    async def operate(self, generator: random.Random) -> None:
        """Evacuate and reopen a domain again and again; for ever."""
        while True:
            await asyncio.sleep(generator.uniform(0.3, 2))
            await self.order(active=generator.choice((True, False)))

    async def order(self, *, active: bool) -> bool:
        """Send an order once; tell whether it was accepted."""
        method = 'POST' if active else 'DELETE'
        url = f'http://{self.control()}/api/evacuations/{DOMAIN}'
        request = HTTPRequest(url, method, allow_nonstandard_methods=True)
        status, _ = await self.fetch(request)
        return status == SUCCESS

    async def order_until_accepted(self, *, active: bool) -> None:
        """Send an order until it is accepted, and wait until it is in force."""
        async with asyncio.timeout(ORDER_SECONDS):
            while not await self.order(active=active):
                await asyncio.sleep(0.1)
        await asyncio.sleep(IN_FORCE_SECONDS)

    async def check(self, ask_each: Step, restart_all: Step) -> None:
        """Check a cold upstream, and an order before and after all has restarted."""
        await self.check_cold(ask_each)
        await self.order_until_accepted(active=True)
        await self.check_evacuated('accepted', ask_each)
        await restart_all()
        await self.check_evacuated('all restarted', ask_each)
        await self.order(active=False)

    async def check_evacuated(self, when: str, ask_each: Step) -> None:
        """Note what upstreams of the evacuated domain get."""
        closed = [one for one in self.workers if one.domain == DOMAIN]
        before = sum(len(one.seen) for one in closed)
        await ask_each()
        sent = sum(len(one.seen) for one in closed) - before
        self.history.request_limits.append((f'evacuated upstreams, {when},', sent, 0))

    async def check_cold(self, ask_each: Step) -> None:
        """Note the most that a cold upstream gets in a second of a flood."""
        for worker in self.workers:
            worker.cold_left_ms = COLD_REMAINING_MS if worker is self.workers[0] else 0
        await self.order_until_accepted(active=False)
        cold = self.workers[0]
        flood = asyncio.gather(*(ask_each() for _ in range(FLOOD_CALLERS)))
        counts: list[tuple[float, int]] = []
        while not flood.done():
            counts.append((time.monotonic(), len(cold.seen)))
            await asyncio.sleep(SAMPLE_SECONDS)
        cold.cold_left_ms = 0
        self.history.request_limits.append(
            (
                'a cold upstream',
                _max_in_a_second(counts),
                COLD_REQUESTS_PER_SECOND_LIMIT,
            ),
        )


def _max_in_a_second(counts: list[tuple[float, int]]) -> int:
    """Return the most between two looks that are at most a second apart."""
    return max(
        later - earlier
        for since, earlier in counts
        for until, later in counts
        if 0 <= until - since <= 1
    )
