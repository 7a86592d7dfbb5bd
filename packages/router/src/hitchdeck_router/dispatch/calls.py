"""HTTP calls to upstreams on tornado's ``HTTP1Connection``.

Tornado's ``AsyncHTTPClient`` can't be cancelled, and doesn't report whether
the connection was established before a failure.  The ``HTTP1Connection`` below
it allows both, and backpressure: the next chunk is read only after the last
one was consumed.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from hitchdeck_core.quarantine.probing import UntilClosed, stays_reachable
from hitchdeck_router.errors import UpstreamBrokenError, UpstreamUnreachedError

CONNECT_SECONDS = 2.0
MAX_RESPONSE_BYTES = 67_108_864
"""Default limit of a response that is forwarded as it arrives."""

MAX_REJECTION_BYTES = 1_048_576
"""Limit of a rejection, which is held until it is complete."""

MAX_INTERIM_RESPONSES = 16
_FIRST_FINAL_STATUS = 200
_CHUNK_BYTES = 1024 * 10
_FRAMING_HEADERS = ('Content-Length', 'Transfer-Encoding')


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A request.

    ``read_timeout`` is the maximum wait for a chunk in seconds, and ``response_limit``
    the maximum size of the response's body in bytes.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b''
    read_timeout: float = 60.0
    response_limit: int = MAX_RESPONSE_BYTES


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: HTTPHeaders


@dataclass(slots=True)
class _ResponseEnd:
    """End of a response; ``complete`` if its framing was complete."""

    complete: bool


@dataclass
class _Receiver(HTTPMessageDelegate):
    """Puts the parts of a response into a queue of length one.

    ``ends_with_connection`` is whether nothing but the end of the connection marks that
    of the response.
    """

    queue: asyncio.Queue[ResponseHead | bytes | _ResponseEnd] = field(
        default_factory=lambda: asyncio.Queue(1),
    )
    ended: bool = False
    ends_with_connection: bool = False
    abandoned: bool = False
    interim_count: int = 0

    async def put(self, received: ResponseHead | bytes | _ResponseEnd) -> None:
        """Queue a part of the response, unless the call was abandoned."""
        if not self.abandoned:
            await self.queue.put(received)

    def abandon(self) -> None:
        """Discard the rest of the response.

        Cancelling the reader task instead would make tornado log an error for
        each caller that disconnects.
        """
        self.abandoned = True
        while not self.queue.empty():
            self.queue.get_nowait()

    async def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Queue the status and headers."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < _FIRST_FINAL_STATUS:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                raise StreamClosedError(real_error=None)
            return
        self.ends_with_connection = not any(one in headers for one in _FRAMING_HEADERS)
        await self.put(ResponseHead(start_line.code, headers))

    async def data_received(self, chunk: bytes) -> None:
        """Queue a chunk; blocks reading until there is space."""
        await self.put(chunk)

    def finish(self) -> None:
        """Mark the response as complete."""
        self.ended = True

    def on_connection_close(self) -> None:
        """Do nothing: a response without ``finish`` counts as broken."""


class UpstreamCall:
    """An open call; ``close`` it when done, which cancels a running request."""

    def __init__(self, stream: IOStream, request: CallRequest) -> None:
        self.stream = stream
        self.read_timeout = request.read_timeout
        self.receiver = _Receiver()
        self.reading: asyncio.Task[None] | None = None

    async def start(self, address: Address, request: CallRequest) -> None:
        """Send the request and start reading the response."""
        connection = HTTP1Connection(
            self.stream,
            is_client=True,
            params=HTTP1ConnectionParameters(
                no_keep_alive=True,
                chunk_size=_CHUNK_BYTES,
                max_body_size=request.response_limit,
            ),
        )
        headers = HTTPHeaders(request.headers)
        headers['Host'] = address
        headers['Connection'] = 'close'
        if request.body:
            headers['Content-Length'] = str(len(request.body))
        start_line = RequestStartLine(request.method, request.path, 'HTTP/1.1')
        connection.write_headers(start_line, headers, request.body or None)
        connection.finish()
        self.reading = asyncio.create_task(self._read(connection))

    async def head(self) -> ResponseHead:
        """Wait for the status and headers."""
        received = await self._next()
        if not isinstance(received, ResponseHead):
            raise UpstreamBrokenError('connection closed before an answer')
        return received

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ``UpstreamBrokenError`` if it is truncated."""
        while True:
            received = await self._next()
            if isinstance(received, bytes):
                yield received
                continue
            if isinstance(received, _ResponseEnd) and received.complete:
                return
            raise UpstreamBrokenError('connection closed within the answer')

    async def read_body(self, limit: int) -> bytes:
        """Read and return the complete body.

        Raises
        ------
        UpstreamBrokenError
            It is truncated, or larger than ``limit`` bytes.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit:
                raise UpstreamBrokenError(f'answer over {limit} bytes')
        return bytes(body)

    def close(self) -> None:
        """Close the connection, which engines treat as a cancellation."""
        self.receiver.abandon()
        self.stream.close()

    async def _read(self, connection: HTTP1Connection) -> None:
        try:
            await connection.read_response(self.receiver)
        except StreamClosedError:
            await self.receiver.put(_ResponseEnd(complete=False))
            return
        # Tornado takes a reset, too, for the end of a body of unstated length.
        reset = self.receiver.ends_with_connection and self.stream.error is not None
        await self.receiver.put(
            _ResponseEnd(complete=self.receiver.ended and not reset)
        )

    async def _next(self) -> ResponseHead | bytes | _ResponseEnd:
        try:
            async with asyncio.timeout(self.read_timeout):
                return await self.receiver.queue.get()
        except TimeoutError as error:
            raise UpstreamBrokenError(f'silent for {self.read_timeout} s') from error


async def open_call(address: Address, request: CallRequest) -> UpstreamCall:
    """Connect and send a request.

    Raises
    ------
    UpstreamUnreachedError
        The connection could not be established, so nothing was sent.
    UpstreamBrokenError
        The connection broke while the request was being sent.
    """
    stream = await _connect(address, request.response_limit)
    stream.set_nodelay(True)
    call = UpstreamCall(stream, request)
    try:
        await call.start(address, request)
    except StreamClosedError as error:
        call.close()
        raise UpstreamBrokenError(f'{address}: {error}') from error
    return call


async def accepts_connections(address: Address) -> bool:
    """Return whether an upstream accepts connections and keeps running."""
    opened: list[IOStream] = []

    async def open_probe() -> UntilClosed | None:
        try:
            stream = await _connect(address)
        except UpstreamUnreachedError:
            # An unreachable upstream is a result of the probe, not an error.
            return None
        opened.append(stream)
        closed = asyncio.Event()
        stream.set_close_callback(closed.set)

        async def until_closed() -> None:
            if not stream.closed():
                await closed.wait()

        return until_closed

    try:
        return await stays_reachable(open_probe)
    finally:
        for stream in opened:
            stream.close()


async def _connect(address: Address, limit: int = MAX_RESPONSE_BYTES) -> IOStream:
    """Return a connection that holds at most ``limit`` bytes of a response."""
    host, port = split_address(address)
    client = TCPClient()
    try:
        return await client.connect(
            host, port, timeout=CONNECT_SECONDS, max_buffer_size=limit
        )
    except (OSError, TimeoutError, StreamClosedError) as error:
        raise UpstreamUnreachedError(f'{address}: {error}') from error
