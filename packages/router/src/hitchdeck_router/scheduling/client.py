"""A router's side of the schedulers: asking for slots, reporting, releasing."""

import asyncio
from dataclasses import dataclass, field

from grpclib.client import Stream

from hitchdeck_core import logs
from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import (
    AccountName,
    Address,
    Incarnation,
    RequestId,
    ShardId,
    UpstreamName,
)
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.hitchdeck_grpc import SchedulerStub
from hitchdeck_core.wire.hitchdeck_pb2 import (
    CostReport,
    Grant,
    HeldGrant,
    Refusal,
    RouterFrame,
    SchedulerFrame,
    ShardEntry,
    Ticket,
    UsageSum,
)
from hitchdeck_router.errors import NotRunError
from hitchdeck_router.fleet.link import Fleet

_HEARTBEAT = 1.0
_COALESCE = 0.002
_REPORT_PERIOD = 0.25
_SILENCE = 3.0
_RETRY_PAUSE = 0.05
_MICROSECONDS = 1_000_000
_TOO_MANY_REQUESTS = 429
_GATEWAY_TIMEOUT = 504
_RETRY_SOON = 1.0

AttendStream = Stream[RouterFrame, SchedulerFrame]


@dataclass(slots=True)
class PendingTicket:
    """A ticket of this router that waits for its grant."""

    ticket: Ticket
    granted: asyncio.Future[UpstreamName]
    since: float


@dataclass(slots=True)
class Slot:
    """A slot that this router holds; ``cost`` is what its run has cost."""

    ticket: Ticket
    shard: ShardId
    upstream: UpstreamName
    cost: float = 0.0
    told: float = 0.0
    worst_gap: float = 0.0


@dataclass(slots=True)
class Unsent:
    """What the next frame to the scheduler will carry."""

    tickets: list[Ticket] = field(default_factory=list)
    reports: list[CostReport] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    accounts: set[AccountName] = field(default_factory=set)


