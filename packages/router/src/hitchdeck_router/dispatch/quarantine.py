"""Requests under which upstreams ended: kept away, and found out about."""

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
"""Two ends of one upstream this far apart are two lives: upstreams of this product
say nothing of their starts, and several routers see one end within some ms."""

_UNAVAILABLE = 503


def incarnation_of(name: UpstreamName) -> UpstreamIncarnation:
    """Return the life of an upstream that ends now, the same at every router.

    Two clocks that differ may name two, and then two ends are enough in place
    of three.
    """
    return UpstreamIncarnation(
        f'{name}@{int(wall_seconds() // INCARNATION_WINDOW_SECONDS)}'
    )


def crash_detector_of(quarantine: Quarantine) -> CrashDetector:
    """Return what finds out about ends; schedulers hear of each failure anyway."""
    return CrashDetector(quarantine, on_crash=str)


def check_not_quarantined(context: RouterContext, admitted: AdmittedRequest) -> None:
    """Raise ``NotRunError`` for a request under which upstreams ended."""
    # Six of six engines ended under one that came again, at any router.
    if context.fleet.quarantine.is_quarantined(admitted.fingerprint):
        raise NotRunError(
            _UNAVAILABLE,
            'quarantined',
            'upstreams ended under this request',
            QUARANTINE_SECONDS,
        )


def check_for_crash(
    context: RouterContext, admitted: AdmittedRequest, upstream: Upstream
) -> None:
    """Find out whether an upstream that gave no whole answer has ended."""
    probe = partial(accepts_connections, upstream.address)
    incarnation = incarnation_of(UpstreamName(upstream.name))
    context.crash_detector.record_broken_response(
        incarnation, admitted.fingerprint, probe
    )
