"""Client of a shard's scheduler: requests, reports on and releases slots."""

import asyncio
from collections import OrderedDict

from grpclib.client import Stream

from hitchdeck_core import logs
from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import (
    AccountName,
    Address,
    Incarnation,
    ShardId,
    TicketId,
    UpstreamName,
)
from hitchdeck_core.resources import Urgency
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.hitchdeck_grpc import SchedulerStub
from hitchdeck_core.wire.hitchdeck_pb2 import (
    CostReport,
    Grant,
    HeldGrant,
    Refusal,
    RouterFrame,
    SchedulerFrame,
    SessionPlace,
    ShardEntry,
    UsageSum,
)
from hitchdeck_router.errors import NotRunError
from hitchdeck_router.fleet.link import Fleet
from hitchdeck_router.scheduling.client_state import PendingTicket, Slot, Unsent

_HEARTBEAT_SECONDS = 1.0
_LINGER_SECONDS = 0.02
_LONG_LINGER_SECONDS = 0.2
_REPORT_PERIOD_SECONDS = 5.0
_REPORT_FACTOR = 1.5
_RECEIVE_TIMEOUT_SECONDS = 3.0
_RECONNECT_DELAY_SECONDS = 0.05
_MS_PER_SECOND = 1000
_TOO_MANY_REQUESTS = 429
_GATEWAY_TIMEOUT = 504
_DEFAULT_RETRY_AFTER_SECONDS = 1.0
_MAX_PLACES = 1000

AttendStream = Stream[RouterFrame, SchedulerFrame]


