"""Calls to plain services, whose responses are forwarded unchanged."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from hitchdeck_core.event_streams import EventSplitter, is_event_stream
from hitchdeck_core.resources import Upstream
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.attempts import Progress, run_attempts
from hitchdeck_router.dispatch.backpressure import apply_backpressure
from hitchdeck_router.dispatch.calls import (
    CallRequest,
    ResponseHead,
    UpstreamCall,
    open_call,
)
from hitchdeck_router.dispatch.chat import REQUEST_ID_HEADER, check_request_id
from hitchdeck_router.dispatch.quarantine import check_for_crash
from hitchdeck_router.dispatch.requests import AdmittedRequest
from hitchdeck_router.errors import ResponseTruncatedError, UpstreamBrokenError
from hitchdeck_router.scheduling.client_state import Slot
from hitchdeck_router.scheduling.costs import SERVICE_CALL_COST


@dataclass(slots=True)
class ServiceRequest:
    """A request to a service: method, path with query, headers."""

    method: str
    path: str
    headers: dict[str, str]
    repeatable: bool


@dataclass(slots=True)
class ServiceResponse:
    """A service's response; the body only up to the size that is stored."""

    status: int = 0
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytearray = field(default_factory=bytearray)


DeliverHead = Callable[[ResponseHead], Awaitable[None]]
DeliverBytes = Callable[[bytes], Awaitable[None]]


async def run_service(
    context: RouterContext,
    admitted: AdmittedRequest,
    request: ServiceRequest,
    deliver_head: DeliverHead,
    deliver_bytes: DeliverBytes,
) -> None:
    """Run a service call to completion.

    Raises
    ------
    RouterError
        The run failed before anything was delivered; the error says whether it
        may have run.
    ResponseTruncatedError
        The response broke after its head was delivered.
    """
    progress = Progress(repeatable=request.repeatable and admitted.key is None)

    async def run_once(grant: Slot, upstream: Upstream) -> None:
        grant.record_cost(SERVICE_CALL_COST)
        call = await open_call(
            upstream.address,
            CallRequest(
                request.method,
                request.path,
                {**request.headers, REQUEST_ID_HEADER: admitted.request},
                admitted.body,
                response_limit=context.settings.response_limit,
            ),
        )
        try:
            head = await call.head()
            check_request_id(head, admitted)
            apply_backpressure(context, upstream, head)
            await deliver_head(head)
            await forward_body(call, head, deliver_bytes)
        except ResponseTruncatedError:
            check_for_crash(context, admitted, upstream)
            raise
        finally:
            call.close()

    await run_attempts(context, admitted, progress, run_once)


async def forward_body(
    call: UpstreamCall, head: ResponseHead, deliver_bytes: DeliverBytes
) -> None:
    """Forward the body of a response.

    Raises
    ------
    ResponseTruncatedError
        The response was truncated, or is a stream that ended inside an event.
    """
    streams = is_event_stream(head.headers.get('Content-Type', ''))
    pieces = _complete_events(call) if streams else call.chunks()
    try:
        async for piece in pieces:
            await deliver_bytes(piece)
    except UpstreamBrokenError as error:
        raise ResponseTruncatedError(str(error)) from error


async def _complete_events(call: UpstreamCall) -> AsyncIterator[bytes]:
    """Yield a stream in complete events.

    Raises
    ------
    UpstreamBrokenError
        The response was truncated, or ended inside or before the first event.
    """
    splitter = EventSplitter()
    has_events = False
    async for chunk in call.chunks():
        whole = splitter.feed(chunk)
        if whole:
            has_events = True
            yield whole
    if splitter.is_inside_event:
        raise UpstreamBrokenError('stream ended inside an event')
    if not has_events and call.receiver.ends_with_connection:
        raise UpstreamBrokenError('stream ended before its first event')
    if splitter.remainder:
        yield splitter.remainder
