"""The ``Scheduler`` service: one task for each router connected to a shard."""

import asyncio

from grpclib.server import Stream

from hitchdeck_core.channels import TRANSPORT_ERRORS, Outbox
from hitchdeck_core.ids import (
    AccountName,
    Incarnation,
    ShardId,
    TicketId,
    UpstreamName,
)
from hitchdeck_core.resources import Urgency
from hitchdeck_core.wire.hitchdeck_grpc import SchedulerBase
from hitchdeck_core.wire.hitchdeck_pb2 import (
    CostReport,
    HeldGrant,
    RouterFrame,
    SchedulerFrame,
    Ticket,
)
from hitchdeck_router.scheduling.host import (
    QUEUE_FULL,
    HostedShard,
    RouterPeer,
    SchedulerHost,
)
from hitchdeck_router.scheduling.queueing import WaitingTicket
from hitchdeck_router.scheduling.shard import HeldSlot

_LINK = 'scheduler'
_MS_PER_SECOND = 1000

AttendStream = Stream[RouterFrame, SchedulerFrame]


class SchedulerService(SchedulerBase):
    """Serves the routers that are connected to the shards of a host."""

    def __init__(self, host: SchedulerHost) -> None:
        self.host = host

    async def Attend(self, stream: AttendStream) -> None:
        """Serve one router until the stream closes or its registration is replaced."""
        first = await stream.recv_message()
        if first is None:
            return
        self.host.apply_directory()
        hosted = self.host.shards.get(ShardId(first.shard))
        if hosted is None or hosted.epoch != first.epoch:
            await stream.send_message(SchedulerFrame(not_owner=True))
            return
        peer = self._attach(hosted, first)
        outbox: Outbox[SchedulerFrame] = Outbox()
        peer.outbox = outbox
        sending = asyncio.create_task(self._send(stream, outbox))
        try:
            await self._receive(stream, hosted, peer, first)
        finally:
            sending.cancel()
            if peer.outbox is outbox:
                peer.outbox = None

    def _attach(self, hosted: HostedShard, first: RouterFrame) -> RouterPeer:
        incarnation = Incarnation(first.incarnation)
        # A new object for each stream lets the task of an earlier, half-open
        # connection detect that it was replaced.
        peer = RouterPeer(incarnation, self.host.fleet.now())
        earlier = hosted.peers.get(incarnation)
        if earlier is not None:
            peer.sums = earlier.sums
            peer.has_baseline = earlier.has_baseline
        hosted.peers[incarnation] = peer
        # A router re-sends its waiting tickets when it reconnects.
        resent = {(incarnation, TicketId(held.ticket.id)) for held in first.held}
        hosted.scheduler.keep_only(incarnation, resent, self.host.fleet.now())
        hosted.advertised = None
        return peer

    async def _receive(
        self,
        stream: AttendStream,
        hosted: HostedShard,
        peer: RouterPeer,
        first: RouterFrame,
    ) -> None:
        frame: RouterFrame | None = first
        while frame is not None:
            self.host.fleet.traffic.count(_LINK, frame)
            peer.heard_at = self.host.fleet.now()
            # The slots of a router that was silent too long have expired; it
            # has to reconnect and re-send those that it still holds.
            if hosted.peers.get(peer.incarnation) is not peer:
                return
            self._handle_frame(hosted, peer, frame)
            self.host.grant_and_advertise(hosted)
            frame = await stream.recv_message()

    def _handle_frame(
        self,
        hosted: HostedShard,
        peer: RouterPeer,
        frame: RouterFrame,
    ) -> None:
        for held in frame.held:
            self._adopt(hosted, peer, held)
        for place in frame.places:
            upstream = UpstreamName(place.upstream)
            hosted.scheduler.cache.add(upstream, (), place.session)
        if frame.shard:
            self.host.reconcile_usage(hosted, peer, frame.usage)
        for report in frame.reports:
            self._handle_report(hosted, peer, report)
        for cancelled in frame.cancelled:
            hosted.scheduler.cancel((peer.incarnation, TicketId(cancelled)))
        for ticket in frame.tickets:
            self._handle_ticket(hosted, peer, ticket)

    def _handle_report(
        self,
        hosted: HostedShard,
        peer: RouterPeer,
        report: CostReport,
    ) -> None:
        now = self.host.fleet.now()
        key = (peer.incarnation, TicketId(report.id))
        slot = hosted.scheduler.held.get(key)
        if slot is None:
            return
        gap = report.token_gap_ms / _MS_PER_SECOND
        increase = hosted.scheduler.report(key, report.cost, gap, now)
        peer.sums[slot.account] = peer.sums.get(slot.account, 0) + increase
        if report.released:
            hosted.scheduler.release(key, failed=report.failed, now=now)

    def _handle_ticket(
        self,
        hosted: HostedShard,
        peer: RouterPeer,
        ticket: Ticket,
    ) -> None:
        now = self.host.fleet.now()
        waiting = read_ticket(ticket, peer.incarnation, now)
        full = hosted.scheduler.submit(waiting)
        if full is not None:
            retry_after = full.retry_after
            number = waiting.key[1]
            self.host.refuse(hosted, peer, number, QUEUE_FULL, retry_after)

    def _adopt(
        self,
        hosted: HostedShard,
        peer: RouterPeer,
        held: HeldGrant,
    ) -> None:
        """Take over a slot that was granted in an earlier epoch."""
        slot = HeldSlot(
            AccountName(held.ticket.account),
            UpstreamName(held.upstream),
            pending=max(0.0, held.ticket.cost_hint - held.charged),
            spent=held.charged,
        )
        key = (peer.incarnation, TicketId(held.ticket.id))
        hosted.scheduler.adopt(key, slot, self.host.fleet.now())

    async def _send(
        self,
        stream: AttendStream,
        outbox: Outbox[SchedulerFrame],
    ) -> None:
        try:
            while True:
                merged = SchedulerFrame()
                for frame in await outbox.take_all():
                    merged.MergeFrom(frame)
                self.host.fleet.traffic.count(_LINK, merged)
                await stream.send_message(merged)
        except TRANSPORT_ERRORS:
            # The receiving task gets the same error and cleans up.
            return


def read_ticket(ticket: Ticket, incarnation: Incarnation, now: float) -> WaitingTicket:
    """Convert a ticket message, relative times to the scheduler's clock."""
    deadline = now + ticket.deadline_ms / 1000 if ticket.deadline_ms else float('inf')
    return WaitingTicket(
        key=(incarnation, TicketId(ticket.id)),
        account=AccountName(ticket.account),
        urgency=Urgency(min(ticket.urgency, max(Urgency))),
        deadline=deadline,
        hint=ticket.cost_hint,
        since=now - ticket.waited_ms / 1000,
        session=ticket.session,
        prefix=tuple(ticket.prefix),
        avoid=frozenset(UpstreamName(name) for name in ticket.avoid),
    )
