"""Probing an upstream that may have crashed.

A process that exits closes its descriptors one after the other, so its port may still
accept a connection after its responses have broken off.  Such a connection is closed
when the exit completes, and the next attempt is refused.
"""

import asyncio
from collections.abc import Awaitable, Callable

WATCH_SECONDS = 1.0
"""Time for which a connection must stay open to count as accepted by a live process."""

MAX_CONNECTIONS = 3
"""Most connections per probe: a live upstream may close some of them when it has no
capacity for more."""

REOPEN_SECONDS = 0.05
"""Delay before the next connection after one was closed."""

UntilClosed = Callable[[], Awaitable[None]]
"""Waits until the peer closes or resets a connection."""

OpenConnection = Callable[[], Awaitable[UntilClosed | None]]
"""Opens a connection; returns ``None`` if the upstream can't be connected to."""


async def stays_reachable(open_connection: OpenConnection) -> bool:
    """Tell whether an upstream accepts a connection and keeps running.

    Returns
    -------
    bool
        False as soon as a connection is refused, even if an earlier one was accepted.
        True if a connection stays open until ``WATCH_SECONDS`` have passed, or if all
        of ``MAX_CONNECTIONS`` were accepted.
    """
    deadline = asyncio.get_running_loop().time() + WATCH_SECONDS
    for _ in range(MAX_CONNECTIONS):
        until_closed = await open_connection()
        if until_closed is None:
            return False
        try:
            async with asyncio.timeout_at(deadline):
                await until_closed()
        except TimeoutError:
            # Still open, so the process that accepted the connection is alive.
            return True
        await asyncio.sleep(REOPEN_SECONDS)
    return True
