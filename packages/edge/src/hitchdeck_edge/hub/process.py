"""Assembly and lifecycle of a hub."""

from collections.abc import Callable
from dataclasses import dataclass, field

from grpclib.server import Server

from hitchdeck_control.errors import DiskFailedError
from hitchdeck_control.raft import replication
from hitchdeck_control.raft.delays import SchedulingDelay
from hitchdeck_control.raft.election import run_elections
from hitchdeck_control.raft.peer_client import PeerClient
from hitchdeck_control.raft.replica import Replica
from hitchdeck_control.raft.service import ReplicationService
from hitchdeck_core import logs
from hitchdeck_core.channels import require_fleet_token, serve
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_edge.hub import formation, shared_view, state_file
from hitchdeck_edge.hub.departures import (
    DeparturesService,
    DepartureStore,
    departure_store,
)
from hitchdeck_edge.hub.directory import (
    CallerKey,
    ReadyEntry,
    entries_in_areas,
    select_addresses,
    without_overloaded,
)
from hitchdeck_edge.hub.documents import DocumentsService, GroupMember
from hitchdeck_edge.hub.documents_client import DocumentsClient
from hitchdeck_edge.hub.liveness import Liveness
from hitchdeck_edge.hub.orders import DomainOrders
from hitchdeck_edge.hub.peers import HubPeer
from hitchdeck_edge.hub.placing import PlacingService, placing_service
from hitchdeck_edge.hub.replica import group_folder, open_replica
from hitchdeck_edge.hub.spread import HubState, SpreadService, new_state
from hitchdeck_edge.links.hub_streams import HubStreams
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.model.document import Document
from hitchdeck_edge.settings import HubSettings

ADDRESS_TTL_SECONDS = 2
"""Time for which callers may cache addresses, at most.

Some callers keep them three times as long, and a planned stop has to wait for these
within a grace period of some seconds.
"""

STARTUP_WAIT_SECONDS = 1.0
"""Time after its start during which a hub returns no addresses.

Boxes connect within some tenths of a second, and the first ones would get every caller.
"""


@dataclass(slots=True)
class Hub:
    """A running hub.

    Attributes
    ----------
    started
        When the hub started, in seconds since the machine booted.
    view
        View of other schedulers, where the settings say so.
    last_counts
        Numbers of addresses last selected for callers of each domain: of their own
        domain, and of others.
    """

    settings: HubSettings
    state: HubState
    known_hubs: KnownHubs
    documents: DocumentsClient
    orders: DomainOrders
    liveness: Liveness
    departures: DepartureStore
    placing: PlacingService
    replica: Replica | None
    supervisor: Supervisor
    links: PeerClient
    view: shared_view.SharedView | None = None
    servers: list[Server] = field(default_factory=list)
    started: float = field(default_factory=boot_seconds)
    last_counts: dict[str, tuple[int, int]] = field(default_factory=dict)

    def entry_addresses(
        self, caller: CallerKey, domain: str, host: str, most: int
    ) -> list[Address]:
        """Return the addresses for a caller; none until boxes had time to connect."""
        if boot_seconds() - self.started < STARTUP_WAIT_SECONDS:
            return []
        homes = self.state.documents.table.allowed_areas(host)
        entries = entries_in_areas(
            self._ready_entries(), domain, homes, self.settings.areas
        )
        selection = select_addresses(caller, domain, entries, most)
        self._log_change(
            domain, len(selection.same_domain), len(selection.other_domains)
        )
        return without_overloaded(caller, selection, entries)

    def address_seconds(self) -> float:
        """Return how long callers may cache the addresses, in seconds."""
        return min(ADDRESS_TTL_SECONDS, self.settings.address_ttl)

    def metrics_text(self) -> str:
        """Return metrics in the Prometheus text format."""
        replica = self.replica
        connected_boxes = self.state.connected_boxes
        metrics = {
            'document_version': self.state.documents.version,
            'evacuations_edition': self.state.evacuations.edition,
            'evacuated_domains': len(self.state.registry.closed_domains),
            'upstreams_cold': len(self.state.registry.cold.cold_now()),
            'upstreams': len(self.state.registry.records),
            'upstream_changes_total': self.state.registry.changes,
            'entry_boxes_ready': len(connected_boxes.ready_entries()),
            'hubs_in_reach': len(connected_boxes.hubs()),
            'contents_judged': len(self.state.quarantine.verdicts.known),
            'parts_judged': len(self.state.quarantine.parts.verdicts.known),
            'scheduler_exclusions_announced_total': (
                self.state.agreement.announcements if self.state.agreement else 0
            ),
            'other_schedulers': (len(self.view.schedulers) if self.view else 0),
            'scheduler_views_shared_total': (self.view.shared if self.view else 0),
            'requests_waiting': len(self.placing.queue.entries),
            'requests_placed_after_wait_total': self.placing.queue.placed,
            'requests_timed_out_waiting_total': self.placing.queue.timed_out,
            'services_silent': self.placing.silent_services(),
            'requests_turned_bad_waiting_total': self.placing.queue.turned_bad,
            'cache_moves_total': self.placing.scheduler.placement.moves.chosen,
            'cache_moved_tokens_total': (
                self.placing.scheduler.placement.moves.chosen_tokens
            ),
            'term': replica.term if replica else 0,
            'commit_index': replica.commit_index if replica else 0,
            'voters': len(replica.voters()) if replica else 0,
            'voters_responsive': (
                formation.responsive_voters(replica) if replica else 0
            ),
            'leads': int(replica.is_leader()) if replica else 0,
        }
        refused = self.placing.scheduler.refused_beside_room
        metrics |= {
            f'refused_beside_room_total{{cause="{cause}"}}': refused[cause]
            for cause in sorted(refused)
        }
        return ''.join(f'hitchdeck_{name} {metrics[name]}\n' for name in metrics)

    async def leave(self) -> None:
        """Tell the other hubs that this one stops, and hand over its vote."""
        replica = self.replica
        if replica is None:
            return
        self.state.connected_boxes.leaving.add(replica.identity.replica)
        self.state.changed.notify()
        policy = formation.voting_policy(self.settings)
        await formation.hand_over_vote(replica, policy, self.settings.stop_grace)

    async def stop(self) -> None:
        """Close the servers, then stop the tasks, then close connections and files."""
        for server in self.servers:
            server.close()
        await self.supervisor.stop()
        await self.departures.close()
        self.links.close()
        if self.replica is not None:
            self.replica.log.close()

    def _ready_entries(self) -> list[ReadyEntry]:
        """Return the entry boxes that are ready."""
        connected_boxes = self.state.connected_boxes
        hubs = {one.hello.box for one in connected_boxes.hubs()} | {self.settings.box}
        return [
            ReadyEntry(
                Address(one.hello.entry_address),
                BoxName(one.hello.box),
                one.hello.domain,
                shares_machine_with_hub=one.hello.box in hubs,
                utilization=one.utilization,
                capacity=one.capacity,
            )
            for one in connected_boxes.ready_entries()
        ]

    def _log_change(self, domain: str, same_domain: int, other_domains: int) -> None:
        if self.last_counts.get(domain) != (same_domain, other_domains):
            self.last_counts[domain] = (same_domain, other_domains)
            logs.info(
                'addresses told',
                asked=domain,
                near=same_domain,
                elsewhere=other_domains,
            )


