"""The ``Scheduler`` calls: one task for each router that attends a shard."""

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
    Attendant,
    HostedShard,
    SchedulerHost,
)
from hitchdeck_router.scheduling.queueing import WaitingTicket
from hitchdeck_router.scheduling.shard import HeldSlot

_LINK = 'scheduler'
_MILLISECONDS = 1000

AttendStream = Stream[RouterFrame, SchedulerFrame]


class SchedulerService(SchedulerBase):
    """Serves routers that attend the shards of a host."""

    def __init__(self, host: SchedulerHost) -> None:
        self.host = host

    async def Attend(self, stream: AttendStream) -> None:
        """Serve one router until its stream or the duty ends."""
        first = await stream.recv_message()
        if first is None:
            return
        self.host.follow_directory()
        hosted = self.host.shards.get(ShardId(first.shard))
        if hosted is None or hosted.epoch != first.epoch:
            await stream.send_message(SchedulerFrame(not_owner=True))
            return
        attendant = self._attach(hosted, first)
        outbox: Outbox[SchedulerFrame] = Outbox()
        attendant.outbox = outbox
        sending = asyncio.create_task(self._send(stream, outbox))
        try:
            await self._receive(stream, hosted, attendant, first)
        finally:
            sending.cancel()
            if attendant.outbox is outbox:
                attendant.outbox = None

    def _attach(self, hosted: HostedShard, first: RouterFrame) -> Attendant:
        incarnation = Incarnation(first.incarnation)
        # A fresh record each time: the task of an earlier stream, should it
        # still read from a half-open connection, sees that it was replaced.
        attendant = Attendant(incarnation, self.host.fleet.now())
        earlier = hosted.attendants.get(incarnation)
        if earlier is not None:
            attendant.sums = earlier.sums
            attendant.known = earlier.known
        hosted.attendants[incarnation] = attendant
        # Whatever it still waits for, a router that connects anew re-sends.
        resent = {(incarnation, TicketId(held.ticket.id)) for held in first.held}
        hosted.scheduler.keep_only(incarnation, resent, self.host.fleet.now())
        hosted.advertised = None
        return attendant

    async def _receive(
        self,
        stream: AttendStream,
        hosted: HostedShard,
        attendant: Attendant,
        first: RouterFrame,
    ) -> None:
        frame: RouterFrame | None = first
        while frame is not None:
            self.host.fleet.traffic.count(_LINK, frame)
            attendant.heard_at = self.host.fleet.now()
            # Slots that lapsed while this router was silent are its no more;
            # it must attach anew and say what it still holds.
            if hosted.attendants.get(attendant.incarnation) is not attendant:
                return
            self._take(hosted, attendant, frame)
            self.host.pump(hosted)
            frame = await stream.recv_message()

    def _take(
        self,
        hosted: HostedShard,
        attendant: Attendant,
        frame: RouterFrame,
    ) -> None:
        for held in frame.held:
            self._adopt(hosted, attendant, held)
        for place in frame.places:
            upstream = UpstreamName(place.upstream)
            hosted.scheduler.cache.add(upstream, (), place.session)
        if frame.shard:
            self.host.take_sums(hosted, attendant, frame.usage)
        for report in frame.reports:
            self._take_report(hosted, attendant, report)
        for cancelled in frame.cancelled:
            hosted.scheduler.cancel((attendant.incarnation, TicketId(cancelled)))
        for ticket in frame.tickets:
            self._take_ticket(hosted, attendant, ticket)

    def _take_report(
        self,
        hosted: HostedShard,
        attendant: Attendant,
        report: CostReport,
    ) -> None:
        now = self.host.fleet.now()
        key = (attendant.incarnation, TicketId(report.id))
        slot = hosted.scheduler.held.get(key)
        if slot is None:
            return
        gap = report.token_gap_ms / _MILLISECONDS
        grown = hosted.scheduler.report(key, report.cost, gap, now)
        attendant.sums[slot.account] = attendant.sums.get(slot.account, 0) + grown
        if report.released:
            hosted.scheduler.release(key, failed=report.failed, now=now)

    def _take_ticket(
        self,
        hosted: HostedShard,
        attendant: Attendant,
        ticket: Ticket,
    ) -> None:
        now = self.host.fleet.now()
        waiting = read_ticket(ticket, attendant.incarnation, now)
        full = hosted.scheduler.submit(waiting)
        if full is not None:
            retry_after = full.retry_after
            number = waiting.key[1]
            self.host.refuse(hosted, attendant, number, QUEUE_FULL, retry_after)

    def _adopt(
        self,
        hosted: HostedShard,
        attendant: Attendant,
        held: HeldGrant,
    ) -> None:
        """Take over a slot that the router was granted before this epoch."""
        slot = HeldSlot(
            AccountName(held.ticket.account),
            UpstreamName(held.upstream),
            pending=max(0.0, held.ticket.cost_hint - held.charged),
            spent=held.charged,
        )
        key = (attendant.incarnation, TicketId(held.ticket.id))
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
            # The receiving side of the stream sees the same and cleans up.
            return


def read_ticket(ticket: Ticket, attendant: Incarnation, now: float) -> WaitingTicket:
    """Return a ticket as the scheduler keeps it."""
    deadline = now + ticket.deadline_ms / 1000 if ticket.deadline_ms else float('inf')
    return WaitingTicket(
        key=(attendant, TicketId(ticket.id)),
        account=AccountName(ticket.account),
        urgency=Urgency(min(ticket.urgency, max(Urgency))),
        deadline=deadline,
        hint=ticket.cost_hint,
        since=now - ticket.waited_ms / 1000,
        session=ticket.session,
        prefix=tuple(ticket.prefix),
        avoid=frozenset(UpstreamName(name) for name in ticket.avoid),
    )
