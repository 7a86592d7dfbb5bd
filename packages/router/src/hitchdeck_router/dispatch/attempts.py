"""Slots, idempotency claims and retries around calls to upstreams."""

import asyncio
from collections.abc import Awaitable, Callable, Set
from dataclasses import dataclass

from hitchdeck_core import logs
from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.resources import Upstream
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.backpressure import check_accepting, check_pool_accepting
from hitchdeck_router.dispatch.caches import move_cache
from hitchdeck_router.dispatch.ledger import RunStatus, StoredResponse
from hitchdeck_router.dispatch.quarantine import (
    check_for_crash,
    check_not_quarantined,
    incarnation_of,
)
from hitchdeck_router.dispatch.requests import AdmittedRequest
from hitchdeck_router.errors import (
    CallerDisconnectedError,
    GrantLostError,
    NotRunError,
    OutcomeUnknownError,
    UpstreamBrokenError,
    UpstreamRefusedError,
    UpstreamUnreachedError,
)
from hitchdeck_router.scheduling.client_state import Slot

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_RETRY_AFTER_SECONDS = 1.0
_MAX_LOST_GRANTS = 50
_LOST_GRANT_DELAY_SECONDS = 0.05
_JSON = 'application/json'

RunOnce = Callable[[Slot, Upstream], Awaitable[None]]
"""Runs a request on a granted upstream; raises ``UpstreamError`` on failure."""


@dataclass(slots=True)
class Progress:
    """Progress of a request over all its attempts.

    ``sent`` is whether any byte may have been sent to an upstream;
    ``repeatable`` is whether it may be retried after that.
    """

    attempt: int = 0
    failures: int = 0
    lost_grants: int = 0
    sent: bool = False
    repeatable: bool = True


class ReplayError(Exception):
    """Raised in place of a run when the ledger has a stored response."""

    def __init__(self, response: StoredResponse) -> None:
        super().__init__('answered before')
        self.response = response


async def run_attempts(
    context: RouterContext,
    admitted: AdmittedRequest,
    progress: Progress,
    run_once: RunOnce,
) -> None:
    """Run a request, and retry it on other upstreams where that is allowed.

    Raises
    ------
    NotRunError
        No byte was sent to any upstream.
    OutcomeUnknownError
        Bytes were sent, and no complete response was received.
    ReplayError
        The response of an earlier run is stored.
    CallerDisconnectedError
        The caller disconnected before anything was sent.
    """
    context.budget.earn()
    while True:
        progress.attempt += 1
        grant = await _acquire(context, admitted, progress)
        upstream = grant.upstream
        failed = False
        try:
            await _run_granted(context, admitted, progress, grant, run_once)
            context.fleet.quarantine.record_answer(admitted.keys)
            return
        except GrantLostError as error:
            _record_lost_grant(progress, error)
            await asyncio.sleep(_LOST_GRANT_DELAY_SECONDS)
        except UpstreamUnreachedError as error:
            failed = True
            _record_failure(context, admitted, progress, upstream, error)
        except UpstreamBrokenError as error:
            failed = True
            progress.sent = True
            _check_for_crash(context, admitted, upstream)
            _record_failure(context, admitted, progress, upstream, error)
            await context.crash_detector.wait_for_probe(incarnation_of(upstream))
        finally:
            grant.release(failed=failed)


async def _acquire(
    context: RouterContext,
    admitted: AdmittedRequest,
    progress: Progress,
) -> Slot:
    now = context.fleet.now()
    try:
        _check_version_served(context, admitted)
        await check_not_quarantined(context, admitted)
        check_pool_accepting(context, admitted.pool)
        ticket = admitted.ticket(now, _to_avoid(context, admitted))
        grant = await context.finder.acquire(admitted.pool, ticket)
    except NotRunError as error:
        if progress.sent:
            raise OutcomeUnknownError(
                _BAD_GATEWAY,
                'upstream-broken',
                f'an upstream failed within the answer; then: {error.reason}',
                error.retry_after,
            ) from error
        raise
    waited = context.fleet.now() - now
    context.histograms.record(
        'wait_ms',
        (admitted.account, admitted.urgency_name),
        waited * 1000,
    )
    return grant


def _to_avoid(context: RouterContext, admitted: AdmittedRequest) -> Set[UpstreamName]:
    """Return the upstreams in backoff, and those of versions that don't fit."""
    blocked = context.backpressure.blocked()
    if admitted.software is None:
        return blocked
    view = context.fleet.view
    return blocked | view.other_versions(admitted.pool, admitted.software)


def _check_version_served(context: RouterContext, admitted: AdmittedRequest) -> None:
    """Raise ``NotRunError`` if a response that has begun can go on nowhere.

    A scheduler ignores what to avoid if that is every upstream.  So those of the
    version that failed are no longer avoided once all of them have.
    """
    if admitted.software is None:
        return
    serving = {
        UpstreamName(one.name)
        for one in context.fleet.view.in_service(admitted.pool)
        if one.software == admitted.software
    }
    if not serving:
        raise NotRunError(
            _UNAVAILABLE,
            'version-gone',
            f'no upstream of software version {admitted.software!r}',
            _RETRY_AFTER_SECONDS,
        )
    if serving <= admitted.avoid:
        admitted.avoid -= serving


