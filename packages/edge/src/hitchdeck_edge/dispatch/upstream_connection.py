"""A connection to an upstream, which carries one request at a time.

h11 frames the messages.  The connection adds what a proxy must know beyond that:
whether bytes arrived between two requests, whether any byte was sent, and whether the
connection ended with a close or a reset.
"""

import asyncio
from dataclasses import dataclass

import h11

from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from hitchdeck_core.loop_load import loop_lag
from hitchdeck_core.sockets import enable_keepalive, has_unread_input
from hitchdeck_edge.errors import IncompleteResponseError, NotSentError
from hitchdeck_edge.model.calls import Header

CONNECT_SECONDS = 0.4
"""Connect timeout.  A reachable upstream accepts within milliseconds; the kernel
resends a lost SYN packet only after a second, so that another attempt is faster."""

CONNECT_TURNS = 4
"""Turns of this process's event loop that connecting takes, in addition."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it is sent to an upstream."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an upstream's response."""

    status: int
    reason: bytes
    headers: list[Header]


class Connection(asyncio.Protocol):
    """A connection to an upstream.

    Attributes
    ----------
    busy
        Whether a response is awaited or being read.
    not_reusable
        Whether bytes arrived that belong to no request, or the end of a message is
        uncertain, so that no further request may be sent.
    failure
        Why the connection was lost, other than by a regular close.
    idle_since, idle_limit
        When the connection became idle, and for how long it may be, in seconds.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = h11.Connection(h11.CLIENT)
        self.busy = False
        self.not_reusable = False
        self.closed = False
        self.failure: Exception | None = None
        self.idle_since = 0.0
        self.idle_limit = float('inf')
        self.waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and enable keepalive."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            enable_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; abort if bytes arrive between two requests."""
        if not self.busy:
            self.abort()
            return
        self.parser.receive_data(data)
        self._wake()

    def eof_received(self) -> bool:
        """Tell the parser that the upstream closed its side."""
        self.closed = True
        if self.busy:
            self.parser.receive_data(b'')
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end; without a close before it, the connection was reset."""
        if not self.closed:
            self.failure = exc or ConnectionResetError('reset')
        self.closed = True
        self._wake()

    @property
    def usable(self) -> bool:
        """Tell whether another request may be sent over this connection."""
        return not (self.not_reusable or self.closed or self.busy)

    def is_quiet(self) -> bool:
        """Tell whether neither bytes nor a close arrived since the last response.

        An overloaded event loop would be notified only after the next request was
        sent, and then it is unknown whether that ran.  Asking the socket takes 1 us.
        """
        return self.usable and not (
            self.transport is None
            or has_unread_input(self.transport.get_extra_info('socket').fileno())
        )

    def send(self, upstream_request: UpstreamRequest) -> None:
        """Send a request; raise ``NotSentError`` if no byte can have been sent."""
        if self.closed or self.transport is None:
            raise NotSentError('connection already closed')
        self.busy = True
        request = h11.Request(
            method=upstream_request.method,
            target=upstream_request.target,
            headers=upstream_request.headers,
        )
        parts = [self.parser.send(request)]
        if upstream_request.body:
            parts.append(self.parser.send(h11.Data(data=upstream_request.body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        self.transport.write(b''.join(part for part in parts if part))

    async def read_head(self) -> ResponseHead:
        """Return the head of the response, or raise ``IncompleteResponseError``."""
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise IncompleteResponseError(
                f'expected a response, got {type(event).__name__}'
            )
        headers = list(event.headers.raw_items())
        return ResponseHead(event.status_code, bytes(event.reason), headers)

    async def read_data(self) -> bytes:
        """Return the next chunk of the body, empty once it is complete.

        Raises
        ------
        IncompleteResponseError
            The response was truncated.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._end_request()
            return b''
        raise IncompleteResponseError('connection closed during the response')

    async def read_body(self) -> bytes:
        """Return the rest of the body."""
        pieces: list[bytes] = []
        while piece := await self.read_data():
            pieces.append(piece)
        return b''.join(pieces)

    async def wait_closed(self) -> None:
        """Wait until the upstream closes or resets an idle connection."""
        while not self.closed:
            await self._wait()

    def expect_another_response(self) -> bool:
        """Prepare to read another response, after a stale one to an earlier request.

        The parser has finished with the stale response; a new one continues with the
        remaining bytes.  Return whether that is possible.
        """
        rest, ended = self.parser.trailing_data
        if self.closed or ended:
            return False
        self.parser = h11.Connection(h11.CLIENT)
        # The request was sent already; this only advances the state of the new parser.
        self.parser.send(
            h11.Request(method='GET', target='/', headers=[_PLACEHOLDER_HOST])
        )
        self.parser.send(h11.EndOfMessage())
        self.busy = True
        self.not_reusable = True
        if rest:
            self.parser.receive_data(rest)
        return True

    def pause(self) -> None:
        """Stop reading while the caller does not read."""
        if self.transport is not None and not self.closed:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()

    def abort_pending(self) -> None:
        """Abort the connection, and fail a pending wait for a response."""
        self.failure = ConnectionAbortedError('upstream was removed')
        self.abort()
        self._wake()

    def abort(self) -> None:
        """Abort the connection; the upstream then cancels its request."""
        self.not_reusable = True
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._parse()
            if event is not None:
                return event
            if self.failure is not None:
                raise IncompleteResponseError(f'connection lost: {self.failure!r}')
            if self.closed:
                raise IncompleteResponseError('connection closed')
            await self._wait()

    def _parse(self) -> h11.Event | None:
        try:
            event = self.parser.next_event()
        except h11.RemoteProtocolError as error:
            self.not_reusable = True
            raise IncompleteResponseError(f'not an answer: {error}') from error
        if event is h11.PAUSED:
            raise IncompleteResponseError('more than one response arrived')
        return None if isinstance(event, type) else event

    async def _wait(self) -> None:
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def _end_request(self) -> None:
        self.busy = False
        rest, _ = self.parser.trailing_data
        states = (self.parser.our_state, self.parser.their_state)
        reusable = states == (h11.DONE, h11.DONE)
        if rest or not reusable or self.not_reusable:
            self.not_reusable = True
            return
        self.parser.start_next_cycle()


_PLACEHOLDER_HOST: Header = (b'host', b'any')


async def connect(address: Address) -> Connection:
    """Open a connection, or raise ``NotSentError``."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    # The delay of an overloaded event loop must not count as the upstream's.
    timeout_seconds = CONNECT_SECONDS + CONNECT_TURNS * loop_lag()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, connection = await loop.create_connection(Connection, host, port)
    except (OSError, TimeoutError) as error:
        raise NotSentError(f'{address}: {error!r}') from error
    return connection
