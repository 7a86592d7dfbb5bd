"""gRPC service of a hub that sends fleet state to boxes and to other hubs.

Each frame carries what the peer lacks: the newest document, upstreams that changed
since the last frame, and, for boxes that report to this hub, the total load and demand
of the rest of the fleet.  Updates are sent at once.  Without updates, each frame of an
entry box is answered: the boxes set the pace, and a hub needs no timers for them.
"""

import asyncio
from dataclasses import field

from grpclib.server import Stream

from hitchdeck_core.channels import TRANSPORT_ERRORS
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, UpstreamName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.messages import decode_update, encode_update
from hitchdeck_core.quarantine.quarantine import SYNC_START, Quarantine, SyncPosition
from hitchdeck_core.signals import Signal, wait_for_either
from hitchdeck_core.ticks import until_tick
from hitchdeck_core.wire.spread_grpc import SpreadBase
from hitchdeck_core.wire.spread_pb2 import BoxFrame, HubFrame
from hitchdeck_edge.hub.connected_boxes import ConnectedBox, ConnectedBoxes
from hitchdeck_edge.hub.scheduler_agreement import SchedulerAgreement
from hitchdeck_edge.links.hub_streams import RELAY_INTERVAL_SECONDS
from hitchdeck_edge.links.origin_messages import decode_origins, encode_origins
from hitchdeck_edge.links.records import decode_suspicion, encode_upstream
from hitchdeck_edge.model.stream_origins import StreamKey
from hitchdeck_edge.settings import HubSettings
from hitchdeck_edge.state.documents import Documents, ReadDocument
from hitchdeck_edge.state.evacuations import Evacuations, domain_closer
from hitchdeck_edge.state.origin_lookup import MAX_LOOKUPS
from hitchdeck_edge.state.registry import Registry
from hitchdeck_edge.state.stream_origins import StreamOrigins, StreamVersions

BoxStream = Stream[BoxFrame, HubFrame]

MS_PER_SECOND = 1000

FRAME_INTERVAL_SECONDS = 0.04
"""Minimum interval between two frames of a stream: updates come in bursts."""


@dataclass(slots=True)
class HubState:
    """Fleet state that a hub knows.

    Attributes
    ----------
    durable
        Whether the hub has a disk.
    agreement
        Merges the exclusions of schedulers, where the settings say so.
    origins
        Where streams began, as boxes tell it and as it placed them.
    stream_versions
        Tells whether streams can have different origins.
    founder
        Hub that is to found the replicated group; empty if none is named.
    changed
        Notified on each change; wakes every stream.
    """

    address: Address
    domain: str
    durable: bool
    documents: Documents
    registry: Registry
    connected_boxes: ConnectedBoxes
    quarantine: Quarantine
    evacuations: Evacuations
    origins: StreamOrigins
    stream_versions: StreamVersions
    agreement: SchedulerAgreement | None = None
    founder: Address = Address('')
    changed: Signal = field(default_factory=Signal)


def new_state(settings: HubSettings, read: ReadDocument) -> HubState:
    """Return the empty state of a hub; ``read`` decodes documents."""
    changed = Signal()
    documents = Documents(read, changed)
    registry = Registry(boot_seconds, changed)
    connected_boxes = ConnectedBoxes(boot_seconds, settings.domain)
    return HubState(
        address=Address(settings.listen),
        domain=settings.domain,
        durable=settings.data_folder is not None,
        documents=documents,
        registry=registry,
        connected_boxes=connected_boxes,
        quarantine=Quarantine(boot_seconds, changed),
        evacuations=Evacuations(domain_closer(registry, documents), changed),
        origins=StreamOrigins(boot_seconds),
        stream_versions=StreamVersions(registry, documents),
        agreement=(
            SchedulerAgreement(connected_boxes, boot_seconds, settings.mechanisms)
            if settings.scheduler_agreement
            else None
        ),
        changed=changed,
    )


@dataclass(slots=True)
class _Sent:
    """Versions of what one stream has sent so far."""

    document: int = 0
    evacuations: int = 0
    change: int = 0
    quarantine: SyncPosition = SYNC_START
    hubs: frozenset[str] = frozenset()
    introduced: bool = False


