"""One connection to an upstream, and one request at a time over it.

h11 frames the messages; the connection adds what a router must know beyond
that: whether anything came between two requests, whether a byte went out,
and whether an end was a close or a reset.
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
"""An upstream in reach accepts within some milliseconds; a lost opening
packet is sent again after a second by itself, so another try is faster."""

CONNECT_TURNS = 4
"""Turns of this process's own loop that a connection takes, beside that."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it goes to an upstream."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an upstream's answer."""

    status: int
    reason: bytes
    headers: list[Header]


class Connection(asyncio.Protocol):
    """A connection to one upstream.

    Attributes
    ----------
    spoiled
        Something came that belongs to no request, or the end of a message
        is not certain: the connection must not be used again.
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
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            enable_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Hand bytes to the parser; between two requests nothing may come."""
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
        """Note the end; without a close before it, it was a reset."""
        if not self.closed:
            self.failure = exc or ConnectionResetError('reset')
        self.closed = True
        self._wake()

    @property
    def usable(self) -> bool:
        """Tell whether another request may go over this connection."""
        return not (self.not_reusable or self.closed or self.busy)

    def is_quiet(self) -> bool:
        """Tell whether nothing has come since the last answer, a close neither.

        A loop that is behind learns it only after the next request was sent,
        which then may have run or not.  To ask takes 1 us (mean of 200,000).
        """
        return self.usable and not (
            self.transport is None
            or has_unread_input(self.transport.get_extra_info('socket').fileno())
        )

    def send(self, upstream_request: UpstreamRequest) -> None:
        """Send a request; raise ``NotSentError`` if nothing can have gone out."""
        if self.closed or self.transport is None:
            raise NotSentError('the connection had closed')
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
        """Return the answer's head, or raise ``IncompleteResponseError``."""
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise IncompleteResponseError(f'no answer but {type(event).__name__}')
        headers = list(event.headers.raw_items())
        return ResponseHead(event.status_code, bytes(event.reason), headers)

    async def read_data(self) -> bytes:
        """Return the next piece of the body, empty at its whole end.

        Raises
        ------
        BrokenAnswerError
            The answer ended before its end.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._end_request()
            return b''
        raise IncompleteResponseError('the connection closed within an answer')

    async def read_body(self) -> bytes:
        """Return the rest of the body."""
        pieces: list[bytes] = []
        while piece := await self.read_data():
            pieces.append(piece)
        return b''.join(pieces)

    async def wait_closed(self) -> None:
        """Return when the upstream has closed or reset an idle connection."""
        while not self.closed:
            await self._wait()

    def expect_another_response(self) -> bool:
        """Make ready to read once more, after an answer to an earlier request.

        The parser's state is that of the finished answer; a new one reads on
        from the bytes that are left.  Tells whether that is possible.
        """
        rest, ended = self.parser.trailing_data
        if self.closed or ended:
            return False
        self.parser = h11.Connection(h11.CLIENT)
        # The request went out long ago; this only brings the states in line.
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
        """Stop reading while the caller takes nothing."""
        if self.transport is not None and not self.closed:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()

    def abort_pending(self) -> None:
        """Close at once, and let whoever waits for an answer know."""
        self.failure = ConnectionAbortedError('the upstream is gone')
        self.abort()
        self._wake()

    def abort(self) -> None:
        """Close at once; an upstream drops the work of a closed connection."""
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
            raise IncompleteResponseError('more than one answer came')
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
    # A loop that is behind must not take its own delay for the upstream's.
    timeout_seconds = CONNECT_SECONDS + CONNECT_TURNS * loop_lag()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, connection = await loop.create_connection(Connection, host, port)
    except (OSError, TimeoutError) as error:
        raise NotSentError(f'{address}: {error!r}') from error
    return connection
