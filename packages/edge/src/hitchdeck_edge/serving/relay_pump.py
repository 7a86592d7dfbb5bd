"""Relaying the bytes of many connections at a bounded processor cost.

Events of a stream are some milliseconds apart.  With one turn of the event loop for
each, relaying a stream costs nearly as much as serving it.  The pump polls all relayed
connections together, at an interval that is short against the goals of callers, so that
one turn forwards what has arrived on all of them.
"""

import asyncio
import errno
import os
import select
import socket
from collections.abc import Callable

from hitchdeck_core import logs
from hitchdeck_core.channels import split_address
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address
from hitchdeck_core.sockets import enable_keepalive, reset_on_close

POLL_SECONDS = 0.01
"""Interval of polls.  A relayed request takes three of them (greeting, request and
response), a fifth of the shortest goal of a call, 145 ms."""

MAX_READS = 16
"""Reads in one poll of a connection on which more has arrived than one read takes."""

READ_BYTES = 16_384
"""Maximum number of bytes that a connection holds in each direction: no more are read
until all of them are written."""


class Relay:
    """A connection of a caller, and the connection to the box that serves it.

    Attributes
    ----------
    started
        When the connection to the target was begun, in seconds.
    greeted
        Whether the target has sent its greeting.
    to_caller, to_target
        Bytes that were read and could not be written yet.
    """

    __slots__ = (
        'address',
        'caller',
        'greeted',
        'started',
        'target',
        'to_caller',
        'to_target',
    )

    def __init__(
        self, caller: socket.socket, target: socket.socket, address: Address, now: float
    ) -> None:
        self.caller = caller
        self.target = target
        self.address = address
        self.started = now
        self.greeted = False
        self.to_caller = b''
        self.to_target = b''

    def held(self, *, to_caller: bool) -> bytes:
        """Return the bytes that were read for one of the two connections."""
        return self.to_caller if to_caller else self.to_target

    def interest(self, *, of_caller: bool) -> int:
        """Return the events to poll for on one of the two connections."""
        writes = select.EPOLLOUT if self.held(to_caller=of_caller) else 0
        reads = 0 if self.held(to_caller=not of_caller) else select.EPOLLIN
        return writes | reads


OnGreeted = Callable[[Relay], None]
OnReceived = Callable[[Relay], None]

OnFailed = Callable[[Relay, OSError], None]
"""Called if a target does not greet; nothing was read from the caller, whose connection
is left open."""


