"""Requests under which upstreams ended: kept away, and found out about."""

from functools import partial

from hitchdeck_core.clock import wall_seconds
from hitchdeck_core.ids import LifeId, UpstreamName
from hitchdeck_core.quarantine.crash_detector import CrashDetector
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.quarantine.verdicts import QUARANTINE_SECONDS
from hitchdeck_core.resources import Upstream
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.calls import takes_connections
from hitchdeck_router.dispatch.requests import Admitted
from hitchdeck_router.errors import NotRunError

APART_SECONDS = 10
"""Two ends of one upstream this far apart are two lives: upstreams of this product
say nothing of their starts, and several routers see one end within some ms."""

_UNAVAILABLE = 503


def life_of(name: UpstreamName) -> LifeId:
    """Return the life of an upstream that ends now, the same at every router.

    Two clocks that differ may name two, and then two ends are enough in place
    of three.
    """
    return LifeId(f'{name}@{int(wall_seconds() // APART_SECONDS)}')


def endings_of(quarantine: Quarantine) -> CrashDetector:
    """Return what finds out about ends; schedulers hear of each failure anyway."""
    return CrashDetector(quarantine, on_crash=str)


def check_not_quarantined(context: RouterContext, admitted: Admitted) -> None:
    """Raise ``NotRunError`` for a request under which upstreams ended."""
    # Six of six engines ended under one that came again, at any router.
    if context.fleet.quarantine.is_quarantined(admitted.content):
        raise NotRunError(
            _UNAVAILABLE,
            'quarantined',
            'upstreams ended under this request',
            QUARANTINE_SECONDS,
        )


def doubt(context: RouterContext, admitted: Admitted, upstream: Upstream) -> None:
    """Find out whether an upstream that gave no whole answer has ended."""
    reaches = partial(takes_connections, upstream.address)
    life = life_of(UpstreamName(upstream.name))
    context.crash_detector.record_broken_response(life, admitted.content, reaches)