async def _run_granted(
    context: RouterContext,
    admitted: AdmittedRequest,
    progress: Progress,
    grant: Slot,
    run_once: RunOnce,
) -> None:
    target = _check_usable(context, admitted, grant.upstream)
    if grant.moved_from:
        source = UpstreamName(grant.moved_from)
        await move_cache(context, admitted.session, source, target)
    claimed = await _claim(context, admitted, grant.upstream)
    upstream = _usable_after_claim(context, admitted, grant, claimed)
    admitted.upstream = upstream.name
    if not claimed and admitted.has_disconnected():
        # The event loop, which would report the close, does not run between the
        # grant and the call.
        raise CallerDisconnectedError(admitted.request)
    try:
        # There must be no await between the check of lease and configuration
        # and the call.
        context.fleet.quarantine.begin_trial(admitted.keys)
        await run_once(grant, upstream)
    except UpstreamUnreachedError:
        if claimed:
            _settle(context, admitted, StoredResponse(RunStatus.not_run))
        raise
    except UpstreamRefusedError as error:
        # The refusal is stored as the response and replayed on retries.
        if claimed:
            response = StoredResponse(RunStatus.ran, error.status, _JSON, error.body)
            _settle(context, admitted, response)
        raise
    except BaseException:
        if claimed:
            _settle(context, admitted, StoredResponse(RunStatus.unknown))
        raise


async def _claim(
    context: RouterContext,
    admitted: AdmittedRequest,
    upstream: UpstreamName,
) -> bool:
    if admitted.key is None:
        return False
    stored = await context.ledger.claim(admitted, admitted.key, upstream)
    if stored is not None:
        raise ReplayError(stored)
    return True


def _usable_after_claim(
    context: RouterContext,
    admitted: AdmittedRequest,
    grant: Slot,
    claimed: bool,
) -> Upstream:
    try:
        return _check_usable(context, admitted, grant.upstream)
    except GrantLostError:
        if claimed:
            _settle(context, admitted, StoredResponse(RunStatus.not_run))
        raise


def _check_usable(
    context: RouterContext,
    admitted: AdmittedRequest,
    name: UpstreamName,
) -> Upstream:
    """Return a granted upstream, or raise if it accepts no new requests now."""
    view = context.fleet.view
    if context.fleet.quarantine.holds_back(admitted.keys):
        raise GrantLostError('the request was quarantined while it waited')
    if not context.fleet.lease.is_live():
        raise GrantLostError('the configuration lease has run out')
    if not view.may_dispatch(admitted.pool, name):
        raise GrantLostError(f'{name} is leaving or gone')
    check_accepting(context, name)
    upstream = view.upstreams[name]
    if admitted.software is not None and upstream.software != admitted.software:
        raise GrantLostError(f'{name} has another software version')
    return upstream


def _record_lost_grant(progress: Progress, error: GrantLostError) -> None:
    progress.lost_grants += 1
    if progress.lost_grants <= _MAX_LOST_GRANTS:
        return
    kind = OutcomeUnknownError if progress.sent else NotRunError
    raise kind(
        _UNAVAILABLE,
        'no-usable-grant',
        str(error),
        _RETRY_AFTER_SECONDS,
    ) from error


def _check_for_crash(
    context: RouterContext,
    admitted: AdmittedRequest,
    name: UpstreamName,
) -> None:
    upstream = context.fleet.view.upstreams.get(name)
    if upstream is not None:
        check_for_crash(context, admitted, upstream)


def _settle(
    context: RouterContext,
    admitted: AdmittedRequest,
    response: StoredResponse,
) -> None:
    assert admitted.key is not None
    context.ledger.settle(admitted, admitted.key, response)


def _record_failure(
    context: RouterContext,
    admitted: AdmittedRequest,
    progress: Progress,
    upstream: UpstreamName,
    error: Exception,
) -> None:
    """Record a failure, and raise the final error if no retry is allowed."""
    progress.failures += 1
    admitted.avoid.add(upstream)
    logs.warning(
        'attempt failed',
        request=admitted.request,
        account=admitted.account,
        upstream=upstream,
        reason=str(error),
    )
    attempts_exhausted = progress.failures >= context.settings.attempts
    # An unknown version is not the same as any other.
    may_go_on = admitted.software is None or bool(admitted.software)
    may_repeat = may_go_on and (progress.repeatable or not progress.sent)
    if may_repeat and not attempts_exhausted and context.budget.try_spend():
        return
    if progress.sent:
        raise OutcomeUnknownError(
            _BAD_GATEWAY,
            'upstream-broken',
            f'upstream {upstream}: {error}',
        ) from error
    raise NotRunError(
        _UNAVAILABLE,
        'upstream-unreached',
        f'upstream {upstream}: {error}',
        _RETRY_AFTER_SECONDS,
    ) from error
