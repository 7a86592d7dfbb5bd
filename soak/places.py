"""Checks evacuation orders and cold-start limits by the requests upstreams get."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from tornado.httpclient import HTTPRequest

from soak.promises import SUCCESS, History
from standins.platform_worker import Worker

DOMAIN = 'a'
"""Failure domain to evacuate; the other domain keeps serving."""

IN_FORCE_SECONDS = 1.5
"""Time from accepting an order until every box must obey it, without faults."""

ORDER_SECONDS = 20.0
"""Timeout for an order to be accepted, without faults."""

COLD_PER_SECOND = 4.0
COLD_REMAINING_MS = 3000.0
COLD_REQUESTS_PER_SECOND_LIMIT = 11
"""1.5 times ``COLD_PER_SECOND``, plus 5."""

FLOOD_CALLERS = 6
"""Number of concurrent callers, each of which sends to every box."""

SAMPLE_SECONDS = 0.05

Fetch = Callable[[HTTPRequest], Awaitable[tuple[int, str]]]
Step = Callable[[], Awaitable[None]]
"""A step of a check: sends requests to every box or restarts every program."""


class DomainOrders:
    """Sends evacuation orders and counts requests that violate them."""

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
        """Evacuate or reopen a domain at random; runs until cancelled."""
        while True:
            await asyncio.sleep(generator.uniform(0.3, 2))
            await self.order(active=generator.choice((True, False)))

    async def order(self, *, active: bool) -> bool:
        """Send an order once; return whether it was accepted."""
        method = 'POST' if active else 'DELETE'
        url = f'http://{self.control()}/api/evacuations/{DOMAIN}'
        request = HTTPRequest(url, method, allow_nonstandard_methods=True)
        status, _ = await self.fetch(request)
        return status == SUCCESS

    async def order_until_accepted(self, *, active: bool) -> None:
        """Send an order until it is accepted, then wait until it is in force."""
        async with asyncio.timeout(ORDER_SECONDS):
            while not await self.order(active=active):
                await asyncio.sleep(0.1)
        await asyncio.sleep(IN_FORCE_SECONDS)

    async def check(self, ask_each: Step, restart_all: Step) -> None:
        """Check a cold upstream, then an order before and after a full restart."""
        await self.check_cold(ask_each)
        await self.order_until_accepted(active=True)
        await self.check_evacuated('accepted', ask_each)
        await restart_all()
        await self.check_evacuated('all restarted', ask_each)
        await self.order(active=False)

    async def check_evacuated(self, when: str, ask_each: Step) -> None:
        """Record the number of requests to upstreams of the evacuated domain."""
        closed = [one for one in self.workers if one.domain == DOMAIN]
        before = sum(len(one.seen) for one in closed)
        await ask_each()
        sent = sum(len(one.seen) for one in closed) - before
        self.history.request_limits.append((f'evacuated upstreams, {when},', sent, 0))

    async def check_cold(self, ask_each: Step) -> None:
        """Record the peak requests per second to a cold upstream under load."""
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
    """Return the largest increase between samples at most one second apart."""
    return max(
        later - earlier
        for since, earlier in counts
        for until, later in counts
        if 0 <= until - since <= 1
    )
