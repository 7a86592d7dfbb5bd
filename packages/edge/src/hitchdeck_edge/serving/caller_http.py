"""HTTP connections of callers, within Tornado's server.

Load: 25,000 requests of a day, nearly all of which arrive whole, and whose responses
are accepted by the kernel at once.  Such a request is served in the task of its
connection, without turns of the event loop, futures and timers of its own.  Tornado
reads and answers all others, with the same limits and checks.
"""

import asyncio
import math
import socket
from collections.abc import Callable, Coroutine
from http import HTTPStatus

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
    HTTP1ServerConnection,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from hitchdeck_core import logs
from hitchdeck_edge.serving.request_heads import WholeRequest, parse_whole_request

IDLE_SECONDS = 3600.0
"""Time within which the head of a request must arrive, as in Tornado's HTTP server."""

PIECE_BYTES = 65_536
"""Maximum size of what is read at once."""

_LAST_CHUNK = b'0\r\n\r\n'
_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))

Service = Coroutine[object, object, None]


class CallerStream(IOStream):
    """A caller's socket, on which data is always sent without delay."""

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def set_nodelay(self, enabled: bool) -> None:
        """Do nothing: Tornado would set and reset the option for each response."""

    def unread(self, data: bytes) -> None:
        """Put back what was read last, for another reader."""
        self._read_buffer[:0] = data
        self._read_buffer_size += len(data)

    def send_now(self, data: bytes) -> int:
        """Return how many bytes the kernel accepts without waiting.

        Raises
        ------
        OSError
            The connection was lost.
        """
        if self.writing():
            return 0
        try:
            return self.socket.send(data)
        except BlockingIOError:
            return 0


