"""The HTTP server for callers: reads requests in full and has them served."""

import socket
from collections.abc import Awaitable, Callable
from itertools import islice

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from hitchdeck_core import logs
from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from hitchdeck_core.loop_load import loop_lag, loop_utilization
from hitchdeck_core.sockets import (
    has_unread_input,
    listening_socket,
    prepare_for_slow_callers,
)
from hitchdeck_edge.serving.accepting import Acceptor
from hitchdeck_edge.serving.budgets import Budgets, Holding
from hitchdeck_edge.serving.caller_http import (
    CallerHTTPConnection,
    CallerServerConnection,
    CallerStream,
    Service,
)
from hitchdeck_edge.serving.handoff import GREETING, Handoff, should_hand_off
from hitchdeck_edge.serving.request_heads import MAX_LENGTH_DIGITS
from hitchdeck_edge.serving.shedding import Shedder

HEADER_BYTES = 65_536
"""Maximum size of a request's head: well above the limits of all configuration
documents seen, so that no request within those is rejected."""

MAX_CLOSED_IDLE = 8
"""Maximum number of idle connections that are closed for one that is accepted."""

BODY_BYTES = 16_777_216
"""Maximum size of a request's body, for the same reason."""

Serve = Callable[['IncomingRequest'], None]

IsOverloaded = Callable[[], bool]
"""Tells whether this box may have to reject requests."""


def caller_socket(address: Address, *, may_be_slow: bool) -> socket.socket:
    """Return a listening socket for callers, which may be slow to read."""
    listener = listening_socket(*split_address(address))
    if may_be_slow:
        prepare_for_slow_callers(listener)
    return listener


class IncomingRequest(HTTPMessageDelegate):
    """Collects one request while it is read.

    Attributes
    ----------
    length
        Stated length of the body; 0 if none is stated.
    is_refused
        Whether the request is to be rejected for lack of memory.  Its body is discarded
        as it arrives: closing with unread input would reset the connection, and the
        caller might not receive the response.
    """

    def __init__(self, connection: HTTP1Connection, server: 'CallerServer') -> None:
        self.connection = connection
        self.server = server
        self.holding: Holding | None = None
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.length = 0
        self.is_refused = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the head; from now on, bytes of the body are counted."""
        self.server.mark_busy(self.connection)
        held_bytes = self.server.budgets.bytes
        self.length = _content_length(headers)
        if not held_bytes.fits(self.length):
            self._refuse()
        elif held_bytes.limit:
            account = headers.get(self.server.account_field, '')
            close = self.connection.stream.close
            self.holding = held_bytes.open_reading(account, close)
        assert isinstance(start_line, RequestStartLine)
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a chunk of the body; the next one is read after what is returned."""
        if self.is_refused:
            return None
        self.chunks.append(chunk)
        if self.holding is None:
            return None
        held_bytes = self.server.budgets.bytes
        held_bytes.resize(self.holding, self.holding.size + len(chunk))
        is_complete = self.holding.size == self.length
        if is_complete or held_bytes.may_read(self.holding):
            return None
        return self._wait_to_read(self.holding)

    @property
    def connection_serves(self) -> bool:
        """Tell whether the request is to be served in the task of its connection."""
        connection = self.connection
        return isinstance(connection, CallerHTTPConnection) and connection.is_whole

    def serve_in_connection(self, service: Service) -> None:
        """Have the request served in the task of its connection."""
        assert isinstance(self.connection, CallerHTTPConnection)
        self.connection.service = service

    def finish(self) -> None:
        """Have the complete request served, unless it was evicted."""
        if self.holding is not None and not self.is_refused:
            if self.holding not in self.server.budgets.bytes.holdings:
                return
            self.server.budgets.bytes.end_reading(self.holding)
        self.server.serve(self)

    def on_connection_close(self) -> None:
        """Discard a request whose caller disconnected before it was complete."""
        self.chunks = []
        self.release()

    def assign(self, account: str) -> None:
        """Count the body for an account from now on."""
        if self.holding is not None:
            self.holding.account = account

    def release(self) -> None:
        """Stop counting the body."""
        if self.holding is not None:
            self.server.budgets.bytes.close(self.holding)

    @property
    def body(self) -> bytes:
        """Return the body read so far."""
        return b''.join(self.chunks)

    async def _wait_to_read(self, holding: Holding) -> None:
        if not await self.server.budgets.bytes.wait_to_read(holding):
            self._refuse()

    def _refuse(self) -> None:
        """Have the request rejected, and discard its body."""
        self.is_refused = True
        self.chunks = []
        self.release()


def _content_length(headers: HTTPHeaders) -> int:
    """Return the length that a head states; 0 if it states none."""
    text = headers.get('Content-Length', '')
    return int(text) if text.isdecimal() and len(text) <= MAX_LENGTH_DIGITS else 0


