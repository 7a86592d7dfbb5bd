"""Puts a hub together and runs it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from grpclib.server import Server

from hitchdeck_control.errors import DiskFailedError
from hitchdeck_control.raft import replication
from hitchdeck_control.raft.delays import OwnDelay
from hitchdeck_control.raft.election import watch_leader
from hitchdeck_control.raft.links import Links
from hitchdeck_control.raft.replica import Replica
from hitchdeck_control.raft.service import ReplicationService
from hitchdeck_core import logs
from hitchdeck_core.channels import fleet_only, serve
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_edge.hub import formation
from hitchdeck_edge.hub.directory import (
    CallerKey,
    Door,
    answer_for,
    doors_in_areas,
    spread_load,
)
from hitchdeck_edge.hub.documents import DocumentsService, Seat
from hitchdeck_edge.hub.documents_client import DocumentsClient
from hitchdeck_edge.hub.kept_file import (
    KeptFile,
    document_file,
    evacuations_file,
    quarantine_file,
    upstreams_file,
)
from hitchdeck_edge.hub.liveness import Liveness
from hitchdeck_edge.hub.orders import DomainOrders
from hitchdeck_edge.hub.peers import HubPeer
from hitchdeck_edge.hub.placing import PlacingService, placing_service
from hitchdeck_edge.hub.replica import group_folder, open_replica
from hitchdeck_edge.hub.spread import HubState, SpreadService, new_state
from hitchdeck_edge.links.attend import Attendant
from hitchdeck_edge.links.hubs import HubBook
from hitchdeck_edge.model.document import Document
from hitchdeck_edge.settings import HubSettings

ADDRESS_SECONDS = 2
"""How long callers keep addresses: some keep them three times as long, and a
planned stop must outlast that within a grace of some seconds."""

GATHERING_SECONDS = 1.0
"""After its start a hub names no addresses for so long: boxes attend within
some tenths of a second, and the first ones would get every caller."""


@dataclass(slots=True)
class Hub:
    """A running hub.

    ``told`` is how many boxes callers of each domain were told of last: of
    their own domain, and of others.
    """

    settings: HubSettings
    state: HubState
    book: HubBook
    documents: DocumentsClient
    orders: DomainOrders
    liveness: Liveness
    placing: PlacingService
    replica: Replica | None
    supervisor: Supervisor
    links: Links
    servers: list[Server] = field(default_factory=list)
    started: float = field(default_factory=boot_seconds)
    told: dict[str, tuple[int, int]] = field(default_factory=dict)

    def entry_addresses(
        self, caller: CallerKey, domain: str, host: str, most: int
    ) -> list[Address]:
        """Return where a caller may go; nothing until boxes had time to attend."""
        if boot_seconds() - self.started < GATHERING_SECONDS:
            return []
        homes = self.state.documents.table.allowed_areas(host)
        doors = doors_in_areas(self._doors(), domain, homes, self.settings.areas)
        answer = answer_for(caller, domain, doors, most)
        self._log_change(domain, len(answer.near), len(answer.elsewhere))
        return spread_load(caller, answer, doors)

    def address_seconds(self) -> float:
        """Return how long callers may keep what ``entry_addresses`` told."""
        return min(ADDRESS_SECONDS, self.settings.address_ttl)

    def figures(self) -> str:
        """Return counters in the Prometheus text form."""
        replica = self.replica
        attendees = self.state.attendees
        figures = {
            'document_version': self.state.documents.version,
            'evacuations_edition': self.state.evacuations.edition,
            'evacuated_domains': len(self.state.registry.closed_domains),
            'upstreams_cold': len(self.state.registry.cold.cold_now()),
            'upstreams': len(self.state.registry.records),
            'upstream_changes_total': self.state.registry.changes,
            'entry_boxes_ready': len(attendees.entries()),
            'hubs_in_reach': len(attendees.hubs()),
            'contents_judged': len(self.state.quarantine.verdicts.known),
            'term': replica.term if replica else 0,
            'commit_index': replica.commit_index if replica else 0,
            'voters': len(replica.voters()) if replica else 0,
            'leads': int(replica.is_leader()) if replica else 0,
        }
        return ''.join(f'hitchdeck_{name} {figures[name]}\n' for name in figures)

    async def stop(self) -> None:
        """Stop serving, then the tasks, then close the files."""
        for server in self.servers:
            server.close()
        await self.supervisor.stop()
        self.links.close()
        if self.replica is not None:
            self.replica.log.close()

    def _doors(self) -> list[Door]:
        """Return the entry boxes that are ready."""
        attendees = self.state.attendees
        hubs = {one.hello.box for one in attendees.hubs()} | {self.settings.box}
        return [
            Door(
                Address(one.hello.entry_address),
                BoxName(one.hello.box),
                one.hello.domain,
                beside_hub=one.hello.box in hubs,
                busy=one.busy,
            )
            for one in attendees.entries()
        ]

    def _log_change(self, domain: str, near: int, elsewhere: int) -> None:
        if self.told.get(domain) != (near, elsewhere):
            self.told[domain] = (near, elsewhere)
            logs.info('addresses told', asked=domain, near=near, elsewhere=elsewhere)


async def start_hub(settings: HubSettings, read: Callable[[bytes], Document]) -> Hub:
    """Start a hub; ``read`` decodes the operator's documents.

    Raises
    ------
    StorageError
        The data folder can't be used.
    """
    state = new_state(settings, read)
    replica = open_replica(settings, state.documents, state.evacuations)
    kept_files = _kept_files(settings, state)
    book = _book(settings)
    seat = Seat(replica, settings.voters_needed)
    service = DocumentsService(seat, state.documents)
    client = DocumentsClient(service, book, settings.fleet_token, boot_seconds)
    hub = Hub(
        settings=settings,
        state=state,
        book=book,
        documents=client,
        orders=DomainOrders(client, state.evacuations, settings.areas),
        liveness=Liveness(state.registry, boot_seconds, settings.report_period),
        placing=placing_service(
            settings,
            state.documents,
            state.registry,
            state.attendees,
        ),
        replica=replica,
        # A full disk is none of these: the task that syncs ended for good with it,
        # and the hub, once elected, committed nothing for 15 s and more.
        supervisor=Supervisor('hub', fatal=(DiskFailedError,)),
        links=_links(settings, replica),
    )
    await _listen(hub, service)
    _start_tasks(hub, book)
    for file in kept_files:
        hub.supervisor.permanent(f'file {file.path.name}', file.run)
    logs.info('hub listens', address=settings.listen, durable=replica is not None)
    return hub


def _links(settings: HubSettings, replica: Replica | None) -> Links:
    timeout = settings.election_timeout
    own_delay = replica.own_delay if replica else OwnDelay(boot_seconds, timeout)
    return Links(settings.fleet_token, timeout, own_delay)


def _book(settings: HubSettings) -> HubBook:
    seeds = map(Address, settings.seeds)
    book = HubBook(BoxName(settings.box), settings.domain, seeds, boot_seconds)
    book.own = Address(settings.listen)
    return book


def _kept_files(settings: HubSettings, state: HubState) -> list[KeptFile]:
    if settings.data_folder is None:
        return []
    folder = group_folder(settings.data_folder)
    files = [
        document_file(folder, state.documents),
        evacuations_file(folder, state.evacuations),
        upstreams_file(folder, state.registry),
        quarantine_file(folder, state.quarantine),
    ]
    for file in files:
        file.recall()
    return files


async def _listen(hub: Hub, service: DocumentsService) -> None:
    services: list[object] = [SpreadService(hub.state), service, hub.placing]
    if hub.replica is not None:
        services.append(ReplicationService(hub.replica))
    server = await serve(
        services,  # type: ignore[arg-type]
        Address(hub.settings.listen),
        fleet_only(hub.settings.fleet_token),
    )
    hub.servers.append(server)


def _start_tasks(hub: Hub, book: HubBook) -> None:
    supervisor = hub.supervisor
    peer = HubPeer(hub.state, hub.liveness, hub.replica, hub.settings)
    attendant = Attendant(book, peer.attendance(book), hub.settings.fleet_token)
    supervisor.permanent('hubs', attendant.run)
    supervisor.permanent('liveness', hub.liveness.run)
    supervisor.permanent('shares', hub.placing.scheduler.run)
    first = hub.settings.may_found and hub.settings.seeds[:1] == (hub.settings.listen,)
    replica = hub.replica
    if replica is None:
        if first:
            supervisor.temporary('founder', formation.name_founder(hub.state))
        return
    if first and not replica.members():
        hub.state.founder = hub.state.address
    _start_replica(hub, replica, peer)


def _start_replica(hub: Hub, replica: Replica, peer: HubPeer) -> None:
    supervisor = hub.supervisor
    needed = hub.settings.voters_needed
    supervisor.permanent('election', lambda: watch_leader(replica, hub.links))
    supervisor.permanent(
        'replication',
        lambda: replication.replicate(replica, hub.links),
    )
    supervisor.permanent('log', lambda: replication.write_log(replica))
    supervisor.permanent('apply', lambda: replication.apply_log(replica))
    supervisor.permanent('founding', lambda: peer.found_when_named(replica))
    supervisor.permanent(
        'group',
        lambda: formation.tend_group(replica, hub.state.attendees, needed),
    )
