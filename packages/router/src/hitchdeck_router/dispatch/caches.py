"""Transfer of a session's KV cache between engines.

Best effort: an engine that lacks the cache computes the prompt again, which
only costs time, so that a failure here must not fail the request.
"""

import json
from urllib.parse import quote

from hitchdeck_core import logs
from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.resources import Upstream
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.backpressure import apply_backpressure, check_accepting
from hitchdeck_router.dispatch.calls import (
    MAX_RESPONSE_BYTES,
    CallRequest,
    open_call,
)
from hitchdeck_router.errors import (
    GrantLostError,
    UpstreamError,
    UpstreamRefusedError,
)

_PATH = '/admin/cache/'
_READ_TIMEOUT_SECONDS = 2.0
_OK = 200


async def move_cache(
    context: RouterContext,
    session: str,
    source: UpstreamName,
    target: Upstream,
) -> bool:
    """Export a session's cache from one upstream and import it to another.

    Returns
    -------
    bool
        Whether the target has the cache.
    """
    origin = context.fleet.view.upstreams.get(source)
    if origin is None:
        return False
    try:
        # A transfer must not ignore the backoff that an engine requested.
        for end in (source, UpstreamName(target.name)):
            check_accepting(context, end)
        content = await _call(context, origin, session, 'GET', b'')
        if not json.loads(content).get('cache'):
            return False
        await _call(context, target, session, 'PUT', content)
    except (GrantLostError, UpstreamError, ValueError) as error:
        logs.info('cache not moved', session=session, reason=str(error))
        return False
    logs.info('cache moved', session=session, source=source, target=target.name)
    return True


async def _call(
    context: RouterContext,
    upstream: Upstream,
    session: str,
    method: str,
    body: bytes,
) -> bytes:
    request = CallRequest(
        method=method,
        path=f'{_PATH}{quote(session)}',
        headers={'Content-Type': 'application/json'},
        body=body,
        read_timeout=_READ_TIMEOUT_SECONDS,
    )
    call = await open_call(upstream.address, request)
    try:
        head = await call.head()
        apply_backpressure(context, upstream, head)
        content = await call.read_body(MAX_RESPONSE_BYTES)
    finally:
        call.close()
    if head.status != _OK:
        raise UpstreamRefusedError(head.status, content)
    return content
