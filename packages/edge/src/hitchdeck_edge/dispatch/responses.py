"""Final responses to callers: this box's own, and forwarded ones of upstreams."""

from collections.abc import Iterable
from http import HTTPStatus

from hitchdeck_core.ids import RequestId
from hitchdeck_core.retry_after import RETRY_AFTER
from hitchdeck_edge.dispatch.response_parser import ResponseHead
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
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and the length, which is set again from
the body."""


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers without hop-by-hop headers."""
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
    """Return an upstream's headers as they are forwarded to the caller."""
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
    """Reject a request: tell the caller that it did not run and will not.

    Parameters
    ----------
    retry_after
        Seconds after which the caller should retry; 0 to use the refusal's default.

    Raises
    ------
    CallerDisconnectedError
        The caller has disconnected.
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
    """Return the header that echoes the request id, if the request has one."""
    return [(adapter.request_field, request)] if request else []


class FinalResponse:
    """Sends the final response to a request, and records its outcome."""

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
        """Forward an upstream's complete response."""
        self.outcome = 'answered'
        await self.caller.respond(
            head.status,
            head.reason.decode('latin-1'),
            response_headers(head.headers),
            body,
        )

    def fail(self, refusal: Refusal, retry_after: float = 0) -> None:
        """End a request for which no further attempt is possible.

        A response that has begun is truncated.  Otherwise the caller gets the refusal
        if the request has certainly not run, and else 502.

        Parameters
        ----------
        retry_after
            Seconds after which the caller should retry; 0 for the refusal's default.
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
        """End a request whose deadline has passed."""
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
