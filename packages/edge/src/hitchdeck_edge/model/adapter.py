"""Interface of a platform adapter: a platform's names and formats, as functions."""

from collections.abc import Callable, Iterable

from hitchdeck_core.ids import AccountName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_edge.model.calls import Call, Header, ResponseMarks
from hitchdeck_edge.model.document import Document
from hitchdeck_edge.model.upstreams import Upstream


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What an attempt adds to the headers of a caller's request.

    Attributes
    ----------
    seconds_left
        Time that the upstream has until the request's deadline.
    last_event
        Id of the last event that the caller received, if the stream is resumed.
    body_bytes
        Length of the request body.
    cache_source
        Engine from which the upstream is to take what it has cached of the prompt.
    """

    upstream: Upstream
    account: AccountName | None
    seconds_left: float
    last_event: str
    body_bytes: int
    cache_source: Upstream | None = None


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Functions that decode and encode a platform's formats.

    Attributes
    ----------
    read_call
        Decodes a request from its method, target and headers; raises
        ``MalformedRequestError``.
    forward_headers
        Returns the headers of a request to an upstream.
    read_answer
        Decodes the marks in the status and headers of a response.
    request_field
        Name of the header with the id of a request.
    account_field
        Name of the header with the key of a client account.
    read_document
        Decodes a configuration document; raises ``DocumentError``.
    """

    read_call: Callable[[str, str, Iterable[tuple[str, str]]], Call]
    forward_headers: Callable[[Call, Forwarding], list[Header]]
    read_answer: Callable[[int, Iterable[Header]], ResponseMarks]
    request_field: str
    account_field: str
    read_document: Callable[[bytes], Document]
