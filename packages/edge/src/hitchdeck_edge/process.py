"""Builds and runs the process of an entry box."""

import asyncio
from dataclasses import field

from tornado.httpserver import HTTPServer

from hitchdeck_core import logs
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.loop_load import PERCENT, loop_utilization, take_longest_turn
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.ticks import until_tick
from hitchdeck_edge.dispatch.factory import new_dispatcher
from hitchdeck_edge.dispatch.response_sizes import limits_within
from hitchdeck_edge.links.entry import EntryLink
from hitchdeck_edge.links.hub_streams import HubStreams
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.model.adapter import PlatformAdapter
from hitchdeck_edge.serving.admission import Admission
from hitchdeck_edge.serving.budgets import budgets_of
from hitchdeck_edge.serving.caller_server import CallerServer, caller_socket
from hitchdeck_edge.serving.graceful_stop import GracefulStop
from hitchdeck_edge.serving.handoff import Handoff
from hitchdeck_edge.serving.metrics import SERVICE_COUNTS
from hitchdeck_edge.serving.status_pages import listen, metrics_page, ready_page
from hitchdeck_edge.settings import EntrySettings
from hitchdeck_edge.state.fleet_state import new_fleet_state
from hitchdeck_edge.state.relief import ReliefTargets

STOP_POLL_SECONDS = 0.1
"""Interval at which a draining box checks whether it may exit."""

UPKEEP_INTERVAL_SECONDS = 2.0
"""Interval between two releases of connections to removed upstreams."""

SLOW_TURN_SECONDS = 0.25
"""Duration of one turn of the event loop from which a warning is logged: half of the
time within which a caller's disconnect must cancel its request."""


@dataclass(slots=True)
class EntryBox:
    """A running entry box."""

    settings: EntrySettings
    link: EntryLink
    known_hubs: KnownHubs
    admission: Admission
    caller_server: CallerServer
    graceful_stop: GracefulStop
    supervisor: Supervisor
    servers: list[HTTPServer] = field(default_factory=list)

    async def drain(self) -> None:
        """Drain: let each request finish that can do so within the grace period."""
        self.graceful_stop.begin()
        self.link.announce(ready=False)
        self.caller_server.close_after_answers()
        logs.info('stopping', open_requests=len(self.admission.tasks))
        while not self.graceful_stop.may_exit(idle=self._is_idle()):
            await asyncio.sleep(STOP_POLL_SECONDS)

    async def stop(self) -> None:
        """Stop the servers and cancel the tasks."""
        self.caller_server.stop()
        for server in self.servers:
            server.stop()
        await self.supervisor.stop()

    def is_ready(self) -> bool:
        """Tell whether this box is ready to serve callers."""
        return self.link.ready

    async def run_upkeep(self) -> None:
        """Update readiness and metrics, release removed upstreams, until cancelled."""
        while True:
            if self.graceful_stop.started_at is None:
                known = self.link.known.documents.document is not None
                self.link.announce(ready=known)
            self._release_removed_upstreams()
            self._report_slow_turns()
            await self.link.known.documents.changed.wait(
                until_tick(UPKEEP_INTERVAL_SECONDS)
            )

    def _is_idle(self) -> bool:
        return not (self.admission.tasks or self.caller_server.handoff.open)

    def _report_slow_turns(self) -> None:
        """Record the longest turn of the event loop; warn if it was slow."""
        longest = take_longest_turn()
        self.admission.metrics.longest_turn = longest
        if longest > SLOW_TURN_SECONDS:
            logs.warning(
                'behind its sockets',
                longest_turn=round(longest, 3),
                busy_percent=round(PERCENT * loop_utilization()),
                open_requests=len(self.admission.tasks),
            )

    def _release_removed_upstreams(self) -> None:
        sender = self.admission.dispatcher.sender
        registry = self.link.known.registry
        for name in registry.gone():
            sender.connections.close_idle(name)
        for record, newer in registry.replaced():
            sender.replace(record, newer)
        for displaced in registry.displaced:
            sender.crash_watch.confirm_crash(displaced)
        sender.backpressure.retain(registry.names())
        self.admission.metrics.unwilling_upstreams = len(sender.backpressure.blocked())
        self.admission.metrics.upstream_changes = registry.changes
        self.admission.metrics.evicted = self.admission.budgets.bytes.evicted
        self.admission.metrics.held_bytes = self.admission.budgets.bytes.held
        self.admission.metrics.upstream_counts = {
            'connections_opened': sender.connections.opened,
            'connections_reused': sender.connections.reused,
            'responses_given_up': sender.response_limits.given_up,
        }
        self.admission.metrics.exclusions_adopted = self.known_hubs.adopted
        self._report_service_calls()
        scheduler = self.admission.dispatcher.chooser.local
        self.admission.metrics.refused_beside_room = scheduler.refused_beside_room
        self.admission.metrics.cache_moves = sender.cache_sources.sent
        self.admission.metrics.cache_moves_dropped = sender.cache_sources.dropped
        self.admission.metrics.handed_off = self.caller_server.handoff.handed_off

    def _report_service_calls(self) -> None:
        chooser = self.admission.dispatcher.chooser
        link = chooser.link
        if link.services is None or chooser.service_places is None:
            return
        found = (
            link.services.calls.unanswered,
            link.services.view.avoided,
            link.services.view.trials,
            self.admission.dispatcher.second_attempts,
            chooser.service_places.waited,
            chooser.service_places.refused,
        )
        counts = self.admission.metrics.service_counts
        counts.update(zip(SERVICE_COUNTS, found, strict=True))


