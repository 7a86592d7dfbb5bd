"""A connection to an upstream, which carries one request at a time.

``ResponseParser`` parses what arrives.  The connection adds what a proxy must know
beyond that: whether bytes arrived between two requests, whether any byte was sent, and
whether the connection ended with a close or a reset.
"""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass

from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from hitchdeck_core.loop_load import loop_lag
from hitchdeck_core.sockets import (
    enable_keepalive,
    has_unread_input,
    seconds_since_acknowledged,
)
from hitchdeck_edge.dispatch.response_parser import Event, ResponseHead, ResponseParser
from hitchdeck_edge.errors import (
    IncompleteResponseError,
    MalformedRequestError,
    NotSentError,
)
from hitchdeck_edge.model.calls import Header

CONNECT_SECONDS = 0.4
"""Connect timeout.  A reachable upstream accepts within milliseconds; the kernel
resends a lost SYN packet only after a second, so that another attempt is faster."""

CONNECT_TURNS = 4
"""Turns of this process's event loop that connecting takes, in addition."""

FRAMING_FACTOR = 8
"""Bytes on the wire for each byte of a body that is sent in the smallest chunks; a body
with more framing counts by its bytes on the wire."""

MAX_QUEUED_PARTS = 4
"""Parts of a response that are parsed and not taken, above which reading stops; each is
what was read at once, 256 KiB at most."""

_FORBIDDEN = re.compile(rb'[\x00\x0b\x0c]')
_START = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+ [\x21-\x7e]+ HTTP/1\.1\r\n")


