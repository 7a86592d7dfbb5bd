"""Enforcement of the backoff that upstreams request from this router."""

from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_core.resources import Upstream
from hitchdeck_core.retry_after import RETRY_AFTER, requested_backoff
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.calls import ResponseHead
from hitchdeck_router.errors import GrantLostError, NotRunError

_UNAVAILABLE = 503


def apply_backpressure(
    context: RouterContext, upstream: Upstream, head: ResponseHead
) -> None:
    """Start the backoff that an upstream requests in a response, if any."""
    seconds = requested_backoff(head.status, head.headers.get(RETRY_AFTER, ''))
    context.backpressure.pause(UpstreamName(upstream.name), seconds)


def check_pool_accepting(context: RouterContext, pool: PoolName) -> None:
    """Raise ``NotRunError`` while every upstream of a pool is in backoff."""
    if not context.backpressure.blocked():
        return
    in_service = context.fleet.view.in_service(pool)
    names = [UpstreamName(one.name) for one in in_service]
    left = context.backpressure.seconds_until_accepting(names)
    if left:
        raise NotRunError(
            _UNAVAILABLE,
            'upstreams-paused',
            f'every upstream of pool {pool} wants a pause',
            left,
        )


def check_accepting(context: RouterContext, name: UpstreamName) -> None:
    """Raise ``GrantLostError`` while an upstream is in backoff."""
    # Entry boxes without this check sent up to 37 requests to one upstream within
    # the 3 s of its backoff.
    if not context.backpressure.accepts_requests(name):
        raise GrantLostError(f'{name} wants a pause')
