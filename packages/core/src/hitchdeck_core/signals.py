"""A broadcast that tasks wait for: "something changed, look again"."""

import asyncio


class Signal:
    """Wakes every task that waits at the moment of a notification.

    An ``asyncio.Event`` would have to be cleared by one of many waiters, and
    whoever clears it first hides it from the others.

    ``count`` is how many notifications there were.
    """

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[bool]] = set()
        self.count = 0

    def notify(self) -> None:
        """Wake all that wait."""
        self.count += 1
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            _resolve(waiter, notified=True)

    async def wait(self, seconds: float | None = None) -> bool:
        """Wait for the next notification; ``False`` if time ran out first."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[bool] = loop.create_future()
        self.waiters.add(waiter)
        if seconds is None:
            return await waiter
        # Lighter than ``asyncio.wait`` with a timeout, and this runs for
        # every ticket.
        timer = loop.call_later(seconds, _resolve, waiter, False)
        try:
            return await waiter
        finally:
            timer.cancel()
            self.waiters.discard(waiter)


def _resolve(waiter: asyncio.Future[bool], notified: bool) -> None:
    if not waiter.done():
        waiter.set_result(notified)