class ClosingServer(HTTPServer):
    """An HTTP server that also tells its delegate when a connection ends."""

    def handle_stream(self, stream: IOStream, address: tuple[object, ...]) -> None:
        """Serve a connection of a caller."""
        assert isinstance(stream, CallerStream)
        connection = CallerServerConnection(stream, self.conn_params, address[0])
        self._connections.add(connection)
        connection.start_serving(self)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection, and have the delegate forget it."""
        super().on_close(server_conn)
        assert isinstance(self.request_callback, HTTPServerConnectionDelegate)
        self.request_callback.on_close(server_conn)


class CallerServer(HTTPServerConnectionDelegate):
    """Accepts connections of callers, and those that other boxes hand off.

    A new connection is handed off, watched by the shedder, or served here, depending on
    the load of this box.

    Attributes
    ----------
    account_field
        Name of the header that identifies the account of a request.
    idle
        Connections on which no request is being read or served, longest idle first, if
        descriptors are limited.
    """

    def __init__(
        self,
        serve: Serve,
        shedder: Shedder,
        handoff: Handoff,
        is_overloaded: IsOverloaded,
        budgets: Budgets | None = None,
        account_field: str = '',
    ) -> None:
        self.budgets = budgets or Budgets()
        self.account_field = account_field
        self.idle: dict[IOStream, None] = {}
        self.serve = serve
        self.shedder = shedder
        self.shedder.serve = self._serve_connection
        self.handoff = handoff
        self.handoff.serve = self._serve_here
        self.is_overloaded = is_overloaded
        self.listeners: list[tuple[socket.socket, Callable[[], None]]] = []
        self.server = ClosingServer(
            self,
            max_header_size=HEADER_BYTES,
            max_body_size=BODY_BYTES,
        )
        # A connection that another box relays carries one request only.
        self.relief_server = ClosingServer(
            self,
            no_keep_alive=True,
            max_header_size=HEADER_BYTES,
            max_body_size=BODY_BYTES,
        )

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        if self.budgets.descriptors.usable:
            self.idle[request_conn.stream] = None
        return IncomingRequest(request_conn, self)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that ended."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self.idle.pop(server_conn.stream, None)

    def mark_busy(self, connection: HTTP1Connection) -> None:
        """Record that a request arrives on a connection."""
        self.idle.pop(connection.stream, None)

    def listen(self, sock: socket.socket) -> None:
        """Accept connections on a listening socket."""
        self.listeners.append((sock, Acceptor(sock, self._accept).stop))

    def listen_for_relief(self, sock: socket.socket) -> None:
        """Accept connections that other boxes hand off."""
        self.listeners.append((sock, Acceptor(sock, self._accept_relief).stop))

    def close_after_answers(self) -> None:
        """Close each connection after its next response."""
        self.server.conn_params.no_keep_alive = True

    def stop(self) -> None:
        """Accept no more connections; open HTTP connections continue."""
        for sock, stop_accepting in self.listeners:
            stop_accepting()
            sock.close()
        self.listeners = []
        self.shedder.close()
        self.handoff.close()

    def _accept(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        self._free_descriptors(connection)
        wanted = should_hand_off(loop_utilization()) or self.handoff.is_late(loop_lag())
        if wanted and self.handoff.try_relay(connection):
            return
        self._serve_here(connection)

    def _free_descriptors(self, connection: socket.socket) -> None:
        """Close connections that wait for a request if descriptors are scarce.

        Callers open new ones; without descriptors, no connection could be accepted.
        """
        self.budgets.descriptors.record_accepted(connection.fileno())
        if not self.budgets.descriptors.scarce:
            return
        # With a request unread, its caller could not tell whether it has run.
        unused = (one for one in self.idle if not has_unread_input(one.socket.fileno()))
        closing = list(islice(unused, MAX_CLOSED_IDLE))
        self.budgets.descriptors.record_closed(len(closing))
        logs.warning('descriptors are scarce', closed=len(closing))
        for stream in closing:
            self.idle.pop(stream, None)
            stream.close()

    def _accept_relief(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        self._free_descriptors(connection)
        try:
            connection.send(GREETING)
        except OSError as error:
            logs.info(
                'relaying box disconnected before the greeting', reason=repr(error)
            )
            connection.close()
            return
        self._serve_connection(connection, self.relief_server)

    def _serve_here(self, connection: socket.socket) -> None:
        if self.is_overloaded():
            self.shedder.watch(connection)
        else:
            self._serve_connection(connection)

    def _serve_connection(
        self,
        connection: socket.socket,
        server: HTTPServer | None = None,
    ) -> None:
        try:
            (server or self.server).handle_stream(
                CallerStream(connection), connection.getpeername()
            )
        except OSError as error:
            logs.info('connection closed before it was served', reason=repr(error))
            connection.close()
