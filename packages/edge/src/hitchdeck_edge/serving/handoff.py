"""Handing new connections on to boxes that have time.

Some callers stay with one box whatever the directory tells them.  A box that is short
of processor time relays their connections, byte for byte, to boxes of its own failure
domain: that costs it a fraction of serving the requests.  A connection that is handed
on carries one request, so that it ends with its answer.

A kernel accepts connections for a process that stands still.  So the receiving box
greets with one byte, and nothing is sent to it before; what is relayed to a box that
has stopped to answer is broken off, so that callers do not wait for it.
"""

import asyncio
import random
import socket
from collections.abc import Callable

from hitchdeck_core import logs
from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from hitchdeck_core.sockets import set_probes
from hitchdeck_edge.state.relief import ReliefTargets

HANDOFF_FROM = 0.55
"""Utilization from which connections are handed on, by chance."""

HANDOFF_ALL = 0.8
"""Utilization from which every connection is."""

CONNECT_SECONDS = 0.3
"""Time to reach a box of the same domain."""

VERDICT_SECONDS = 1.2
"""Time after a missing greeting in which a box that runs is heard of."""

GREETING = b'+'

MOST_OPEN = 1000
"""Connections that are relayed at once; each takes two descriptors."""

LOG_SECONDS = 0.5
"""Longest time from a connection that is handed on to its log line."""

ServeConnection = Callable[[socket.socket], None]


def should_hand_off(busy: float) -> bool:
    """Tell whether a box with some utilization hands a new connection on."""
    if busy <= HANDOFF_FROM:
        return False
    return random.random() < (busy - HANDOFF_FROM) / (HANDOFF_ALL - HANDOFF_FROM)


class Pump(asyncio.Protocol):
    """One end of a relayed connection; what it receives goes out at the other."""

    def __init__(self, heard: Callable[[], None], ended: Callable[[], None]) -> None:
        self.heard = heard
        self.ended = ended
        self.other: Pump | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        self.heard()
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        """Read no more at the other end until this one has taken what waits."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on at the other end."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other end too; visibly broken where this one was reset."""
        self.ended()
        other = self.other.transport if self.other is not None else None
        if other is None:
            return
        if exc is None:
            other.close()
        else:
            other.abort()


class FarPump(Pump):
    """The end towards a box, which greets first."""

    def __init__(
        self,
        target: Address,
        heard: Callable[[], None],
        ended: Callable[[], None],
    ) -> None:
        super().__init__(heard, ended)
        self.target = target
        self.greeted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, and notice a box that has lost its power."""
        super().connection_made(transport)
        set_probes(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Take the greeting, then pass bytes on."""
        if self.greeted.done():
            super().data_received(data)
            return
        self.heard()
        self.greeted.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other end too; no greeting comes any more."""
        if not self.greeted.done():
            self.greeted.set_exception(exc or ConnectionAbortedError('no greeting'))
        super().connection_lost(exc)


class Handoff:
    """Relays connections to other boxes.

    Attributes
    ----------
    serve
        Takes a connection that no other box could take, with nothing read from it.
    open
        Connections that are relayed.
    heard
        When bytes last came from each box.
    """

    def __init__(self, targets: ReliefTargets) -> None:
        self.targets = targets
        self.heard: dict[Address, float] = {}
        self.serve: ServeConnection = socket.socket.close
        self.open: set[asyncio.Task[None] | Pump] = set()
        self.handed = 0
        self.unlogged = 0

    def take(self, connection: socket.socket) -> bool:
        """Relay a connection to another box, if there is one."""
        target = self.targets.choose()
        if target is None or len(self.open) >= MOST_OPEN:
            return False
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._relay(connection, target))
        self.open.add(task)
        task.add_done_callback(self.open.discard)
        return True

    def close(self) -> None:
        """Break off whatever is relayed."""
        for one in list(self.open):
            if isinstance(one, asyncio.Task):
                one.cancel()
            else:
                _abort(one)

    async def _relay(self, connection: socket.socket, target: Address) -> None:
        far = self._far_pump(target)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(lambda: far, *split_address(target))
                await far.greeted
        except (OSError, TimeoutError) as error:
            self._give_up(far, error)
            self.serve(connection)
            return
        near = Pump(_ignore, lambda: self.open.discard(near))
        near.other, far.other = far, near
        self.open.update((near, far))
        try:
            await loop.connect_accepted_socket(lambda: near, connection)
        except OSError as error:
            logs.info('caller left before it was handed on', reason=repr(error))
            self.open.discard(near)
            _abort(far)
            return
        self._count()

    def _far_pump(self, target: Address) -> FarPump:
        def note() -> None:
            self.heard[target] = self.targets.now()

        far = FarPump(target, note, lambda: self.open.discard(far))
        return far

    def _give_up(self, far: FarPump, error: Exception) -> None:
        """Use a box no more for a while; find out whether it has stopped to answer."""
        logs.info('box not reached', box_address=far.target, reason=repr(error))
        far.greeted.cancel()
        _abort(far)
        self.targets.mark_unreachable(far.target)
        loop = asyncio.get_running_loop()
        loop.call_later(VERDICT_SECONDS, self._judge, far.target, self.targets.now())

    def _judge(self, target: Address, since: float) -> None:
        """Break off what is relayed to a box that was not heard of since."""
        if self.heard.get(target, 0) >= since:
            return
        stuck = [
            one
            for one in self.open
            if isinstance(one, FarPump) and one.target == target
        ]
        if stuck:
            logs.warning('box stands still', box_address=target, broken_off=len(stuck))
        for one in stuck:
            if one.other is not None:
                _abort(one.other)
            _abort(one)

    def _count(self) -> None:
        self.handed += 1
        self.unlogged += 1
        if self.unlogged == 1:
            asyncio.get_running_loop().call_later(LOG_SECONDS, self._log)

    def _log(self) -> None:
        logs.info(
            'connections handed on',
            count=self.unlogged,
            open=len(self.open),
            targets=self.targets.addresses,
        )
        self.unlogged = 0


def _abort(pump: Pump) -> None:
    if pump.transport is not None:
        pump.transport.abort()


def _ignore() -> None:
    """Take no note of what a caller sends."""
