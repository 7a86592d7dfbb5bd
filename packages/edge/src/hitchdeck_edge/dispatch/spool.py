"""Spooling a stream for a caller that reads slowly.

An engine cuts off a response that is left unread for some seconds, and what it holds
for the response counts as its memory.  The spool takes the rest of the stream, within
the budget of bytes, so that it ends at the engine although its caller is slow.
"""

import asyncio

from hitchdeck_core import logs
from hitchdeck_core.signals import Signal
from hitchdeck_edge.errors import CallerDisconnectedError
from hitchdeck_edge.serving.budgets import ByteBudget
from hitchdeck_edge.serving.caller import CallerConnection


class CallerSpool:
    """Writes a stream to a caller, and holds what the caller does not read yet.

    Attributes
    ----------
    pieces
        Data that is not being written yet.
    size
        Length of it, and of the data that is being written.
    is_evicted
        Whether the response was broken off for lack of memory.
    room
        Done when more may be read from the upstream; ``None`` if it may now.
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
        self.is_evicted = False
        self.room: asyncio.Future[None] | None = None
        self.written = Signal()
        self.holding = budget.open(account, self._break_off)

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Send data, or hold it until the caller has read what was sent before.

        Returns
        -------
        Future or None
            Done when more may be read from the upstream, if it may not now.

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
        if self.room is None and self._is_full():
            self.room = asyncio.get_running_loop().create_future()
        return self.room

    async def drain(self) -> None:
        """Wait until the caller has read everything."""
        while self.is_writing:
            await self.written.wait()
        if self.error is not None:
            raise self.error

    def close(self) -> None:
        """Discard what is held."""
        self.pieces = []
        self.budget.close(self.holding)

    def _is_full(self) -> bool:
        return self.is_writing and not self.budget.may_spool(self.holding)

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
        if self.room is not None and not self._is_full():
            room, self.room = self.room, None
            # Cancelled if the request that awaits it has ended.
            if not room.done():
                room.set_result(None)
        self.written.notify()

    def _resize(self, size: int) -> None:
        self.size = size
        self.budget.resize(self.holding, size)

    def _break_off(self) -> None:
        """Break the response off, so that the caller sees that it is incomplete."""
        logs.warning(
            'response broken off', request=self.request, reason='lack of memory'
        )
        self.is_evicted = True
        self.error = CallerDisconnectedError('response broken off for lack of memory')
        self.pieces = []
        self.caller.abort()
