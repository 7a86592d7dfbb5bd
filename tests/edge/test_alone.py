"""Load estimates of a box that receives no digests from a hub."""

import pytest

from hitchdeck_core.ids import Address, UpstreamName
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import HubFrame, Load
from hitchdeck_edge.dispatch.budget import RetryBudget
from hitchdeck_edge.links.entry import DIGEST_TTL_SECONDS, EntryLink
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.scheduling.open_work import OpenWorkEntry
from hitchdeck_edge.settings import EntrySettings
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.evacuations import Evacuations
from hitchdeck_edge.state.fleet_state import FleetState
from hitchdeck_edge.state.origin_lookup import OriginLookup
from hitchdeck_edge.state.relief import ReliefTargets
from hitchdeck_edge.state.stream_origins import StreamOrigins
from hitchdeck_platform.documents import read_document
from tests.common.scheduling import FakeClock, scheduler_of

HUB = Address('10.0.0.1:1')
ENGINE = UpstreamName('e0')
BOXES = 24
OWN_RUNNING = 5
TOTAL_RUNNING = 8


def link_of(clock: FakeClock) -> EntryLink:
    """Return the link of a box that a hub has sent the load of the others."""
    scheduler = scheduler_of(clock, 1)
    known = FleetState(
        Documents(read_document, Signal()),
        scheduler.placement.registry,
        scheduler.placement.open_work,
        scheduler,
        Quarantine(clock, Signal()),
        Evacuations(lambda _domains: None, Signal()),
        OriginLookup(StreamOrigins(clock), Signal()),
    )
    settings = EntrySettings(
        box='box',
        domain='a',
        listen=Address('127.0.0.1:1'),
        ready_listen=Address('127.0.0.1:2'),
    )
    link = EntryLink(
        settings,
        known,
        RetryBudget(0.2, 50, 10, clock),
        ReliefTargets(clock),
    )
    known_hubs = KnownHubs('box', 'a', [HUB], clock)
    known_hubs.mark_reachable(HUB)
    others = [Load(upstream=ENGINE, running=TOTAL_RUNNING - OWN_RUNNING)]
    link.stream_handlers(known_hubs).on_frame(HUB, HubFrame(boxes=BOXES, loads=others))
    return link


@pytest.mark.parametrize(
    ('seconds', 'running'),
    [
        (0, TOTAL_RUNNING),
        (DIGEST_TTL_SECONDS - 0.1, TOTAL_RUNNING),
        # The digest has expired: every other box is assumed to send as much as this.
        (DIGEST_TTL_SECONDS + 0.1, OWN_RUNNING * BOXES),
    ],
)
def test_a_box_without_a_hub_uses_the_last_load_digest_until_it_expires(
    seconds: float,
    running: int,
) -> None:
    """Guards against multiplying the box's load by the fleet size too early.

    The last remaining box of an overloaded domain did so with its own queue.
    """
    clock = FakeClock()
    link = link_of(clock)
    open_work = link.known.open_work
    for _ in range(OWN_RUNNING):
        OpenWorkEntry(open_work, ENGINE, 100)
    clock.seconds += seconds
    link.on_loss(HUB)
    assert open_work.running(ENGINE) == running