class IdleTimer:
    """Closes a connection on which no request arrives in time.

    One timer serves all requests of a connection: a timer for each of them took a tenth
    of the time of its reading.

    Attributes
    ----------
    until
        When the connection is closed; infinite while no request is awaited.
    """

    def __init__(self, close: Callable[[], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.close = close
        self.until = math.inf
        self.timer = self.loop.call_later(IDLE_SECONDS, self._check)

    def start(self) -> None:
        """Start to wait for a request."""
        self.until = self.loop.time() + IDLE_SECONDS

    def stop(self) -> None:
        """Stop waiting: the head of a request has arrived."""
        self.until = math.inf

    def cancel(self) -> None:
        """End, with the connection."""
        self.timer.cancel()

    def _check(self) -> None:
        left = min(self.until - self.loop.time(), IDLE_SECONDS)
        if left <= 0:
            self.close()
            return
        self.timer = self.loop.call_later(left, self._check)


class CallerHTTPConnection(HTTP1Connection):
    """Reads one request of a caller, and writes the response to it.

    Attributes
    ----------
    idle
        Closes the connection if no head of a request arrives in time.
    is_whole
        Whether the request arrived in one piece.
    service
        Serves such a request, in the task of the connection.
    """

    def __init__(
        self,
        stream: CallerStream,
        limits: HTTP1ConnectionParameters,
        address: object,
        idle: IdleTimer,
    ) -> None:
        super().__init__(stream, is_client=False, params=limits, context=address)
        self.idle = idle
        self.caller_stream = stream
        self.is_whole = False
        self.service: Service | None = None
        self._is_sent_now = False

    async def read_and_serve(self, delegate: HTTPMessageDelegate) -> bool:
        """Read a request and have it served; return whether another one may follow.

        Raises
        ------
        StreamClosedError
            The connection was closed before a whole request arrived.
        """
        self.idle.start()
        request = await self._read_whole()
        if request is None:
            followed = await self.read_response(delegate)
        else:
            self.idle.stop()
            followed = await self._serve(request, delegate)
        # A caller that sends requests without a pause must not occupy the loop.  The
        # turn is given before the connection counts as idle: once the next request is
        # read, the kernel no longer shows that one arrived.
        await asyncio.sleep(0)
        return followed

    def write_headers(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> 'asyncio.Future[None]':
        """Send the head of the response, and the beginning of its body."""
        assert isinstance(start_line, ResponseStartLine)
        code = start_line.code
        may_have_body = code >= HTTPStatus.OK and code not in _WITHOUT_BODY
        if not (self.is_whole and may_have_body) or self.stream.closed():
            return super().write_headers(start_line, headers, chunk)
        self._is_sent_now = True
        if self._disconnect_on_finish:
            headers['Connection'] = 'close'
        length = headers.get('Content-Length')
        self._chunking_output = length is None
        if length is None:
            headers['Transfer-Encoding'] = 'chunked'
        else:
            self._expected_content_remaining = int(length)
        head = _encoded_head(start_line, headers)
        return self._send(head + self._format_chunk(chunk) if chunk else head)

    def finish(self) -> None:
        """Mark the response as complete."""
        pending = self.stream.closed() or self.stream.writing()
        if pending or not self._is_sent_now or self._expected_content_remaining:
            super().finish()
            return
        if self._chunking_output:
            self._send(_LAST_CHUNK)
        self._write_finished = True
        if self.stream.writing() and self._pending_write is not None:
            self._pending_write.add_done_callback(self._finish_request)
        else:
            self._finish_request(None)

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        """Parse a head that Tornado has read; called by Tornado."""
        self.idle.stop()
        return super()._parse_headers(data)

    async def _read_whole(self) -> WholeRequest | None:
        """Return a request that arrived whole, or leave what was read to Tornado.

        The bytes that were read are released on return: the body is a copy, and the
        budget counts it once.

        Raises
        ------
        StreamClosedError
            The connection was closed, maybe after the request arrived.
        """
        arrived = await self.stream.read_bytes(PIECE_BYTES, partial=True)
        if self.stream.closed():
            # Nobody could receive the response.
            raise StreamClosedError(real_error=self.stream.error)
        request = parse_whole_request(arrived)
        if request is None:
            self.caller_stream.unread(arrived)
        return request

    async def _serve(
        self, request: WholeRequest, delegate: HTTPMessageDelegate
    ) -> bool:
        """Have a request served; return whether another one may follow."""
        self.is_whole = True
        self._request_start_line = request.start_line
        self._request_headers = request.fields
        self._disconnect_on_finish = not self._can_keep_alive(
            request.start_line, request.fields
        )
        try:
            await self._deliver(request, delegate)
        except BaseException:
            delegate.on_connection_close()
            raise
        if not (self._finish_future.done() or self.stream.closed()):
            self.stream.set_close_callback(self._on_connection_close)
        if self.service is not None:
            await self.service
        if not (self._finish_future.done() or self.stream.closed()):
            await self._finish_future
        self._clear_callbacks()
        return not self.stream.closed()

    async def _deliver(
        self, request: WholeRequest, delegate: HTTPMessageDelegate
    ) -> None:
        delegate.headers_received(request.start_line, request.fields)
        if request.body:
            room = delegate.data_received(request.body)
            if room is not None:
                await room
        self._read_finished = True
        delegate.finish()

    def _send(self, data: bytes) -> 'asyncio.Future[None]':
        """Send data; return a future that is done when all of it is written."""
        written = asyncio.get_running_loop().create_future()
        try:
            sent = self.caller_stream.send_now(data)
        except OSError as error:
            self.stream.close(exc_info=error)
            written.set_exception(StreamClosedError(real_error=error))
            # Marked as retrieved: not all callers of this method await the future.
            written.exception()
            return written
        if sent == len(data):
            written.set_result(None)
            return written
        self._write_future = written
        self._pending_write = self.stream.write(data[sent:])
        self._pending_write.add_done_callback(self._on_write_complete)
        return written


class CallerServerConnection(HTTP1ServerConnection):
    """Serves the requests of one connection, one after the other."""

    def __init__(
        self, stream: CallerStream, limits: HTTP1ConnectionParameters, address: object
    ) -> None:
        super().__init__(stream, limits, address)
        self.caller_stream = stream

    async def _server_request_loop(
        self, delegate: HTTPServerConnectionDelegate
    ) -> None:
        """Serve requests until the connection ends; called by Tornado."""
        idle = IdleTimer(self.stream.close)
        goes_on = True
        try:
            while goes_on:
                connection = CallerHTTPConnection(
                    self.caller_stream, self.params, self.context, idle
                )
                request = delegate.start_request(self, connection)
                goes_on = await connection.read_and_serve(request)
        except (StreamClosedError, UnsatisfiableReadError, asyncio.CancelledError):
            return
        except Exception as error:
            logs.failure('connection of a caller failed', error)
            self.stream.close()
        finally:
            idle.cancel()
            delegate.on_close(self)


def _encoded_head(start_line: ResponseStartLine, headers: HTTPHeaders) -> bytes:
    """Return the head of a response as bytes on the wire.

    Raises
    ------
    ValueError
        The reason or a field holds a line break, which would change where a line of the
        head ends, or NUL.
    """
    status = f'HTTP/1.1 {start_line.code} {start_line.reason}\r\n'
    lines = [f'{name}: {text}\r\n' for name, text in headers.get_all()]
    fields = ''.join(lines)
    head = status + fields
    ends = 1 + len(lines)
    if head.count('\r') != ends or head.count('\n') != ends or '\0' in head:
        raise ValueError('line break or NUL in the head of a response')
    return b'%b%b\r\n' % (status.encode(), fields.encode('latin-1'))
