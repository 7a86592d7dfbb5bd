"""Spooling a stream for a caller that reads slowly.

An engine cuts off a response that is left unread for some seconds, and what it holds
for the response counts as its memory.  The spool takes the rest of the stream, within
the budget of bytes, so that it ends at the engine although its caller is slow.
"""

from collections.abc import Awaitable

from hitchdeck_core import logs
from hitchdeck_core.signals import Signal
from hitchdeck_edge.errors import CallerDisconnectedError
from hitchdeck_edge.serving.budgets import ByteBudget
from hitchdeck_edge.serving.caller import CallerConnection

WAIT_SECONDS = 1.0
"""Interval of checks for room, which also depends on other requests."""


class CallerSpool:
    """Writes a stream to a caller, and holds what the caller does not read yet.

    Attributes
    ----------
    pieces
        Data that is not being written yet.
    size
        Length of it, and of the data that is being written.
    """

    def __init__(
        self, caller: CallerConnection, budget: ByteBudget, request: str, account: str
    ) -> None:
        self.caller = caller
        self.budget = budget
        self.request = request
        self.pieces: list[bytes] = []
        self.size = 0
        self.is_writing = False
        self.error: CallerDisconnectedError | None = None
        self.changed = Signal()
        self.holding = budget.open(account, self._break_off)

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send data, or hold it until the caller has read what was sent before.

        Returns
        -------
        Awaitable or None
            To be awaited before more is read from the upstream.

        Raises
        ------
        CallerDisconnectedError
            The caller has disconnected.
        """
        if self.error is not None:
            raise self.error
        if self.is_writing:
            self.pieces.append(data)
            self._resize(self.size + len(data))
        else:
            self._send(data)
        return self._wait_for_room() if self._is_full() else None

    async def drain(self) -> None:
        """Wait until the caller has read everything."""
        while self.is_writing:
            await self.changed.wait(WAIT_SECONDS)
        if self.error is not None:
            raise self.error

    def close(self) -> None:
        """Discard what is held."""
        self.pieces = []
        self.budget.close(self.holding)

    def _is_full(self) -> bool:
        return self.is_writing and not self.budget.may_spool(self.holding)

    async def _wait_for_room(self) -> None:
        while self._is_full():
            await self.changed.wait(WAIT_SECONDS)

    def _send(self, data: bytes) -> None:
        pending = self.caller.write(data, on_written=self._on_written)
        if pending is not None:
            self.is_writing = True
            self._resize(len(data))

    def _on_written(self) -> None:
        self.is_writing = False
        data, self.pieces = b''.join(self.pieces), []
        self._resize(0)
        if data:
            try:
                self._send(data)
            except CallerDisconnectedError as error:
                self.error = error
        self.changed.notify()

    def _resize(self, size: int) -> None:
        self.size = size
        self.budget.resize(self.holding, size)

    def _break_off(self) -> None:
        """Break the response off, so that the caller sees that it is incomplete."""
        logs.warning(
            'response broken off', request=self.request, reason='lack of memory'
        )
        self.error = CallerDisconnectedError('response broken off for lack of memory')
        self.pieces = []
        self.caller.abort()
