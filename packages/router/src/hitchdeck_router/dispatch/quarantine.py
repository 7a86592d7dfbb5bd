"""Quarantine of requests that crash upstreams, and detection of crashes."""

from functools import partial

from hitchdeck_core.clock import wall_seconds
from hitchdeck_core.ids import UpstreamIncarnation, UpstreamName
from hitchdeck_core.quarantine.crash_detector import CrashDetector
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.quarantine.verdicts import QUARANTINE_SECONDS
from hitchdeck_core.resources import Upstream
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.calls import accepts_connections
from hitchdeck_router.dispatch.requests import AdmittedRequest
from hitchdeck_router.errors import NotRunError

INCARNATION_WINDOW_SECONDS = 10
"""Crashes of one upstream in different windows of this length count as different
incarnations.  These upstreams don't report their start, and several routers see one
crash within some milliseconds."""

_UNAVAILABLE = 503
_PART_REASON = 'upstreams crashed under a message of this conversation'


def incarnation_of(name: UpstreamName) -> UpstreamIncarnation:
    """Return an id for the incarnation of an upstream that crashes now.

    It is the same at every router.  If clocks differ, one crash may be counted
    as two incarnations, so that two crashes quarantine a request in place of
    three.
    """
    return UpstreamIncarnation(
        f'{name}@{int(wall_seconds() // INCARNATION_WINDOW_SECONDS)}'
    )


def crash_detector_of(quarantine: Quarantine) -> CrashDetector:
    """Return a crash detector; schedulers learn of failures from reports instead."""
    return CrashDetector(quarantine, on_crash=str)


async def check_not_quarantined(
    context: RouterContext, admitted: AdmittedRequest
) -> None:
    """Raise ``NotRunError`` for a request that has crashed upstreams."""
    quarantine = context.fleet.quarantine
    await quarantine.wait_until_settled(admitted.keys)
    # A lethal request that was retried crashed six of six engines, at any router.
    cause = quarantine.cause_of_quarantine(admitted.keys)
    if cause is None:
        return
    whole = cause == admitted.keys.content
    raise NotRunError(
        _UNAVAILABLE,
        'quarantined',
        'upstreams ended under this request' if whole else _PART_REASON,
        QUARANTINE_SECONDS,
    )


def check_for_crash(
    context: RouterContext, admitted: AdmittedRequest, upstream: Upstream
) -> None:
    """Check whether an upstream that sent no complete response has crashed."""
    probe = partial(accepts_connections, upstream.address)
    incarnation = incarnation_of(UpstreamName(upstream.name))
    context.crash_detector.record_broken_response(incarnation, admitted.keys, probe)
