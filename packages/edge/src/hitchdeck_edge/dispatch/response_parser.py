"""Parsing of an upstream's responses, by llhttp through httptools.

llhttp frames the messages.  This module adds what a proxy must know beyond that:
whether a response is complete when the connection ends, and whether bytes follow it.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from hitchdeck_core.event_streams import is_event_stream
from hitchdeck_edge.model.calls import Header

MAX_UNPARSED_BYTES = 16_384
"""Limit of what is read without a complete head or a part of a body: an upstream that
sends an endless head or trailer must not fill the memory of this process."""

_PROTOCOL = b'HTTP/'
_LINE_END = b'\r\n'
_MESSAGE_END = b'\r\n\r\n'
_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'
_CHUNKED = b'chunked'
_CONTENT_TYPE = b'content-type'
_CONTENT_ENCODING = b'content-encoding'
_PERSISTENT_VERSION = '1.1'
_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class Framing(Enum):
    """What marks the end of a response."""

    length = 'length'
    """Its stated length, or that it has no body."""

    chunks = 'chunks'
    """The last chunk."""

    close = 'close'
    """The end of the connection."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an upstream's response."""

    status: int
    reason: bytes
    headers: list[Header]
    framing: Framing

    @property
    def is_event_stream(self) -> bool:
        """Tell whether the body consists of events: its type, if stated, says so."""
        stated = self.field(_CONTENT_TYPE)
        return stated is None or is_event_stream(stated.decode('latin-1'))

    @property
    def encoding(self) -> bytes:
        """Return the content encoding of the body; empty if it has none."""
        return (self.field(_CONTENT_ENCODING) or b'').strip().lower()

    def mismatch(self, begun: 'ResponseHead') -> str:
        """Return why a response can't continue one that has begun; empty if it can.

        The caller has the earlier head, so that only events like its own may follow.
        """
        if self.status != begun.status:
            return f'status {self.status} within a stream'
        if not self.is_event_stream:
            return 'body of another type within a stream'
        if self.encoding != begun.encoding:
            return 'another content encoding within a stream'
        return ''

    def field(self, wanted: bytes) -> bytes | None:
        """Return the first value of a header, whose name is given in lower case."""
        for name, text in self.headers:
            if name.lower() == wanted:
                return text
        return None


Event = ResponseHead | bytes | None
"""A head, a part of a body, or ``None`` for the end of a response."""


