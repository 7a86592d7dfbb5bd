"""The hub's side of a box's stream.

Each stream carries what the box lacks: the newest document, upstreams that
changed since the last frame, and, to boxes that report here, the sum of what
the rest of the fleet reports.  News goes out at once, the rest at intervals.
"""

import asyncio
from dataclasses import dataclass, field

from grpclib.server import Stream

from hitchdeck_core.channels import TRANSPORT_ERRORS
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, UpstreamName
from hitchdeck_core.quarantine.messages import decode_update, encode_update
from hitchdeck_core.quarantine.quarantine import SYNC_START, Quarantine, SyncPosition
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_grpc import SpreadBase
from hitchdeck_core.wire.spread_pb2 import BoxFrame, HubFrame
from hitchdeck_edge.hub.connected_boxes import ConnectedBox, ConnectedBoxes
from hitchdeck_edge.links.hub_streams import REPORT_INTERVAL_SECONDS
from hitchdeck_edge.links.records import decode_suspicion, encode_upstream
from hitchdeck_edge.settings import HubSettings
from hitchdeck_edge.state.documents import Documents, ReadDocument
from hitchdeck_edge.state.evacuations import Evacuations, domain_closer
from hitchdeck_edge.state.registry import Registry

BoxStream = Stream[BoxFrame, HubFrame]

FRAME_INTERVAL_SECONDS = 0.04
"""Least time between two frames of one stream: news comes in bursts."""


@dataclass(slots=True)
class HubState:
    """What a hub knows; ``news`` wakes every stream."""

    address: Address
    domain: str
    durable: bool
    documents: Documents
    registry: Registry
    connected_boxes: ConnectedBoxes
    quarantine: Quarantine
    evacuations: Evacuations
    founder: Address = Address('')
    changed: Signal = field(default_factory=Signal)


def new_state(settings: HubSettings, read: ReadDocument) -> HubState:
    """Return what a hub knows when it starts; ``read`` decodes documents."""
    changed = Signal()
    documents = Documents(read, changed)
    registry = Registry(boot_seconds, changed)
    return HubState(
        address=Address(settings.listen),
        domain=settings.domain,
        durable=settings.data_folder is not None,
        documents=documents,
        registry=registry,
        connected_boxes=ConnectedBoxes(boot_seconds, settings.domain),
        quarantine=Quarantine(boot_seconds, changed),
        evacuations=Evacuations(domain_closer(registry, documents), changed),
        changed=changed,
    )


@dataclass(slots=True)
class _Sent:
    """What one stream has sent so far."""

    document: int = 0
    evacuations: int = 0
    change: int = 0
    quarantine: SyncPosition = SYNC_START
    hubs: frozenset[str] = frozenset()
    introduced: bool = False


class SpreadService(SpreadBase):
    """Serves the streams of all boxes."""

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

    def _apply_frame(self, connected_box: ConnectedBox, frame: BoxFrame) -> None:
        state = self.state
        state.connected_boxes.record_frame(connected_box, frame)
        for name in frame.heard:
            state.registry.hear(UpstreamName(name))
        if frame.HasField('quarantine'):
            news = decode_update(frame.quarantine, state.quarantine.now())
            ended = state.quarantine.merge(news, connected_box.hello.box)
            # Only what is news: a box tells all it knows each time that it comes.
            for life in ended:
                state.registry.suspect(life)
        for record in frame.suspicions:
            state.registry.merge_suspicion(decode_suspicion(record))

    async def _send(self, connected_box: ConnectedBox, stream: BoxStream) -> None:
        sent = _Sent()
        try:
            while True:
                seen = self.state.changed.count
                await stream.send_message(self._next_frame(connected_box, sent))
                await self._wait(connected_box, seen)
        except TRANSPORT_ERRORS:
            # The receiving side sees the same end and logs that the box left.
            return

    async def _wait(self, connected_box: ConnectedBox, seen: int) -> None:
        """Wait until a box is to be sent a frame, of news or of none.

        Boxes of other domains hear news at once from hubs of their own; this hub
        sends it with the next idle frame, in case they reach none of these.
        """
        await asyncio.sleep(FRAME_INTERVAL_SECONDS)
        interval = self._send_interval(connected_box) - FRAME_INTERVAL_SECONDS
        if not self.state.connected_boxes.gets_updates_at_once(connected_box):
            await asyncio.sleep(interval)
        elif self.state.changed.count == seen:
            await self.state.changed.wait(interval)

    def _send_interval(self, connected_box: ConnectedBox) -> float:
        if connected_box.reports_to_this_hub:
            return REPORT_INTERVAL_SECONDS
        return self.state.connected_boxes.idle_interval(connected_box)

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
        self._add_hubs(frame, sent)
        frame.relief.extend(state.connected_boxes.relief_targets_for(connected_box))
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
    news, sent.quarantine = quarantine.update_since(sent.quarantine)
    if news.verdicts:
        frame.quarantine.CopyFrom(encode_update(news, quarantine.now()))


def _add_reports(
    frame: HubFrame, connected_box: ConnectedBox, connected_boxes: ConnectedBoxes
) -> None:
    others = connected_boxes.fleet_total().without(connected_box.tally)
    frame.loads.extend(others.loads())
    frame.demands.extend(others.demands())
    frame.boxes = connected_boxes.box_count()
