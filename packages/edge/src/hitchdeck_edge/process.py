"""Puts an entry box together and runs it."""

import asyncio
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer

from hitchdeck_core import logs
from hitchdeck_core.busyness import PERCENT, busy_part, take_longest_turn
from hitchdeck_core.channels import split_address
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.sockets import listening_socket
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_edge.dispatch.budget import RepeatBudget
from hitchdeck_edge.dispatch.connections import Connections
from hitchdeck_edge.dispatch.dispatcher import Dispatcher
from hitchdeck_edge.dispatch.sender import Sender
from hitchdeck_edge.links.attend import Attendant
from hitchdeck_edge.links.entry import EntryLink
from hitchdeck_edge.links.hubs import HubBook
from hitchdeck_edge.links.placing import PlacingLink
from hitchdeck_edge.model.adapter import PlatformAdapter
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.serving.admission import Admission
from hitchdeck_edge.serving.doors import listen, metrics_page, ready_page
from hitchdeck_edge.serving.front import FrontDoor
from hitchdeck_edge.serving.handoff import Handoff
from hitchdeck_edge.serving.stopping import Stopping
from hitchdeck_edge.settings import EntrySettings
from hitchdeck_edge.state.fleet_state import FleetState, new_fleet_state
from hitchdeck_edge.state.relief import ReliefTargets

STOP_POLL_SECONDS = 0.1
"""Between two looks whether a stopping box may end."""

UPKEEP_SECONDS = 2.0
"""Between two looks for connections to upstreams that are gone."""

BEHIND_SECONDS = 0.25
"""A turn of the loop from which the log says that this box is behind: half of
the time after which a caller's close must have stopped its work."""


@dataclass(slots=True)
class EntryBox:
    """A running entry box."""

    settings: EntrySettings
    link: EntryLink
    book: HubBook
    admission: Admission
    door: FrontDoor
    stopping: Stopping
    supervisor: Supervisor
    servers: list[HTTPServer] = field(default_factory=list)

    async def drain(self) -> None:
        """Stop as planned: cut nothing that can end within the grace."""
        self.stopping.begin()
        self.link.announce(ready=False)
        self.door.close_after_answers()
        logs.info('stopping', open_requests=len(self.admission.tasks))
        while not self.stopping.may_end(idle=self._is_idle()):
            await asyncio.sleep(STOP_POLL_SECONDS)

    async def stop(self) -> None:
        """Close the doors and end the tasks."""
        self.door.stop()
        for server in self.servers:
            server.stop()
        await self.supervisor.stop()

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.link.ready

    async def keep_up(self) -> None:
        """Keep readiness true, close what leads to gone upstreams; for ever."""
        while True:
            if self.stopping.began is None:
                known = self.link.known.documents.document is not None
                self.link.announce(ready=known)
            self._close_gone()
            self._note_turns()
            await self.link.known.documents.changed.wait(UPKEEP_SECONDS)

    def _is_idle(self) -> bool:
        return not (self.admission.tasks or self.door.handoff.open)

    def _note_turns(self) -> None:
        """Tell how long this box looked at no socket, where it was long."""
        longest = take_longest_turn()
        self.admission.gauges.longest_turn = longest
        if longest > BEHIND_SECONDS:
            logs.warning(
                'behind its sockets',
                longest_turn=round(longest, 3),
                busy_percent=round(PERCENT * busy_part()),
                open_requests=len(self.admission.tasks),
            )

    def _close_gone(self) -> None:
        sender = self.admission.dispatcher.sender
        registry = self.link.known.registry
        for name in registry.gone():
            sender.connections.drop(name)
        for record, newer in registry.replaced():
            sender.leave(record, newer)
        sender.backpressure.keep(registry.names())
        self.admission.gauges.unwilling = len(sender.backpressure.closed())
        self.admission.gauges.upstream_changes = registry.changes
        self.admission.gauges.handed_on = self.door.handoff.handed


async def start_entry(settings: EntrySettings, adapter: PlatformAdapter) -> EntryBox:
    """Start an entry box that speaks a platform's dialect."""
    fleet_state = new_fleet_state(settings, adapter)
    seeds = map(Address, settings.seeds)
    book = HubBook(BoxName(settings.box), settings.domain, seeds, boot_seconds)
    dispatcher = _dispatcher(settings, adapter, fleet_state, book)
    stopping = Stopping(settings.stop_grace, boot_seconds)
    admission = Admission(adapter, fleet_state, dispatcher, stopping, boot_seconds)
    targets = ReliefTargets(boot_seconds)
    box = EntryBox(
        settings=settings,
        link=EntryLink(settings, fleet_state, dispatcher.budget, targets),
        book=book,
        admission=admission,
        door=FrontDoor(
            admission.take,
            admission.shedder,
            Handoff(targets),
            admission.is_short_of_time,
        ),
        stopping=stopping,
        supervisor=Supervisor('entry'),
    )
    _start(box)
    logs.info('entry box listens', address=settings.listen)
    return box


def _dispatcher(
    settings: EntrySettings,
    adapter: PlatformAdapter,
    fleet_state: FleetState,
    book: HubBook,
) -> Dispatcher:
    budget = RepeatBudget(
        settings.retry_share,
        settings.retry_extra,
        settings.retry_window,
        boot_seconds,
    )
    link = PlacingLink(
        settings.box,
        book,
        fleet_state.registry,
        settings.fleet_token,
        fleet_state.scheduler.shares,
    )
    chooser = Chooser(settings.domain, fleet_state.scheduler, link)
    # A box that decides alone has the part of one box.
    chooser.local.placement.cold_budget.rate_fraction = budget.part_of_fleet
    connections = Connections(boot_seconds)
    quarantine = fleet_state.quarantine
    sender = Sender(adapter, chooser, connections, quarantine, boot_seconds)
    return Dispatcher(adapter, chooser, sender, budget, boot_seconds)


def _start(box: EntryBox) -> None:
    settings = box.settings
    host, port = split_address(Address(settings.listen))
    box.door.listen(listening_socket(host, port))
    if settings.relief_listen is not None:
        relief = listening_socket(*split_address(settings.relief_listen))
        box.door.listen_for_relief(relief)
    ready = ready_page(box.is_ready)
    box.servers.append(listen(ready, Address(settings.ready_listen)))
    if settings.metrics_listen is not None:
        figures = metrics_page(box.admission.gauges.text)
        box.servers.append(listen(figures, Address(settings.metrics_listen)))
    attendance = box.link.attendance(box.book)
    attendant = Attendant(box.book, attendance, settings.fleet_token)
    box.supervisor.permanent('hubs', attendant.run)
    connections = box.admission.dispatcher.sender.connections
    box.supervisor.permanent('connections', connections.sweep)
    box.supervisor.permanent('upkeep', box.keep_up)
    chooser = box.admission.dispatcher.chooser
    box.supervisor.permanent('shares', chooser.local.run)
    box.supervisor.permanent('scheduler', chooser.link.run)