class SpreadService(SpreadBase):
    """Serves the streams of all entry boxes and other hubs."""

    def __init__(self, state: HubState) -> None:
        self.state = state

    async def Attend(self, stream: BoxStream) -> None:
        """Serve one box until either side ends the stream."""
        first = await stream.recv_message()
        if first is None:
            return
        connected_boxes = self.state.connected_boxes
        connected_box = connected_boxes.register(first.hello)
        self._apply_frame(connected_box, first)
        sender = asyncio.create_task(self._send(connected_box, stream))
        try:
            await self._receive(connected_box, stream)
        finally:
            sender.cancel()
            connected_boxes.unregister(connected_box)

    async def _receive(self, connected_box: ConnectedBox, stream: BoxStream) -> None:
        while True:
            frame = await stream.recv_message()
            if frame is None:
                return
            self._apply_frame(connected_box, frame)
            connected_box.arrived.notify()

    def _apply_frame(self, connected_box: ConnectedBox, frame: BoxFrame) -> None:
        state = self.state
        state.connected_boxes.record_frame(connected_box, frame)
        if state.agreement is not None and state.agreement.take_report(connected_box):
            state.changed.notify()
        for name in frame.heard:
            state.registry.hear(UpstreamName(name))
        if frame.HasField('quarantine'):
            update = decode_update(frame.quarantine, state.quarantine.now())
            ended = state.quarantine.merge(update, connected_box.hello.box)
            # Only for crashes that are new: a box sends all it knows on each connect.
            for incarnation in ended:
                state.registry.suspect(incarnation)
        for record in frame.suspicions:
            state.registry.merge_suspicion(decode_suspicion(record))
        for key, origin in decode_origins(frame.origins):
            state.origins.remember((key,), origin)
        wanted = connected_box.wanted_origins
        room = max(0, MAX_LOOKUPS - len(wanted))
        wanted.extend(StreamKey(int(key)) for key in frame.wanted_origins[:room])

    async def _send(self, connected_box: ConnectedBox, stream: BoxStream) -> None:
        sent = _Sent()
        changed, arrived = self.state.changed, connected_box.arrived
        try:
            while True:
                changes, frames = changed.count, arrived.count
                sent_at = boot_seconds()
                await stream.send_message(self._next_frame(connected_box, sent))
                await self._wait(connected_box, changes, frames)
                early = sent_at + FRAME_INTERVAL_SECONDS - boot_seconds()
                if early > 0:
                    await asyncio.sleep(early)
        except TRANSPORT_ERRORS:
            # The receiver sees the same error, and the box is then unregistered.
            return

    async def _wait(
        self, connected_box: ConnectedBox, changes: int, frames: int
    ) -> None:
        """Wait for a frame of an entry box, which is answered, or for updates.

        Frames between hubs keep their own timers: answers took the hubs of a blocked
        event loop more turns, and the group formed in 10 to 13 s instead of 5 to 9 s.

        Boxes of other domains get updates at once from hubs of their own domain.  This
        hub sends them with the next answer, in case they reach none of those.
        """
        changed, arrived = self.state.changed, connected_box.arrived
        if connected_box.hello.hub_address:
            if changed.count == changes:
                await changed.wait(until_tick(RELAY_INTERVAL_SECONDS))
            return
        while arrived.count == frames:
            if not self.state.connected_boxes.gets_updates_at_once(connected_box):
                await arrived.wait()
            elif changed.count == changes:
                await wait_for_either(changed, arrived)
            else:
                return

    def _next_frame(self, connected_box: ConnectedBox, sent: _Sent) -> HubFrame:
        state = self.state
        frame = HubFrame()
        if not sent.introduced:
            frame.domain = state.domain
            frame.durable = state.durable
            sent.introduced = True
        if state.documents.version > max(sent.document, connected_box.version):
            sent.document = state.documents.version
            frame.document.CopyFrom(state.documents.message())
        edition = state.evacuations.edition
        if edition > max(sent.evacuations, connected_box.evacuations):
            sent.evacuations = edition
            frame.evacuations.CopyFrom(state.evacuations.message())
        if state.registry.changes > sent.change:
            fresh = state.registry.since(sent.change)
            sent.change = state.registry.changes
            left = state.registry.cold.seconds_left
            frame.upstreams.extend(
                encode_upstream(one, left(one.name)) for one in fresh
            )
        _add_verdicts(frame, sent, state.quarantine)
        if connected_box.wanted_origins:
            _add_origins(frame, connected_box, state)
        self._add_hubs(frame, sent)
        state.connected_boxes.add_relief_targets(frame, connected_box)
        if state.agreement is not None:
            state.agreement.add_agreed(frame, connected_box)
        if connected_box.reports_to_this_hub:
            _add_reports(frame, connected_box, state.connected_boxes)
        return frame

    def _add_hubs(self, frame: HubFrame, sent: _Sent) -> None:
        addresses = self.state.connected_boxes.hub_addresses()
        hubs = frozenset(addresses | {self.state.address})
        frame.founder = self.state.founder
        if hubs != sent.hubs:
            sent.hubs = hubs
            frame.hubs.extend(sorted(hubs))


def _add_verdicts(frame: HubFrame, sent: _Sent, quarantine: Quarantine) -> None:
    update, sent.quarantine = quarantine.update_since(sent.quarantine)
    if update.has_verdicts:
        frame.quarantine.CopyFrom(encode_update(update, quarantine.now()))


def _add_origins(frame: HubFrame, connected_box: ConnectedBox, state: HubState) -> None:
    """Answer which streams began where, and which of them this hub does not know."""
    origins = state.origins
    wanted, connected_box.wanted_origins = connected_box.wanted_origins, []
    found = {key: origins.find(key) for key in wanted}
    frame.origins.extend(
        encode_origins((key, one) for key, one in found.items() if one is not None)
    )
    frame.unknown_origins.extend(key for key, one in found.items() if one is None)
    frame.origins_complete_ms = int(_complete_seconds(state) * MS_PER_SECOND)


def _complete_seconds(state: HubState) -> float:
    """Return for how long this hub has known the origin of every stream.

    Where all upstreams are alike, what it was not told cannot differ from the rest.
    """
    since = state.origins.complete_since
    if state.stream_versions.are_several():
        boxes = state.connected_boxes
        since = max(since, boxes.untold_until)
        if boxes.misses_entry_boxes():
            return 0
    return state.origins.now() - since


def _add_reports(
    frame: HubFrame, connected_box: ConnectedBox, connected_boxes: ConnectedBoxes
) -> None:
    others = connected_boxes.fleet_total().without(connected_box.tally)
    frame.loads.extend(others.loads())
    frame.demands.extend(others.demands())
    frame.boxes = connected_boxes.box_count()