class ShardClient:
    """Connection of a router to the scheduler of one shard.

    Attributes
    ----------
    waiting
        Tickets that have no slot yet.
    held
        Granted slots that are in use.
    sums
        Cost reported to this shard so far by account, in cost units.
    places
        Upstream on which each recent session ran last.
    unsent
        Content of the next frame.
    send_at
        Time at which the next frame is sent.
    idle
        Whether the shard has free slots and no waiting tickets.
    busy
        Whether the shard has waiting tickets.
    serves
        Whether the shard has any upstream.
    """

    def __init__(
        self,
        fleet: Fleet,
        shard: ShardId,
        incarnation: Incarnation,
        fleet_token: str,
    ) -> None:
        self.fleet = fleet
        self.shard = shard
        self.incarnation = incarnation
        self.fleet_token = fleet_token
        self.waiting: dict[TicketId, PendingTicket] = {}
        self.held: dict[TicketId, Slot] = {}
        self.sums: dict[AccountName, int] = {}
        self.places: OrderedDict[str, UpstreamName] = OrderedDict()
        self.unsent = Unsent()
        self.send_requested = Signal()
        self.send_at = 0.0
        self.connected = False
        self.idle = False
        self.busy = False
        self.serves = True

    def submit(self, pending: PendingTicket) -> None:
        """Request a slot."""
        pending.client = self
        self.waiting[TicketId(pending.ticket.id)] = pending
        self.unsent.tickets.append(pending.ticket)
        urgent = pending.ticket.urgency == Urgency.urgent
        self._send_within(_LINGER_SECONDS if self.busy and not urgent else 0)

    def withdraw(self, ticket: TicketId) -> None:
        """Cancel a waiting ticket."""
        if self.waiting.pop(ticket, None) is not None:
            self.unsent.cancelled.append(ticket)
            self._send_within(0)

    def report_progress(self, slot: Slot) -> None:
        """Report a run's cost if it greatly exceeds the last report, or periodically.

        The scheduler has charged an estimate, so that reporting every token
        would cost more than the added accuracy is worth.
        """
        expected = max(slot.reported_cost, slot.ticket.cost_hint)
        now = self.fleet.now()
        if slot.cost < _REPORT_FACTOR * expected:
            if not slot.reported_at or now - slot.reported_at < _REPORT_PERIOD_SECONDS:
                slot.reported_at = slot.reported_at or now
                return
        self.unsent.reports.append(self._report(slot))
        self._send_within(_LONG_LINGER_SECONDS)

    def release(self, slot: Slot, *, failed: bool = False) -> None:
        """Release a slot and report its final cost."""
        if self.held.pop(TicketId(slot.ticket.id), None) is None:
            return
        report = self._report(slot)
        report.released = True
        report.failed = failed
        self.unsent.reports.append(report)
        self._send_within(0 if self.busy else _LONG_LINGER_SECONDS)

    async def run(self) -> None:
        """Stay connected to the router that schedules the shard; never returns."""
        while True:
            entry = self.fleet.directory.shards.get(self.shard)
            if entry is None:
                await self.fleet.directory.changed.wait(_HEARTBEAT_SECONDS)
                continue
            try:
                await self._connect(entry)
            except LinkError as error:
                logs.info('scheduler lost', shard=self.shard, reason=str(error))
            self.connected = False
            self.idle = False
            await self.fleet.directory.changed.wait(_RECONNECT_DELAY_SECONDS)

    async def _connect(self, entry: ShardEntry) -> None:
        channel = open_channel(Address(entry.wire_address), self.fleet_token)
        try:
            async with SchedulerStub(channel).Attend.open() as stream:
                await self._exchange_frames(stream, entry)
        except TRANSPORT_ERRORS as error:
            raise LinkError(f'{type(error).__name__}: {error}') from error
        finally:
            channel.close()

    async def _exchange_frames(self, stream: AttendStream, entry: ShardEntry) -> None:
        await self._send_frame(stream, self._opening_frame(entry))
        self.connected = True
        sending = asyncio.create_task(self._send(stream, entry))
        try:
            while self._is_current(entry) and not sending.done():
                async with asyncio.timeout(_RECEIVE_TIMEOUT_SECONDS):
                    frame = await stream.recv_message()
                if frame is None or frame.not_owner:
                    raise LinkError('the router no longer schedules the shard')
                self._handle_frame(frame)
            raise LinkError('the shard was assigned to another router')
        finally:
            sending.cancel()

    def _is_current(self, entry: ShardEntry) -> bool:
        present = self.fleet.directory.shards.get(self.shard)
        return present is not None and present.epoch == entry.epoch

    def _opening_frame(self, entry: ShardEntry) -> RouterFrame:
        """Return the first frame: held slots, waiting tickets and reported usage."""
        self.unsent = Unsent()
        now = self.fleet.now()
        for pending in self.waiting.values():
            pending.ticket.waited_ms = int((now - pending.since) * 1000)
        for slot in self.held.values():
            self._mark_reported(slot)
        return RouterFrame(
            incarnation=self.incarnation,
            shard=self.shard,
            epoch=entry.epoch,
            tickets=[pending.ticket for pending in self.waiting.values()],
            held=[
                HeldGrant(
                    ticket=slot.ticket,
                    upstream=slot.upstream,
                    charged=slot.reported_cost,
                )
                for slot in self.held.values()
            ],
            usage=[
                UsageSum(account=account, cost=cost)
                for account, cost in self.sums.items()
            ],
            places=[
                SessionPlace(session=session, upstream=upstream)
                for session, upstream in self.places.items()
            ],
        )

    async def _send(self, stream: AttendStream, entry: ShardEntry) -> None:
        """Send unsent content when it is due, and a heartbeat otherwise."""
        self.send_at = self.fleet.now() + _HEARTBEAT_SECONDS
        while self._is_current(entry):
            left = self.send_at - self.fleet.now()
            if left > 0:
                await self.send_requested.wait(left)
                continue
            self.send_at = self.fleet.now() + _HEARTBEAT_SECONDS
            unsent, self.unsent = self.unsent, Unsent()
            frame = RouterFrame(
                tickets=unsent.tickets,
                reports=unsent.reports,
                cancelled=unsent.cancelled,
            )
            await self._send_frame(stream, frame)

    def _send_within(self, seconds: float) -> None:
        """Send the unsent content within the given time.

        A frame costs about the same with one entry or ten, so entries that
        are not urgent are batched: releases while no ticket waits, and
        tickets that would join the end of a long queue.
        """
        send_at = self.fleet.now() + seconds
        if send_at < self.send_at:
            self.send_at = send_at
            self.send_requested.notify()

    def _report(self, slot: Slot) -> CostReport:
        self._mark_reported(slot)
        return CostReport(
            id=slot.ticket.id,
            cost=slot.reported_cost,
            token_gap_ms=int(slot.pop_mean_gap() * _MS_PER_SECOND),
        )

    def _mark_reported(self, slot: Slot) -> None:
        """Mark the present cost of a slot as reported.

        The sums grow only by reported cost, so that they always equal the
        total of the reports.
        """
        increase = round(slot.cost) - slot.reported_cost
        slot.reported_cost += increase
        slot.reported_at = self.fleet.now()
        account = AccountName(slot.ticket.account)
        self.sums[account] = self.sums.get(account, 0) + increase

    async def _send_frame(self, stream: AttendStream, frame: RouterFrame) -> None:
        self.fleet.traffic.count('ticket', frame)
        await stream.send_message(frame)

    def _handle_frame(self, frame: SchedulerFrame) -> None:
        self.fleet.traffic.count('ticket', frame)
        for grant in frame.grants:
            self._handle_grant(grant)
        for refusal in frame.refusals:
            self._handle_refusal(refusal)
        if frame.HasField('free_slots'):
            self.idle = frame.free_slots > 0 and not frame.waiting
            self.busy = frame.waiting > 0
            self.serves = frame.serves

    def _handle_grant(self, grant: Grant) -> None:
        ticket = TicketId(grant.id)
        pending = self.waiting.pop(ticket, None)
        if pending is None or pending.granted.done():
            # The ticket was cancelled before the grant arrived.
            report = CostReport(id=grant.id, released=True)
            self.unsent.reports.append(report)
            self._send_within(0)
            return
        upstream = UpstreamName(grant.upstream)
        slot = Slot(pending.ticket, self, upstream, grant.moved_from)
        self.held[ticket] = slot
        self._record_place(pending.ticket.session, upstream)
        pending.granted.set_result(slot)

    def _record_place(self, session: str, upstream: UpstreamName) -> None:
        if not session:
            return
        self.places[session] = upstream
        self.places.move_to_end(session)
        if len(self.places) > _MAX_PLACES:
            self.places.popitem(last=False)

    def _handle_refusal(self, refusal: Refusal) -> None:
        pending = self.waiting.pop(TicketId(refusal.id), None)
        if pending is None or pending.granted.done():
            return
        retry_after = refusal.retry_after_ms / 1000
        status = _TOO_MANY_REQUESTS if retry_after else _GATEWAY_TIMEOUT
        pending.granted.set_exception(
            NotRunError(
                status,
                refusal.reason,
                f'no slot: {refusal.reason}',
                retry_after or _DEFAULT_RETRY_AFTER_SECONDS,
            ),
        )
