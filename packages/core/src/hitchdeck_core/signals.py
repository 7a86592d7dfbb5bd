"""A broadcast that tasks wait for: "something changed, look again"."""

import asyncio


class Signal:
    """Wakes every task that waits at the moment of a notification.

    An ``asyncio.Event`` would have to be cleared by one of many waiters, and
    whoever clears it first hides it from the others.
    """

    def __init__(self) -> None:
        self.current: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wake all that wait."""
        if self.current is not None and not self.current.done():
            self.current.set_result(None)
        self.current = None

    async def wait(self, seconds: float | None = None) -> bool:
        """Wait for the next notification; ``False`` if time ran out first."""
        if self.current is None or self.current.done():
            self.current = asyncio.get_running_loop().create_future()
        waited = await asyncio.wait([self.current], timeout=seconds)
        return bool(waited[0])
