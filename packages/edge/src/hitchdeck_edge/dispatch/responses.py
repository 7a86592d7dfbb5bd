"""Final answers that this box gives, and those of upstreams passed on."""

from collections.abc import Iterable
from http import HTTPStatus

from hitchdeck_core.ids import RequestId
from hitchdeck_core.retry_after import RETRY_AFTER
from hitchdeck_edge.dispatch.upstream_connection import ResponseHead
from hitchdeck_edge.model.adapter import PlatformAdapter
from hitchdeck_edge.model.calls import Header
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.serving.caller import CallerConnection, ResponseHeaders

HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
"""Headers of one connection (RFC 9110, 7.6.1), and the length, which is set
anew from the body."""


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that are not of one connection."""
    kept = list(headers)
    named = {
        token.strip().lower()
        for name, text in kept
        if name.lower() == b'connection'
        for token in text.split(b',')
    }
    dropped = HOP_BY_HOP_HEADERS | named
    return [(name, text) for name, text in kept if name.lower() not in dropped]


def response_headers(headers: Iterable[Header]) -> ResponseHeaders:
    """Return an upstream's headers as they go to the caller."""
    return [
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in end_to_end_headers(headers)
    ]


def send_refusal(
    adapter: PlatformAdapter,
    request: RequestId,
    caller: CallerConnection,
    refusal: Refusal,
    retry_after: float = 0,
) -> None:
    """Tell a caller that its request has not run and will not.

    Parameters
    ----------
    retry_after
        Seconds after which another try makes sense, where more is known than the
        refusal says.

    Raises
    ------
    CallerGoneError
        The caller left before.
    """
    reply = refusal.value
    headers = request_id_headers(adapter, request)
    seconds = retry_after or reply.retry_after
    if seconds:
        headers.append((RETRY_AFTER, str(round(seconds, 3))))
    reason = HTTPStatus(reply.status).phrase
    caller.respond_without_waiting(reply.status, reason, headers, reply.text.encode())


def request_id_headers(
    adapter: PlatformAdapter, request: RequestId
) -> list[tuple[str, str]]:
    """Return what an answer of the product's own repeats of a request."""
    return [(adapter.request_field, request)] if request else []


class FinalResponse:
    """The one final answer to a passage."""

    def __init__(
        self,
        adapter: PlatformAdapter,
        context: RequestContext,
        caller: CallerConnection,
    ) -> None:
        self.adapter = adapter
        self.context = context
        self.caller = caller
        self.outcome = 'open'

    async def forward(self, head: ResponseHead, body: bytes) -> None:
        """Give an upstream's whole answer."""
        self.outcome = 'answered'
        await self.caller.respond(
            head.status,
            head.reason.decode('latin-1'),
            response_headers(head.headers),
            body,
        )

    def fail(self, refusal: Refusal, retry_after: float = 0) -> None:
        """End a request for which no upstream can be tried any more.

        ``retry_after`` is as for a refusal.
        """
        self.outcome = refusal.name
        if self.caller.started:
            self.caller.abort()
        elif self.context.may_have_run:
            self._respond_unknown(HTTPStatus.BAD_GATEWAY)
        else:
            request = self.context.call.request
            send_refusal(self.adapter, request, self.caller, refusal, retry_after)

    def time_out(self) -> None:
        """End a request whose time is over."""
        self.outcome = Refusal.time_over.name
        if self.caller.started:
            self.caller.abort()
        elif self.context.may_have_run:
            self._respond_unknown(HTTPStatus.GATEWAY_TIMEOUT)
        else:
            self.fail(Refusal.time_over)

    def _respond_unknown(self, status: HTTPStatus) -> None:
        headers = request_id_headers(self.adapter, self.context.call.request)
        self.caller.respond_without_waiting(status, status.phrase, headers, b'unknown')
