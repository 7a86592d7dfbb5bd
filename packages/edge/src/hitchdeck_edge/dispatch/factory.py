"""Assembly of the dispatcher of an entry box."""

from hitchdeck_core.clock import boot_seconds
from hitchdeck_edge.dispatch.budget import RetryBudget
from hitchdeck_edge.dispatch.connections import ConnectionPool
from hitchdeck_edge.dispatch.dispatcher import Dispatcher
from hitchdeck_edge.dispatch.sender import Sender
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.links.placing import PlacingLink
from hitchdeck_edge.links.service_exchange import ServiceExchange
from hitchdeck_edge.model.adapter import PlatformAdapter
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.service_calls import ServiceCalls
from hitchdeck_edge.scheduling.service_places import ServicePlaces
from hitchdeck_edge.scheduling.service_view import ServiceView
from hitchdeck_edge.settings import EntrySettings
from hitchdeck_edge.state.fleet_state import FleetState


def new_dispatcher(
    settings: EntrySettings,
    adapter: PlatformAdapter,
    fleet_state: FleetState,
    known_hubs: KnownHubs,
) -> Dispatcher:
    """Return the dispatcher, with its link to the scheduler, not running yet."""
    budget = RetryBudget(
        settings.retry_share,
        settings.retry_extra,
        settings.retry_window,
        boot_seconds,
    )
    link = PlacingLink(
        settings.box,
        known_hubs,
        fleet_state.registry,
        settings.fleet_token,
        fleet_state.scheduler.shares,
    )
    chooser = Chooser(settings.domain, fleet_state.scheduler, link, settings.goal_wait)
    # A box that places requests without a scheduler uses one box's part of the
    # budget for cold upstreams.
    chooser.local.placement.cold_budget.rate_fraction = budget.fleet_fraction
    if settings.share_service_health and settings.mechanisms.service_health:
        _share_services(chooser, budget)
    reuse = settings.stream_reuse and settings.mechanisms.stream_reuse
    connections = ConnectionPool(boot_seconds, streams_reuse=reuse)
    quarantine = fleet_state.quarantine
    sender = Sender(adapter, chooser, connections, quarantine, boot_seconds)
    sender.origins = fleet_state.origin_lookup.origins
    sender.untold = fleet_state.origin_lookup.wake
    return Dispatcher(adapter, chooser, sender, budget, boot_seconds)


def _share_services(chooser: Chooser, budget: RetryBudget) -> None:
    """Choose plain services by what all boxes observe of them."""
    placement = chooser.local.placement
    calls = ServiceCalls(boot_seconds)
    view = ServiceView(boot_seconds, budget.fleet_fraction, placement.mechanisms)
    placement.services.view = view
    placement.keepers += [calls.keep, view.keep]
    chooser.service_places = ServicePlaces(placement, view, boot_seconds)
    calls.send_now = chooser.link.outbox.make_due
    chooser.link.services = ServiceExchange(calls, view)