class ResponseParser:
    """Parses what arrives after one request was sent.

    Attributes
    ----------
    events
        What was parsed and not yet taken, in order.  Informational responses are
        skipped, and all parts of a body that arrived together are one event.
    error
        Why the bytes after ``events`` are not a response; empty if they may be one.
    """

    def __init__(self, *, bodiless: bool) -> None:
        """Expect a response without a body if ``bodiless``, as to HEAD."""
        self.bodiless = bodiless
        self.events: deque[Event] = deque()
        self.error = ''
        self._parser = HttpResponseParser(self)
        # The first three were accepted before llhttp was used.  With the fourth, a late
        # response to an earlier request does not hide the response that follows it.
        self._parser.set_dangerous_leniencies(
            lenient_chunked_length=True,
            lenient_optional_cr_before_lf=True,
            lenient_spaces_after_chunk_size=True,
            lenient_data_after_close=True,
        )
        self._started = False
        self._unparsed = 0
        self._reason = b''
        self._headers: list[Header] = []
        self._pieces: list[bytes] = []
        self._in_body = False
        self._ended = False
        self._until_close = False
        self._keep_alive = False
        self._surplus = False
        self._last = b''

    def restarted(self, *, bodiless: bool) -> 'ResponseParser':
        """Return the parser for the next request, after a response that ended well."""
        if bodiless or self.bodiless:
            return ResponseParser(bodiless=bodiless)
        self._started = False
        self._ended = False
        self._last = b''
        return self

    @property
    def reusable(self) -> bool:
        """Tell whether a response ended where the bytes ended, and permits another."""
        return self._keep_alive and not (self._surplus or self.events or self.error)

    def feed(self, chunk: bytes) -> None:
        """Parse bytes that arrived."""
        if not self._started:
            self._check_protocol(chunk)
        if self.error:
            return
        self._surplus = self._surplus or self._ended
        self._unparsed += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except HttpParserUpgrade:
            self.error = 'protocol switch'
        except HttpParserError as error:
            self.error = str(error)
        self._flush()
        if self._unparsed > MAX_UNPARSED_BYTES:
            self.error = 'head or trailer too long'
        if self._ended and not self._surplus:
            self._surplus = not self._ends_response(chunk)
        self._last = chunk

    def end_input(self) -> None:
        """Record the end of the connection, which ends a body of unstated length."""
        if self._in_body and self._until_close and not self.error:
            self._end_response(keep_alive=False)

    def on_message_begin(self) -> None:
        """Start the next response; called by the parser."""
        self._surplus = self._surplus or self._ended
        self._ended = False
        self._reason = b''
        self._headers = []

    def on_status(self, text: bytes) -> None:
        """Add a part of the reason phrase; called by the parser."""
        self._reason += text

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header; called by the parser, also for trailers, which are dropped."""
        if not self._in_body:
            self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Add the head of a response; called by the parser."""
        status = self._parser.get_status_code()
        if status < HTTPStatus.OK:
            return
        framing = self._find_framing(status)
        self._flush()
        head = ResponseHead(status, self._reason, self._headers, framing)
        self.events.append(head)
        self._unparsed = 0
        self._in_body = True
        self._until_close = framing is Framing.close
        if self.bodiless:
            version = self._parser.get_http_version()
            self._end_response(keep_alive=version == _PERSISTENT_VERSION)

    def on_body(self, piece: bytes) -> None:
        """Add a part of the body; called by the parser."""
        if self._in_body:
            self._pieces.append(piece)
        else:
            self._surplus = True

    def on_message_complete(self) -> None:
        """End a response; called by the parser, also for informational ones."""
        if self._in_body:
            self._flush()
            self._end_response(keep_alive=self._parser.should_keep_alive())

    def _check_protocol(self, chunk: bytes) -> None:
        """Reject what llhttp accepts besides HTTP, and blank lines before a head."""
        self._started = True
        if not (chunk.startswith(_PROTOCOL) or _PROTOCOL.startswith(chunk)):
            self.error = 'no HTTP response'

    def _find_framing(self, status: int) -> Framing:
        """Return what marks the end of the response, by its status and headers.

        Raises
        ------
        HttpParserError
            The transfer encoding is not chunked.
        """
        names = set()
        for name, text in self._headers:
            lowered = name.lower()
            if lowered == _TRANSFER_ENCODING and text.strip().lower() != _CHUNKED:
                raise HttpParserError(f'transfer encoding {text!r}')
            names.add(lowered)
        if _TRANSFER_ENCODING in names:
            return Framing.chunks
        bodiless = self.bodiless or status in _BODILESS_STATUSES
        if bodiless or _CONTENT_LENGTH in names:
            return Framing.length
        return Framing.close

    def _flush(self) -> None:
        if self._pieces:
            self.events.append(b''.join(self._pieces))
            self._pieces = []
            self._unparsed = 0

    def _end_response(self, *, keep_alive: bool) -> None:
        self.events.append(None)
        self._in_body = False
        self._ended = True
        self._keep_alive = keep_alive
        self._unparsed = 0

    def _ends_response(self, chunk: bytes) -> bool:
        """Tell whether the last bytes belong to the response that they completed.

        llhttp skips blank lines after a response without a callback.
        """
        body = self.events[-2] if len(self.events) > 1 else None
        if isinstance(body, bytes) and chunk.endswith(body):
            return True
        end = (self._last + chunk)[-len(_MESSAGE_END + _LINE_END) :]
        return end.endswith(_MESSAGE_END) and not end.startswith(_MESSAGE_END)
