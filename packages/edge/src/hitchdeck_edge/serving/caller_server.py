"""The HTTP server for callers: reads requests in full and has them served."""

import socket
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
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
from tornado.netutil import add_accept_handler

from hitchdeck_core import logs
from hitchdeck_core.loop_load import loop_lag, loop_utilization
from hitchdeck_edge.serving.handoff import GREETING, Handoff, should_hand_off
from hitchdeck_edge.serving.shedding import Shedder

HEADER_BYTES = 65_536
"""Maximum size of a request's head: well above the limits of all configuration
documents seen, so that no request within those is rejected."""

BODY_BYTES = 16_777_216
"""Maximum size of a request's body, for the same reason."""

Serve = Callable[['IncomingRequest'], None]

IsOverloaded = Callable[[], bool]
"""Tells whether this box may have to reject requests."""


class IncomingRequest(HTTPMessageDelegate):
    """Collects one request while it is read."""

    def __init__(self, connection: HTTP1Connection, serve: Serve) -> None:
        self.connection = connection
        self.serve = serve
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the head."""
        assert isinstance(start_line, RequestStartLine)
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Have the complete request served."""
        self.serve(self)

    def on_connection_close(self) -> None:
        """Discard a request whose caller disconnected before it was complete."""
        self.chunks = []

    @property
    def body(self) -> bytes:
        """Return the body read so far."""
        return b''.join(self.chunks)


class CallerServer(HTTPServerConnectionDelegate):
    """Accepts connections of callers, and those that other boxes hand off.

    A new connection is handed off, watched by the shedder, or served here, depending on
    the load of this box.
    """

    def __init__(
        self,
        serve: Serve,
        shedder: Shedder,
        handoff: Handoff,
        is_overloaded: IsOverloaded,
    ) -> None:
        self.serve = serve
        self.shedder = shedder
        self.shedder.serve = self._serve_connection
        self.handoff = handoff
        self.handoff.serve = self._serve_here
        self.is_overloaded = is_overloaded
        self.listeners: list[tuple[socket.socket, Callable[[], None]]] = []
        self.server = HTTPServer(
            self,
            max_header_size=HEADER_BYTES,
            max_body_size=BODY_BYTES,
        )
        # A connection that another box relays carries one request only.
        self.relief_server = HTTPServer(
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
        return IncomingRequest(request_conn, self.serve)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: the end of a connection needs no cleanup."""

    def listen(self, sock: socket.socket) -> None:
        """Accept connections on a listening socket."""
        self.listeners.append((sock, add_accept_handler(sock, self._accept)))

    def listen_for_relief(self, sock: socket.socket) -> None:
        """Accept connections that other boxes hand off."""
        self.listeners.append((sock, add_accept_handler(sock, self._accept_relief)))

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

    def _accept(self, connection: socket.socket, _: object) -> None:
        connection.setblocking(False)
        wanted = should_hand_off(loop_utilization()) or self.handoff.is_late(loop_lag())
        if wanted and self.handoff.try_relay(connection):
            return
        self._serve_here(connection)

    def _accept_relief(self, connection: socket.socket, _: object) -> None:
        connection.setblocking(False)
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
                IOStream(connection), connection.getpeername()
            )
        except OSError as error:
            logs.info('connection closed before it was served', reason=repr(error))
            connection.close()
