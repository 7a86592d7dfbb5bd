"""A caller's connection, for the duration of one request."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from hitchdeck_core.loop_load import loop_utilization
from hitchdeck_core.sockets import peer_has_closed, reset_on_close
from hitchdeck_edge.errors import CallerDisconnectedError, ResponseOrderError
from hitchdeck_edge.serving.fields import Fields
from hitchdeck_edge.serving.overload import should_close

ResponseHeaders = Iterable[tuple[str, str]]


class CallerConnection:
    """Sends the response to one request, complete or visibly truncated.

    It sends one head, whatever its users do: what they send later belongs to that
    response or is an error.

    Attributes
    ----------
    started
        Whether the head of a response was sent.
    ended
        Whether the response was sent in full, or truncated.
    disconnected
        Whether the caller closed its connection.
    chunked
        Whether the body of the response is framed in chunks.
    """

    def __init__(self, connection: HTTP1Connection) -> None:
        self.connection = connection
        self.started = False
        self.ended = False
        self.disconnected = False
        self.chunked = False
        self.status = 0
        self.on_disconnect: Callable[[], None] | None = None
        connection.set_close_callback(self._record_disconnect)

    def has_disconnected(self) -> bool:
        """Tell whether the caller has closed its connection, by asking the socket.

        An overloaded event loop is notified too late: a request was sent to an
        upstream 1.5 s after its caller had closed.  Asking the socket takes 1 us.
        """
        stream = self.connection.stream
        return self.disconnected or stream.closed() or peer_has_closed(stream.socket)

    async def start_response(
        self, status: int, reason: str, headers: ResponseHeaders
    ) -> None:
        """Send the head of a response whose body follows in chunks."""
        await self._send_head(status, reason, headers, b'')

    async def respond(
        self,
        status: int,
        reason: str,
        headers: ResponseHeaders,
        body: bytes,
    ) -> None:
        """Send a complete response."""
        await self._send_head(status, reason, _sized(headers, body), body)
        self.finish()

    def respond_without_waiting(
        self,
        status: int,
        reason: str,
        headers: ResponseHeaders,
        body: bytes,
    ) -> None:
        """Send a short, complete response without waiting until it is written.

        Raises
        ------
        CallerDisconnectedError
            The caller has disconnected.
        """
        if self.disconnected or self.connection.stream.closed():
            raise CallerDisconnectedError('caller disconnected before the response')
        self._write_head(status, reason, _sized(headers, body), body)
        self.finish()

    def write(
        self, data: bytes, on_written: Callable[[], None]
    ) -> Awaitable[None] | None:
        """Send a chunk of the body.

        Returns
        -------
        Awaitable or None
            Done when the chunk is written, if the caller does not read fast enough;
            ``on_written`` is called then.

        Raises
        ------
        CallerDisconnectedError
            The caller has disconnected.
        ResponseOrderError
            No response has begun, or it has ended.
        """
        stream = self.connection.stream
        if stream.closed():
            raise CallerDisconnectedError('caller disconnected during the response')
        if self.ended or not self.started:
            raise ResponseOrderError('part of a body outside a response')
        if not self.chunked or stream.writing():
            return self._write_buffered(self.connection.write(data), on_written)
        frame = b'%x\r\n%b\r\n' % (len(data), data)
        # Most chunks fit into the socket's buffer, so that none of the state that
        # Tornado keeps for a pending write is needed.
        sent = self._send_now(frame)
        if sent == len(frame):
            return None
        return self._write_buffered(stream.write(frame[sent:]), on_written)

    async def wait_written(self, pending: Awaitable[None]) -> None:
        """Wait until a chunk is written, or raise ``CallerDisconnectedError``."""
        try:
            await pending
        except StreamClosedError as error:
            raise CallerDisconnectedError(
                'caller disconnected during the response'
            ) from error

    def finish(self) -> None:
        """Mark the response as complete."""
        self.ended = True
        if not self.disconnected:
            self.connection.finish()

    def abort(self) -> None:
        """Truncate the response visibly, by closing or resetting the connection."""
        self.ended = True
        stream = self.connection.stream
        if self.started and not (self.chunked or stream.closed()):
            reset_on_close(stream.socket)
        stream.close()

    def _send_now(self, frame: bytes) -> int:
        """Return how many bytes the kernel accepts without waiting."""
        stream = self.connection.stream
        try:
            return stream.socket.send(frame)
        except BlockingIOError:
            return 0
        except OSError as error:
            stream.close()
            raise CallerDisconnectedError(
                'caller disconnected during the response'
            ) from error

    def _write_buffered(
        self, pending: asyncio.Future[None], on_written: Callable[[], None]
    ) -> asyncio.Future[None] | None:
        if not self.connection.stream.writing():
            return None
        pending.add_done_callback(lambda _: on_written())
        return pending

    async def _send_head(
        self,
        status: int,
        reason: str,
        headers: ResponseHeaders,
        body: bytes,
    ) -> None:
        try:
            await self._write_head(status, reason, headers, body)
        except StreamClosedError as error:
            raise CallerDisconnectedError(
                'caller disconnected before the response'
            ) from error

    def _write_head(
        self,
        status: int,
        reason: str,
        headers: ResponseHeaders,
        body: bytes,
    ) -> Awaitable[None]:
        if self.started:
            raise ResponseOrderError(
                f'head with status {status} after one with {self.status}'
            )
        fields = Fields()
        for name, text in headers:
            fields.add(name, text)
        if should_close(loop_utilization()):
            fields['Connection'] = 'close'
        self.started = True
        self.status = status
        start = ResponseStartLine('HTTP/1.1', status, reason)
        written = self.connection.write_headers(start, fields, body)
        # Tornado adds the header if it frames the body in chunks.
        self.chunked = fields.get('Transfer-Encoding') == 'chunked'
        return written

    def _record_disconnect(self) -> None:
        self.disconnected = True
        if self.on_disconnect is not None:
            asyncio.get_running_loop().call_soon(self.on_disconnect)


def _sized(headers: ResponseHeaders, body: bytes) -> ResponseHeaders:
    return [*headers, ('Content-Length', str(len(body)))]
