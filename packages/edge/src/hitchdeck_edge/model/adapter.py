"""What the adapter supplies: a platform's names and formats, as functions."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hitchdeck_core.ids import AccountName
from hitchdeck_edge.model.calls import Call, Header, ResponseMarks
from hitchdeck_edge.model.document import Document
from hitchdeck_edge.model.upstreams import Upstream


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What one attempt at an upstream adds to a caller's request.

    ``seconds_left`` is how long the upstream may work on it, ``body_bytes``
    the length of the body that goes with it.
    """

    upstream: Upstream
    account: AccountName | None
    seconds_left: float
    last_event: str
    body_bytes: int


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Functions and names that speak a platform's wire forms.

    ``read_call`` and ``read_document`` raise ``CallError`` and
    ``DocumentError``; ``request_field`` names the header with a request's id.
    """

    read_call: Callable[[str, str, Iterable[tuple[str, str]]], Call]
    forward_headers: Callable[[Call, Forwarding], list[Header]]
    read_answer: Callable[[int, Iterable[Header]], ResponseMarks]
    request_field: str
    read_document: Callable[[bytes], Document]