async def start_entry(settings: EntrySettings, adapter: PlatformAdapter) -> EntryBox:
    """Start an entry box for the platform that the adapter describes."""
    fleet_state = new_fleet_state(settings, adapter)
    seeds = map(Address, settings.seeds)
    known_hubs = KnownHubs(BoxName(settings.box), settings.domain, seeds, boot_seconds)
    budgets = budgets_of(settings.memory_limit, settings.descriptor_limit)
    dispatcher = new_dispatcher(settings, adapter, fleet_state, known_hubs)
    dispatcher.held_bytes = budgets.bytes
    limit = settings.response_bytes
    dispatcher.sender.response_limits = limits_within(budgets.bytes, limit)
    graceful_stop = GracefulStop(settings.stop_grace, boot_seconds)
    admission = Admission(
        adapter, fleet_state, dispatcher, graceful_stop, boot_seconds, budgets
    )
    targets = ReliefTargets(boot_seconds)
    box = EntryBox(
        settings=settings,
        link=EntryLink(settings, fleet_state, dispatcher.budget, targets),
        known_hubs=known_hubs,
        admission=admission,
        caller_server=CallerServer(
            admission.start_serving,
            admission.shedder,
            Handoff(targets, budgets.descriptors, heeds_lag=settings.capacity > 0),
            admission.is_overloaded,
            budgets,
            adapter.account_field,
        ),
        graceful_stop=graceful_stop,
        supervisor=Supervisor('entry'),
    )
    _start(box)
    logs.info('entry box listens', address=settings.listen)
    return box


def _start(box: EntryBox) -> None:
    settings = box.settings
    may_be_slow = settings.memory_limit > 0
    listener = caller_socket(Address(settings.listen), may_be_slow=may_be_slow)
    box.caller_server.listen(listener)
    if settings.relief_listen is not None:
        relief = caller_socket(settings.relief_listen, may_be_slow=may_be_slow)
        box.caller_server.listen_for_relief(relief)
    ready = ready_page(box.is_ready)
    box.servers.append(listen(ready, Address(settings.ready_listen)))
    if settings.metrics_listen is not None:
        figures = metrics_page(box.admission.metrics.render)
        box.servers.append(listen(figures, Address(settings.metrics_listen)))
    handlers = box.link.stream_handlers(box.known_hubs)
    streams = HubStreams(box.known_hubs, handlers, settings.fleet_token)
    box.supervisor.permanent('hubs', streams.run)
    connections = box.admission.dispatcher.sender.connections
    box.supervisor.permanent('connections', connections.sweep)
    box.supervisor.permanent('upkeep', box.run_upkeep)
    chooser = box.admission.dispatcher.chooser
    box.supervisor.permanent('shares', chooser.local.run)
    box.supervisor.permanent('scheduler', chooser.link.run)