class ShardClient:
    """The router's dealings with the scheduler of one shard."""

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
        self.waiting: dict[RequestId, PendingTicket] = {}
        self.held: dict[RequestId, Slot] = {}
        self.sums: dict[AccountName, float] = {}
        self.unsent = Unsent()
        self.something_unsent = Signal()
        self.connected = False
        self.idle = False
        self.busy = False

    def submit(self, ticket: Ticket) -> PendingTicket:
        """Ask for a slot."""
        pending = PendingTicket(
            ticket,
            asyncio.get_running_loop().create_future(),
            self.fleet.now(),
        )
        self.waiting[RequestId(ticket.id)] = pending
        self.unsent.tickets.append(ticket)
        self.something_unsent.notify()
        return pending

    def withdraw(self, request: RequestId) -> None:
        """Take a waiting ticket back."""
        if self.waiting.pop(request, None) is not None:
            self.unsent.cancelled.append(request)
            self.something_unsent.notify()

    def spend(self, slot: Slot, cost: float) -> None:
        """Note that a run has cost this much so far, in all."""
        grown = cost - slot.cost
        if grown <= 0:
            return
        slot.cost = cost
        account = AccountName(slot.ticket.account)
        self.sums[account] = self.sums.get(account, 0.0) + grown
        self.unsent.accounts.add(account)

    def release(self, slot: Slot, *, failed: bool = False) -> None:
        """Give a slot back."""
        if self.held.pop(RequestId(slot.ticket.id), None) is None:
            return
        report = self._report(slot)
        report.released = True
        report.failed = failed
        self.unsent.reports.append(report)
        self.something_unsent.notify()

    async def run(self) -> None:
        """Attend whichever router schedules the shard; for ever."""
        while True:
            entry = self.fleet.directory.shards.get(self.shard)
            if entry is None:
                await self.fleet.directory.changed.wait(_HEARTBEAT)
                continue
            try:
                await self._attend(entry)
            except LinkError as error:
                logs.info('scheduler lost', shard=self.shard, reason=str(error))
            self.connected = False
            self.idle = False
            await self.fleet.directory.changed.wait(_RETRY_PAUSE)

    async def _attend(self, entry: ShardEntry) -> None:
        channel = open_channel(Address(entry.wire_address), self.fleet_token)
        try:
            async with SchedulerStub(channel).Attend.open() as stream:
                await self._converse(stream, entry)
        except TRANSPORT_ERRORS as error:
            raise LinkError(f'{type(error).__name__}: {error}') from error
        finally:
            channel.close()

    async def _converse(self, stream: AttendStream, entry: ShardEntry) -> None:
        await self._send_frame(stream, self._opening(entry))
        self.connected = True
        sending = asyncio.create_task(self._send(stream, entry))
        try:
            while self._still_holds(entry) and not sending.done():
                async with asyncio.timeout(_SILENCE):
                    frame = await stream.recv_message()
                if frame is None or frame.not_owner:
                    raise LinkError('it schedules the shard no more')
                self._take(frame)
            raise LinkError('the duty has moved')
        finally:
            sending.cancel()

    def _still_holds(self, entry: ShardEntry) -> bool:
        present = self.fleet.directory.shards.get(self.shard)
        return present is not None and present.epoch == entry.epoch

    def _opening(self, entry: ShardEntry) -> RouterFrame:
        """Return the first frame: all that is held, waits, and was spent."""
        self.unsent = Unsent()
        now = self.fleet.now()
        for pending in self.waiting.values():
            pending.ticket.waited_ms = int((now - pending.since) * 1000)
        for slot in self.held.values():
            slot.told = slot.cost
        return RouterFrame(
            incarnation=self.incarnation,
            shard=self.shard,
            epoch=entry.epoch,
            tickets=[pending.ticket for pending in self.waiting.values()],
            held=[
                HeldGrant(
                    ticket=slot.ticket,
                    upstream=slot.upstream,
                    charged=slot.cost,
                )
                for slot in self.held.values()
            ],
            usage=self._usage(self.sums),
        )

    async def _send(self, stream: AttendStream, entry: ShardEntry) -> None:
        """Send tickets and releases soon, costs now and then, or a heartbeat."""
        report_at = self.fleet.now() + _REPORT_PERIOD
        heartbeat_at = 0.0
        while self._still_holds(entry):
            if not self._urgent():
                await self.something_unsent.wait(_REPORT_PERIOD)
            await asyncio.sleep(_COALESCE)
            now = self.fleet.now()
            if now >= report_at:
                self._collect_reports()
                report_at = now + _REPORT_PERIOD
            if self._urgent() or now >= heartbeat_at:
                await self._send_frame(stream, self._collect())
                heartbeat_at = now + _HEARTBEAT

    def _urgent(self) -> bool:
        unsent = self.unsent
        return bool(unsent.tickets or unsent.reports or unsent.cancelled)

    def _collect_reports(self) -> None:
        for slot in self.held.values():
            if slot.cost > slot.told:
                self.unsent.reports.append(self._report(slot))

    def _report(self, slot: Slot) -> CostReport:
        slot.told = slot.cost
        gap, slot.worst_gap = slot.worst_gap, 0.0
        return CostReport(
            id=slot.ticket.id,
            cost=slot.cost,
            token_gap_us=int(gap * _MICROSECONDS),
        )

    def _collect(self) -> RouterFrame:
        unsent, self.unsent = self.unsent, Unsent()
        changed = {account: self.sums[account] for account in unsent.accounts}
        return RouterFrame(
            tickets=unsent.tickets,
            reports=unsent.reports,
            cancelled=unsent.cancelled,
            usage=self._usage(changed),
        )

    def _usage(self, sums: dict[AccountName, float]) -> list[UsageSum]:
        return [UsageSum(account=name, cost=cost) for name, cost in sums.items()]

    async def _send_frame(self, stream: AttendStream, frame: RouterFrame) -> None:
        self.fleet.traffic.count('ticket', frame)
        await stream.send_message(frame)

    def _take(self, frame: SchedulerFrame) -> None:
        self.fleet.traffic.count('ticket', frame)
        for grant in frame.grants:
            self._take_grant(grant)
        for refusal in frame.refusals:
            self._take_refusal(refusal)
        if frame.HasField('free_slots'):
            self.idle = frame.free_slots > 0 and not frame.waiting
            self.busy = frame.waiting > 0

    def _take_grant(self, grant: Grant) -> None:
        request = RequestId(grant.id)
        pending = self.waiting.pop(request, None)
        if pending is None or pending.granted.done():
            # Withdrawn meanwhile: the slot goes back unused.
            report = CostReport(id=grant.id, released=True)
            self.unsent.reports.append(report)
            self.something_unsent.notify()
            return
        upstream = UpstreamName(grant.upstream)
        self.held[request] = Slot(pending.ticket, self.shard, upstream)
        pending.granted.set_result(upstream)

    def _take_refusal(self, refusal: Refusal) -> None:
        pending = self.waiting.pop(RequestId(refusal.id), None)
        if pending is None or pending.granted.done():
            return
        retry_after = refusal.retry_after_ms / 1000
        status = _TOO_MANY_REQUESTS if retry_after else _GATEWAY_TIMEOUT
        pending.granted.set_exception(
            NotRunError(
                status,
                refusal.reason,
                f'no slot: {refusal.reason}',
                retry_after or _RETRY_SOON,
            ),
        )
