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
from hitchdeck_edge.hub.attendees import Attendee, Attendees
from hitchdeck_edge.links.attend import REPORT_SECONDS
from hitchdeck_edge.links.records import decode_suspicion, encode_upstream
from hitchdeck_edge.settings import HubSettings
from hitchdeck_edge.state.documents import Documents, ReadDocument
from hitchdeck_edge.state.evacuations import Evacuations, domain_closer
from hitchdeck_edge.state.registry import Registry

BoxStream = Stream[BoxFrame, HubFrame]

GATHERING_SECONDS = 0.04
"""Least time between two frames of one stream: news comes in bursts."""


@dataclass(slots=True)
class HubState:
    """What a hub knows; ``news`` wakes every stream."""

    address: Address
    domain: str
    durable: bool
    documents: Documents
    registry: Registry
    attendees: Attendees
    quarantine: Quarantine
    evacuations: Evacuations
    founder: Address = Address('')
    news: Signal = field(default_factory=Signal)


def new_state(settings: HubSettings, read: ReadDocument) -> HubState:
    """Return what a hub knows when it starts; ``read`` decodes documents."""
    news = Signal()
    documents = Documents(read, news)
    registry = Registry(boot_seconds, news)
    return HubState(
        address=Address(settings.listen),
        domain=settings.domain,
        durable=settings.data_folder is not None,
        documents=documents,
        registry=registry,
        attendees=Attendees(boot_seconds, settings.domain),
        quarantine=Quarantine(boot_seconds, news),
        evacuations=Evacuations(domain_closer(registry, documents), news),
        news=news,
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
        attendees = self.state.attendees
        attendee = attendees.enter(first.hello)
        self._take(attendee, first)
        sender = asyncio.create_task(self._send(attendee, stream))
        try:
            await self._receive(attendee, stream)
        finally:
            sender.cancel()
            attendees.leave(attendee)

    async def _receive(self, attendee: Attendee, stream: BoxStream) -> None:
        while True:
            frame = await stream.recv_message()
            if frame is None:
                return
            self._take(attendee, frame)

    def _take(self, attendee: Attendee, frame: BoxFrame) -> None:
        state = self.state
        state.attendees.note(attendee, frame)
        for name in frame.heard:
            state.registry.hear(UpstreamName(name))
        if frame.HasField('quarantine'):
            news = decode_update(frame.quarantine, state.quarantine.now())
            ended = state.quarantine.merge(news, attendee.hello.box)
            # Only what is news: a box tells all it knows each time that it comes.
            for life in ended:
                state.registry.suspect(life)
        for record in frame.suspicions:
            state.registry.merge_suspicion(decode_suspicion(record))

    async def _send(self, attendee: Attendee, stream: BoxStream) -> None:
        sent = _Sent()
        try:
            while True:
                known = self.state.news.count
                await stream.send_message(self._frame(attendee, sent))
                await self._wait(attendee, known)
        except TRANSPORT_ERRORS:
            # The receiving side sees the same end and logs that the box left.
            return

    async def _wait(self, attendee: Attendee, known: int) -> None:
        """Wait until a box is to be sent a frame, of news or of none.

        Boxes of other domains hear news at once from hubs of their own; this hub
        sends it with the next idle frame, in case they reach none of these.
        """
        await asyncio.sleep(GATHERING_SECONDS)
        pause = self._pause(attendee) - GATHERING_SECONDS
        if not self.state.attendees.hears_at_once(attendee):
            await asyncio.sleep(pause)
        elif self.state.news.count == known:
            await self.state.news.wait(pause)

    def _pause(self, attendee: Attendee) -> float:
        if attendee.reports_here:
            return REPORT_SECONDS
        return self.state.attendees.idle(attendee)

    def _frame(self, attendee: Attendee, sent: _Sent) -> HubFrame:
        state = self.state
        frame = HubFrame()
        if not sent.introduced:
            frame.domain = state.domain
            frame.durable = state.durable
            sent.introduced = True
        if state.documents.version > max(sent.document, attendee.version):
            sent.document = state.documents.version
            frame.document.CopyFrom(state.documents.message())
        edition = state.evacuations.edition
        if edition > max(sent.evacuations, attendee.evacuations):
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
        frame.relief.extend(state.attendees.relief_for(attendee))
        if attendee.reports_here:
            _add_reports(frame, attendee, state.attendees)
        return frame

    def _add_hubs(self, frame: HubFrame, sent: _Sent) -> None:
        addresses = self.state.attendees.hub_addresses()
        hubs = frozenset(addresses | {self.state.address})
        frame.founder = self.state.founder
        if hubs != sent.hubs:
            sent.hubs = hubs
            frame.hubs.extend(sorted(hubs))


def _add_verdicts(frame: HubFrame, sent: _Sent, quarantine: Quarantine) -> None:
    news, sent.quarantine = quarantine.update_since(sent.quarantine)
    if news.verdicts:
        frame.quarantine.CopyFrom(encode_update(news, quarantine.now()))


def _add_reports(frame: HubFrame, attendee: Attendee, attendees: Attendees) -> None:
    others = attendees.total().without(attendee.tally)
    frame.loads.extend(others.loads())
    frame.demands.extend(others.demands())
    frame.boxes = attendees.box_count()