async def start_hub(settings: HubSettings, read: Callable[[bytes], Document]) -> Hub:
    """Start a hub; ``read`` decodes operators' documents.

    Raises
    ------
    StorageError
        The data folder can't be used.
    """
    state = new_state(settings, read)
    replica = open_replica(settings, state.documents, state.evacuations)
    files = _restored_files(settings, state)
    known_hubs = _new_known_hubs(settings)
    member = GroupMember(replica, settings.voters_needed)
    service = DocumentsService(member, state.documents)
    client = DocumentsClient(service, known_hubs, settings.fleet_token, boot_seconds)
    hub = Hub(
        settings=settings,
        state=state,
        known_hubs=known_hubs,
        documents=client,
        orders=DomainOrders(client, state.evacuations, settings.areas),
        liveness=Liveness(state.registry, boot_seconds, settings.report_period),
        departures=departure_store(settings, state.registry, known_hubs),
        placing=placing_service(settings, state),
        replica=replica,
        # A full disk is not fatal: when it ended the task that syncs the log for good,
        # the hub, once elected, committed nothing for 15 s and more.
        supervisor=Supervisor('hub', fatal=(DiskFailedError,)),
        links=_links(settings, replica),
    )
    if state.agreement is not None:
        hub.view = shared_view.SharedView(
            hub.placing, state.connected_boxes, state.agreement, state.changed
        )
    await _listen(hub, service)
    _start_tasks(hub, known_hubs)
    for file in files:
        hub.supervisor.permanent(f'file {file.path.name}', file.run)
    if hub.departures.journal is not None:
        hub.supervisor.permanent('departures', hub.departures.journal.run)
    logs.info('hub listens', address=settings.listen, durable=replica is not None)
    return hub


def _links(settings: HubSettings, replica: Replica | None) -> PeerClient:
    timeout = settings.election_timeout
    scheduling_delay = (
        replica.scheduling_delay if replica else SchedulingDelay(boot_seconds, timeout)
    )
    return PeerClient(settings.fleet_token, timeout, scheduling_delay)


def _new_known_hubs(settings: HubSettings) -> KnownHubs:
    seeds = map(Address, settings.seeds)
    known_hubs = KnownHubs(BoxName(settings.box), settings.domain, seeds, boot_seconds)
    known_hubs.own = Address(settings.listen)
    return known_hubs


def _restored_files(
    settings: HubSettings, state: HubState
) -> list[state_file.StateFile]:
    if settings.data_folder is None:
        return []
    files = state_file.state_files(group_folder(settings.data_folder), state)
    for file in files:
        file.restore()
    return files


async def _listen(hub: Hub, service: DocumentsService) -> None:
    departures = DeparturesService(hub.state.registry, hub.departures.journal)
    services: list[object] = [
        SpreadService(hub.state),
        service,
        departures,
        hub.placing,
    ]
    if hub.replica is not None:
        services.append(ReplicationService(hub.replica))
    server = await serve(
        services,  # type: ignore[arg-type]
        Address(hub.settings.listen),
        require_fleet_token(hub.settings.fleet_token),
    )
    hub.servers.append(server)


def _start_tasks(hub: Hub, known_hubs: KnownHubs) -> None:
    supervisor = hub.supervisor
    peer = HubPeer(hub.state, hub.liveness, hub.replica, hub.settings, hub.view)
    streams = HubStreams(
        known_hubs, peer.stream_handlers(known_hubs), hub.settings.fleet_token
    )
    supervisor.permanent('hubs', streams.run)
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
    policy = formation.voting_policy(hub.settings)
    supervisor.permanent('election', lambda: run_elections(replica, hub.links))
    supervisor.permanent(
        'replication',
        lambda: replication.replicate(replica, hub.links),
    )
    supervisor.permanent('log', lambda: replication.write_log(replica))
    supervisor.permanent('apply', lambda: replication.apply_log(replica))
    supervisor.permanent('founding', lambda: peer.found_when_named(replica))
    supervisor.permanent(
        'group',
        lambda: formation.maintain_group(replica, hub.state.connected_boxes, policy),
    )
