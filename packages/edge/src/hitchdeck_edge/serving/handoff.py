"""Handing off new connections to boxes with spare processor time.

Some callers keep to one box whatever addresses the directory returns.  An overloaded
box relays their connections, byte for byte, to boxes of its own failure domain, which
costs a fraction of serving the requests.  A connection that is handed off carries one
request, so that it closes after the response.

The kernel accepts connections even for a process that is suspended.  So the target box
first sends one byte as a greeting, and nothing is sent to it before that.  If a target
stops responding, the connections relayed to it are aborted, so that callers do not
wait.
"""

import asyncio
import random
import socket
from collections.abc import Callable

from hitchdeck_core import logs
from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from hitchdeck_core.sockets import enable_keepalive
from hitchdeck_edge.state.relief import ReliefTargets

HANDOFF_START = 0.55
"""Utilization above which connections are handed off at random."""

HANDOFF_FULL = 0.8
"""Utilization from which every connection is handed off."""

CONNECT_SECONDS = 0.3
"""Timeout for the connection to a target box and its greeting."""

SILENCE_TIMEOUT_SECONDS = 1.2
"""Time after a failed handoff within which a running target must send some bytes."""

GREETING = b'+'
"""Sent by the target box as soon as it accepts a relayed connection."""

MAX_OPEN = 1000
"""Maximum size of ``Handoff.open``; a relayed connection takes two descriptors."""

LOG_DELAY_SECONDS = 0.5
"""Maximum delay from a handoff to the log line that counts it."""

ServeConnection = Callable[[socket.socket], None]


def should_hand_off(utilization: float) -> bool:
    """Tell whether a box with this utilization hands off a new connection."""
    if utilization <= HANDOFF_START:
        return False
    return random.random() < (utilization - HANDOFF_START) / (
        HANDOFF_FULL - HANDOFF_START
    )


class RelayEnd(asyncio.Protocol):
    """One end of a relayed connection; forwards what it receives to its peer."""

    def __init__(
        self, on_received: Callable[[], None], on_closed: Callable[[], None]
    ) -> None:
        self.on_received = on_received
        self.on_closed = on_closed
        self.peer: RelayEnd | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the peer."""
        self.on_received()
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading at the peer while this end's write buffer is full."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading at the peer."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the peer too, or abort it if this end was reset."""
        self.on_closed()
        peer = self.peer.transport if self.peer is not None else None
        if peer is None:
            return
        if exc is None:
            peer.close()
        else:
            peer.abort()


class TargetEnd(RelayEnd):
    """The end towards the target box, which sends a greeting first."""

    def __init__(
        self,
        target: Address,
        on_received: Callable[[], None],
        on_closed: Callable[[], None],
    ) -> None:
        super().__init__(on_received, on_closed)
        self.target = target
        self.greeted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and enable keepalive to detect a lost host."""
        super().connection_made(transport)
        enable_keepalive(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Consume the greeting, then forward bytes to the peer."""
        if self.greeted.done():
            super().data_received(data)
            return
        self.on_received()
        self.greeted.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a pending wait for the greeting, and close the peer."""
        if not self.greeted.done():
            self.greeted.set_exception(exc or ConnectionAbortedError('no greeting'))
        super().connection_lost(exc)


class Handoff:
    """Hands off connections to other boxes, and relays their bytes.

    Attributes
    ----------
    serve
        Serves a connection here if the target box can't be reached; nothing was read
        from it.
    open
        Pending handoffs, and the ends of relayed connections.
    last_received
        When bytes were last received from each target box, in seconds.
    """

    def __init__(self, targets: ReliefTargets) -> None:
        self.targets = targets
        self.last_received: dict[Address, float] = {}
        self.serve: ServeConnection = socket.socket.close
        self.open: set[asyncio.Task[None] | RelayEnd] = set()
        self.handed_off = 0
        self.unlogged = 0

    def try_relay(self, connection: socket.socket) -> bool:
        """Relay a connection to another box; return ``False`` if there is none."""
        target = self.targets.choose()
        if target is None or len(self.open) >= MAX_OPEN:
            return False
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._relay(connection, target))
        self.open.add(task)
        task.add_done_callback(self.open.discard)
        return True

    def close(self) -> None:
        """Abort all relayed connections."""
        for one in list(self.open):
            if isinstance(one, asyncio.Task):
                one.cancel()
            else:
                _abort(one)

    async def _relay(self, connection: socket.socket, target: Address) -> None:
        target_end = self._new_target_end(target)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(lambda: target_end, *split_address(target))
                await target_end.greeted
        except (OSError, TimeoutError) as error:
            self._abandon_target(target_end, error)
            self.serve(connection)
            return
        caller_end = RelayEnd(_ignore, lambda: self.open.discard(caller_end))
        caller_end.peer, target_end.peer = target_end, caller_end
        self.open.update((caller_end, target_end))
        try:
            await loop.connect_accepted_socket(lambda: caller_end, connection)
        except OSError as error:
            logs.info('caller disconnected before the handoff', reason=repr(error))
            self.open.discard(caller_end)
            _abort(target_end)
            return
        self._record_handoff()

    def _new_target_end(self, target: Address) -> TargetEnd:
        def note() -> None:
            self.last_received[target] = self.targets.now()

        target_end = TargetEnd(target, note, lambda: self.open.discard(target_end))
        return target_end

    def _abandon_target(self, target_end: TargetEnd, error: Exception) -> None:
        """Avoid a target box for a while; check later whether it has gone silent."""
        logs.info('box not reached', box_address=target_end.target, reason=repr(error))
        target_end.greeted.cancel()
        _abort(target_end)
        self.targets.mark_unreachable(target_end.target)
        loop = asyncio.get_running_loop()
        loop.call_later(
            SILENCE_TIMEOUT_SECONDS,
            self._abort_if_silent,
            target_end.target,
            self.targets.now(),
        )

    def _abort_if_silent(self, target: Address, since: float) -> None:
        """Abort the connections to a box from which nothing was received since."""
        if self.last_received.get(target, 0) >= since:
            return
        stuck = [
            one
            for one in self.open
            if isinstance(one, TargetEnd) and one.target == target
        ]
        if stuck:
            logs.warning('box stands still', box_address=target, broken_off=len(stuck))
        for one in stuck:
            if one.peer is not None:
                _abort(one.peer)
            _abort(one)

    def _record_handoff(self) -> None:
        self.handed_off += 1
        self.unlogged += 1
        if self.unlogged == 1:
            asyncio.get_running_loop().call_later(LOG_DELAY_SECONDS, self._log)

    def _log(self) -> None:
        logs.info(
            'connections handed on',
            count=self.unlogged,
            open=len(self.open),
            targets=self.targets.addresses,
        )
        self.unlogged = 0


def _abort(relay_end: RelayEnd) -> None:
    if relay_end.transport is not None:
        relay_end.transport.abort()


def _ignore() -> None:
    """Ignore when a caller sends bytes: only the target box is watched."""
