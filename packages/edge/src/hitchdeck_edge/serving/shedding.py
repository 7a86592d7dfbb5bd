"""Rejecting requests on new connections at minimal processor cost.

An overloaded box would spend all of its time on connections, streams and parsers for
requests that it rejects.  The shedder reads a request from the plain socket, and parses
only what it needs to find the end of the request and the id that the response echoes.
"""

import asyncio
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from hitchdeck_core import logs
from hitchdeck_core.ids import RequestId
from hitchdeck_core.retry_after import RETRY_AFTER
from hitchdeck_edge.model.refusals import Refusal, Reply

PEEK_BYTES = 16_384
"""Maximum size of a head that is parsed here; longer ones go to the HTTP server."""

READ_BYTES = 65_536
"""Bytes of a body that are read, and discarded, at once."""

_RESPONSE_END = b'\r\n' + Refusal.no_time_here.value.text.encode()
_HEAD_END = b'\r\n\r\n'
_CONTENT_LENGTH = re.compile(rb'\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r\n')
_FRAMED_OTHERWISE = re.compile(rb'\r\n(?:transfer-encoding|expect|upgrade)[ \t]*:')
_REQUEST_LINE = re.compile(rb'(?:GET|POST|PUT|PATCH|DELETE) [^ \r\n]+ HTTP/1\.1\r\n')

ShouldAdmit = Callable[[], bool]
"""Tells whether to admit a request after all."""

Serve = Callable[[socket.socket], None]
"""Serves a connection from which nothing was read."""

OnRejected = Callable[[RequestId], None]
"""Called with the id of each rejected request."""


@dataclass(frozen=True, slots=True)
class FramedRequest:
    """Size of a request on a connection, in bytes, and its id."""

    size: int
    id: bytes


class Shedder:
    """Rejects requests on connections that were just accepted.

    Attributes
    ----------
    serve
        Serves a connection whose request is admitted, or needs an HTTP parser.
    waiting
        Connections on which no complete request has arrived yet.
    """

    def __init__(
        self, id_field: str, should_admit: ShouldAdmit, on_rejected: OnRejected
    ) -> None:
        name = re.escape(id_field.lower().encode())
        self.id_line = re.compile(rb'\r\n%s:[ \t]*([^\r\n]*?)[ \t]*\r\n' % name, re.I)
        self.id_field = id_field.encode()
        self.head = _rejection_head(Refusal.no_time_here.value)
        self.should_admit = should_admit
        self.serve: Serve = socket.socket.close
        self.on_rejected = on_rejected
        self.waiting: set[socket.socket] = set()

    def watch(self, connection: socket.socket) -> None:
        """Reject the first request on a connection, once it has arrived.

        In a box without processor time, it usually arrives before its connection is
        accepted.
        """
        self.waiting.add(connection)
        received = _peeked(connection)
        request = self.parse(received) if received else None
        if request is not None:
            self._decide(connection, request)
            return
        loop = asyncio.get_running_loop()
        loop.add_reader(connection, self._peek, connection)

    def close(self) -> None:
        """Close the connections on which no complete request has arrived."""
        for connection in list(self.waiting):
            self._close(connection)

    def parse(self, received: bytes) -> FramedRequest | None:
        """Return size and id of the request that begins with these bytes.

        Return ``None`` if finding its end takes an HTTP parser.
        """
        end = received.find(_HEAD_END)
        if end < 0 or not _REQUEST_LINE.match(received):
            return None
        head = received[: end + 2]
        lowered = head.lower()
        lengths = _CONTENT_LENGTH.findall(lowered)
        if _FRAMED_OTHERWISE.search(lowered):
            return None
        if len(lengths) > 1 or len(lengths) != lowered.count(b'content-length'):
            return None
        body = int(lengths[0]) if lengths else 0
        found = self.id_line.search(head)
        return FramedRequest(end + len(_HEAD_END) + body, found[1] if found else b'')

    def _peek(self, connection: socket.socket) -> None:
        """Peek at what has arrived, so that the HTTP server can still read it."""
        received = _peeked(connection)
        if received is None:
            return
        if not received:
            self._close(connection)
            return
        self._decide(connection, self.parse(received))

    def _decide(self, connection: socket.socket, request: FramedRequest | None) -> None:
        if request is None or self.should_admit():
            self._release(connection)
            self.serve(connection)
            return
        self._discard(connection, request, request.size)

    def _discard(
        self, connection: socket.socket, request: FramedRequest, left: int
    ) -> None:
        """Read and discard a request, then reject it."""
        while left:
            try:
                dropped = connection.recv(min(left, READ_BYTES))
            except BlockingIOError:
                loop = asyncio.get_running_loop()
                loop.add_reader(connection, self._discard, connection, request, left)
                return
            except OSError:
                # The caller reset the connection and awaits no response.
                dropped = b''
            if not dropped:
                self._close(connection)
                return
            left -= len(dropped)
        self._send_rejection(connection, request)

    def _send_rejection(
        self, connection: socket.socket, request: FramedRequest
    ) -> None:
        try:
            connection.send(self._rejection(request.id))
        except OSError as error:
            logs.info(
                'rejection not sent', request=_decoded_id(request), reason=repr(error)
            )
        self.on_rejected(_decoded_id(request))
        self._close(connection)

    def _rejection(self, request: bytes) -> bytes:
        if not request:
            return self.head + _RESPONSE_END
        return b'%s%s: %s\r\n%s' % (self.head, self.id_field, request, _RESPONSE_END)

    def _close(self, connection: socket.socket) -> None:
        self._release(connection)
        connection.close()

    def _release(self, connection: socket.socket) -> None:
        asyncio.get_running_loop().remove_reader(connection)
        self.waiting.discard(connection)


def _peeked(connection: socket.socket) -> bytes | None:
    """Return what has arrived; ``None`` if nothing has, empty if nothing will."""
    try:
        return connection.recv(PEEK_BYTES, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        # The caller reset the connection before it sent anything.
        return b''


def _rejection_head(reply: Reply) -> bytes:
    """Return the head of a rejection, without the request's id and the final line."""
    status = HTTPStatus(reply.status)
    lines = (
        f'HTTP/1.1 {status.value} {status.phrase}',
        f'{RETRY_AFTER}: {reply.retry_after}',
        f'Content-Length: {len(reply.text)}',
        'Connection: close',
        '',
    )
    return '\r\n'.join(lines).encode()


def _decoded_id(request: FramedRequest) -> RequestId:
    return RequestId(request.id.decode('latin-1'))
