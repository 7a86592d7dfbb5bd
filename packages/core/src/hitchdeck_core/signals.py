"""A notification that wakes all waiting tasks to check for changes."""

import asyncio


class Signal:
    """Wakes every task that is waiting at the time of a notification.

    An ``asyncio.Event`` would have to be cleared by one of its waiters, which
    could hide the notification from the others.

    ``count`` is the number of notifications so far.
    """

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[bool]] = set()
        self.count = 0

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self.count += 1
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            _resolve(waiter, notified=True)

    async def wait(self, seconds: float | None = None) -> bool:
        """Wait for the next notification; return ``False`` on timeout."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[bool] = loop.create_future()
        self.waiters.add(waiter)
        if seconds is None:
            return await waiter
        # Cheaper than ``asyncio.wait`` with a timeout; this runs for every ticket.
        timer = loop.call_later(seconds, _resolve, waiter, False)
        try:
            return await waiter
        finally:
            timer.cancel()
            self.waiters.discard(waiter)


async def wait_for_either(first: Signal, second: Signal) -> None:
    """Wait for the next notification of either signal."""
    waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    first.waiters.add(waiter)
    second.waiters.add(waiter)
    try:
        await waiter
    finally:
        first.waiters.discard(waiter)
        second.waiters.discard(waiter)


def _resolve(waiter: asyncio.Future[bool], notified: bool) -> None:
    if not waiter.done():
        waiter.set_result(notified)