CheckSize = Callable[[int], None]
"""Is told how much of a body was read so far; gives the response up by an error."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it is sent to an upstream."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes


class Connection(asyncio.Protocol):
    """A connection to an upstream.

    Attributes
    ----------
    busy
        Whether a response is awaited or being read.
    not_reusable
        Whether bytes arrived that belong to no request, or the end of a message is
        uncertain, so that no further request may be sent.
    reused
        Whether the connection carries a further request after its first.
    idle_before
        How long it had been idle when it was last taken for a request, in seconds.
    failure
        Why the connection was lost, other than by a regular close.
    idle_since, idle_limit
        When the connection became idle, and for how long it may be, in seconds.
    sink
        Receives the parts of a body as they arrive, without a turn of the event loop
        in between; ``None`` while no body is relayed.
    sink_error
        Error that the sink raised.
    received
        Number of bytes that arrived for the current request.
    is_queue_full
        Whether reading stopped since what arrived was not taken.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = ResponseParser(bodiless=False)
        self.busy = False
        self.not_reusable = False
        self.closed = False
        self.reused = False
        self.idle_before = 0.0
        self.failure: Exception | None = None
        self.idle_since = 0.0
        self.idle_limit = float('inf')
        self.waiter: asyncio.Future[None] | None = None
        self.sink: Callable[[bytes], None] | None = None
        self.sink_error: Exception | None = None
        self.received = 0
        self.is_queue_full = False

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
        self.received += len(data)
        self.parser.feed(data)
        if self.sink is None and len(self.parser.events) > MAX_QUEUED_PARTS:
            self.pause()
            self.is_queue_full = True
        if self.sink is not None:
            self._relay_arrived(self.sink)
            if self._expects_more():
                return
        self._wake()

    def eof_received(self) -> bool:
        """Tell the parser that the upstream closed its side."""
        self.closed = True
        if self.busy:
            self.parser.end_input()
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

    def acknowledged_ago(self) -> float:
        """Return seconds since the upstream's kernel last acknowledged something."""
        if self.transport is None:
            return float('inf')
        return seconds_since_acknowledged(self.transport.get_extra_info('socket'))

    def send(self, upstream_request: UpstreamRequest) -> None:
        """Send a request.

        Raises
        ------
        NotSentError
            The connection was closed, so that no byte can have been sent.
        MalformedRequestError
            The head of the request is invalid; nothing was sent.
        """
        if self.closed or self.transport is None:
            raise NotSentError('connection already closed')
        head = encode_head(upstream_request)
        self.busy = True
        self.received = 0
        bodiless = upstream_request.method == b'HEAD'
        self.parser = self.parser.restarted(bodiless=bodiless)
        self.transport.write(head + upstream_request.body)

    async def read_head(self) -> ResponseHead:
        """Return the head of the response, or raise ``IncompleteResponseError``."""
        head = await self._next_event()
        assert isinstance(head, ResponseHead)
        return head

    async def read_body(self, check_size: CheckSize) -> bytes:
        """Return the rest of the body.

        Raises
        ------
        IncompleteResponseError
            The response was truncated, or ``check_size`` gave it up.
        """
        pieces: list[bytes] = []
        size = 0
        event = await self._next_event()
        while isinstance(event, bytes):
            size += len(event)
            check_size(max(size, self.received // FRAMING_FACTOR))
            pieces.append(event)
            event = await self._next_event()
        self._end_request()
        return b''.join(pieces)

    async def relay_body(self, sink: Callable[[bytes], None]) -> None:
        """Pass the rest of the body to a sink as it arrives; return at its end.

        Raises
        ------
        IncompleteResponseError
            The response was truncated.
        Exception
            The sink raised it.
        """
        self.sink = sink
        try:
            self._relay_arrived(sink)
            _read_on(self)
            while self._expects_more():
                self._check_lost()
                await self._wait()
        finally:
            self.sink = None
        if self.sink_error is not None:
            raise self.sink_error
        await self._next_event()
        self._end_request()

    async def wait_closed(self) -> None:
        """Wait until the upstream closes or resets an idle connection."""
        while not self.closed:
            await self._wait()

    def expect_another_response(self) -> bool:
        """Prepare to read another response, after a stale one to an earlier request.

        The parser continues with the bytes after the stale response.  Return whether
        another one can follow, or has arrived already.
        """
        if self.closed and not self.parser.events:
            return False
        self.busy = True
        self.not_reusable = True
        return True

    def pause(self) -> None:
        """Stop reading while the caller does not read."""
        if self.transport is not None and not self.closed:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()

    def abort_pending(self, reason: str = 'upstream was removed') -> None:
        """Abort the connection, and fail a pending wait for a response."""
        self.failure = ConnectionAbortedError(reason)
        self.abort()
        self._wake()

    def abort(self) -> None:
        """Abort the connection; the upstream then cancels its request."""
        self.not_reusable = True
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    async def _next_event(self) -> Event:
        while not self.parser.events:
            self._check_lost()
            await self._wait()
        event = self.parser.events.popleft()
        _read_on(self)
        return event

    def _relay_arrived(self, sink: Callable[[bytes], None]) -> None:
        """Pass on the parts of the body that have arrived."""
        arrived = self.parser.events
        while arrived and self.sink_error is None:
            part = arrived[0]
            if not isinstance(part, bytes):
                return
            arrived.popleft()
            try:
                sink(part)
            except Exception as error:
                # An error of the caller's side must not count as the upstream's.
                self.sink_error = error

    def _expects_more(self) -> bool:
        """Tell whether a relayed body goes on."""
        ended = self.parser.events or self.parser.error or self.sink_error
        return not ended

    def _check_lost(self) -> None:
        """Raise ``IncompleteResponseError`` if no further event can arrive."""
        if self.parser.error:
            self.not_reusable = True
            raise IncompleteResponseError(f'not an answer: {self.parser.error}')
        if self.failure is not None:
            raise IncompleteResponseError(f'connection lost: {self.failure!r}')
        if self.closed:
            raise IncompleteResponseError('connection closed')

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
        self.not_reusable = self.not_reusable or not self.parser.reusable


def _read_on(connection: Connection) -> None:
    """Resume reading once what arrived was taken."""
    taken = len(connection.parser.events) <= MAX_QUEUED_PARTS
    if connection.is_queue_full and taken:
        connection.is_queue_full = False
        connection.resume()


def encode_head(request: UpstreamRequest) -> bytes:
    """Return the head of a request as bytes on the wire.

    Raises
    ------
    MalformedRequestError
        Some part would not arrive as it is, or would change where the head ends.
    """
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines += [b'%b: %b' % header for header in request.headers]
    head = b'\r\n'.join((*lines, b'', b''))
    breaks = len(lines) + 1
    sound = head.count(b'\n') == breaks and head.count(b'\r') == breaks
    if not sound or _FORBIDDEN.search(head) or not _START.match(head):
        raise MalformedRequestError('head of a request with forbidden characters')
    return head


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