class RelayPump:
    """Connects to targets, and forwards bytes between callers and targets.

    Attributes
    ----------
    greeting_seconds
        Timeout of the connection to a target and its greeting.
    open
        All relays.
    relays
        The same by the descriptors of their connections.
    pending
        The relays whose target has not greeted yet, oldest first.
    """

    def __init__(
        self,
        now: Clock,
        on_greeted: OnGreeted,
        on_received: OnReceived,
        on_failed: OnFailed,
    ) -> None:
        self.now = now
        self.on_greeted = on_greeted
        self.on_received = on_received
        self.on_failed = on_failed
        self.greeting_seconds = 0.0
        self.open: set[Relay] = set()
        self.relays: dict[int, Relay] = {}
        self.pending: dict[Relay, None] = {}
        self.poller: select.epoll | None = None

    def start(self, caller: socket.socket, address: Address) -> Relay:
        """Begin to connect to a target."""
        host, port = split_address(address)
        target = socket.socket(socket.AF_INET6 if ':' in host else socket.AF_INET)
        relay = Relay(caller, target, address, self.now())
        try:
            self._connect(relay, (host, port))
        except OSError:
            self._forget(relay)
            target.close()
            raise
        self.open.add(relay)
        self.pending[relay] = None
        return relay

    def abort(self, relay: Relay) -> None:
        """Reset both connections of a relay, and discard what they hold.

        A response that is framed by the end of its connection must not look complete.
        """
        for sock in (relay.caller, relay.target):
            # The target is closed already if no greeting came.
            if sock.fileno() >= 0:
                reset_on_close(sock)
        self._end(relay)

    def close(self) -> None:
        """Abort all relays."""
        for relay in list(self.open):
            self.abort(relay)

    def _end(self, relay: Relay) -> None:
        """Close both connections of a relay."""
        self._forget(relay)
        relay.caller.close()
        relay.target.close()

    def _connect(self, relay: Relay, address: tuple[str, int]) -> None:
        relay.target.setblocking(False)
        enable_keepalive(relay.target)
        # Registered first: nothing is connected that could not be polled.
        self._register(relay.target, relay)
        error = relay.target.connect_ex(address)
        if error not in {0, errno.EINPROGRESS}:
            raise OSError(error, os.strerror(error))

    def _register(self, sock: socket.socket, relay: Relay) -> None:
        if self.poller is None:
            self.poller = select.epoll()
            asyncio.get_running_loop().call_later(POLL_SECONDS, self._poll)
        self.poller.register(sock, select.EPOLLIN)
        self.relays[sock.fileno()] = relay

    def _forget(self, relay: Relay) -> None:
        self.open.discard(relay)
        self.pending.pop(relay, None)
        for sock in (relay.caller, relay.target):
            if self.relays.pop(sock.fileno(), None) and self.poller is not None:
                self.poller.unregister(sock)

    def _poll(self) -> None:
        """Forward what has arrived, and poll again later if any relay is left."""
        assert self.poller is not None
        try:
            self._poll_once(self.poller)
        finally:
            if self.relays:
                asyncio.get_running_loop().call_later(POLL_SECONDS, self._poll)
            else:
                self.poller.close()
                self.poller = None

    def _poll_once(self, poller: select.epoll) -> None:
        # A delay of this process must not count as the target's, so nothing expires
        # whose time ended after the poll began.
        before = self.now()
        for descriptor, events in poller.poll(0):
            relay = self.relays.get(descriptor)
            if relay is not None:
                self._guard(relay, self._process, relay, descriptor, events)
        self._expire(before - self.greeting_seconds)

    def _guard(self, relay: Relay, step: Callable[..., None], *args: object) -> None:
        """Take a step for a relay; an unexpected error ends this relay only."""
        try:
            step(*args)
        except Exception as error:
            logs.failure('relay failed', error)
            self.abort(relay)

    def _process(self, relay: Relay, descriptor: int, events: int) -> None:
        of_caller = descriptor == relay.caller.fileno()
        try:
            if not relay.greeted:
                self._greet(relay)
                return
            if events & select.EPOLLOUT:
                self._flush(relay, to_caller=of_caller)
                if not relay.held(to_caller=of_caller):
                    self._update_interest(relay)
            if events & ~select.EPOLLOUT:
                self._forward_all(relay, from_caller=of_caller)
        except BlockingIOError:
            return
        except OSError:
            self.abort(relay)

    def _greet(self, relay: Relay) -> None:
        """Read the greeting, then forward what the caller has sent until now."""
        try:
            if not relay.target.recv(1):
                raise ConnectionAbortedError('no greeting')
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(relay, error)
            return
        relay.greeted = True
        self.pending.pop(relay)
        self.on_received(relay)
        self.on_greeted(relay)
        self._register(relay.caller, relay)
        self._forward_all(relay, from_caller=True)

    def _forward_all(self, relay: Relay, *, from_caller: bool) -> None:
        """Forward what has arrived on one connection, as much as the other takes."""
        for _ in range(MAX_READS):
            if relay.held(to_caller=not from_caller):
                return
            if self._forward(relay, from_caller=from_caller) < READ_BYTES:
                return

    def _forward(self, relay: Relay, *, from_caller: bool) -> int:
        """Read from one connection once; return the number of bytes."""
        received = (relay.caller if from_caller else relay.target).recv(READ_BYTES)
        if not received:
            # All that was read has been written; the kernel sends the rest.
            self._end(relay)
            return 0
        if from_caller:
            relay.to_target = received
        else:
            relay.to_caller = received
            self.on_received(relay)
        self._flush(relay, to_caller=not from_caller)
        if relay.held(to_caller=not from_caller):
            self._update_interest(relay)
        return len(received)

    def _flush(self, relay: Relay, *, to_caller: bool) -> None:
        """Write held bytes; while some are left, nothing more is read for them."""
        sink = relay.caller if to_caller else relay.target
        held = relay.held(to_caller=to_caller)
        try:
            left = held[sink.send(held) :]
        except BlockingIOError:
            left = held
        if to_caller:
            relay.to_caller = left
        else:
            relay.to_target = left

    def _update_interest(self, relay: Relay) -> None:
        assert self.poller is not None
        self.poller.modify(relay.caller, relay.interest(of_caller=True))
        self.poller.modify(relay.target, relay.interest(of_caller=False))

    def _expire(self, latest: float) -> None:
        """Fail the pending relays that were started until then."""
        for relay in list(self.pending):
            if relay.started > latest:
                return
            late = TimeoutError('no greeting in time')
            self._guard(relay, self._fail, relay, late)

    def _fail(self, relay: Relay, error: OSError) -> None:
        self._forget(relay)
        relay.target.close()
        self.on_failed(relay, error)
