"""Stream from a box to the scheduler: one query and one answer per request."""

import asyncio
from collections.abc import Callable, Iterable

from grpclib.client import Channel, Stream

from hitchdeck_core import logs
from hitchdeck_core.channels import open_channel
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address, UpstreamName
from hitchdeck_core.loop_load import loop_utilization
from hitchdeck_core.wire.spread_grpc import PlacingStub
from hitchdeck_core.wire.spread_pb2 import (
    Decision,
    OpenWork,
    Placed,
    PlacedFrame,
    PlacingFrame,
)
from hitchdeck_edge.errors import SchedulerMovedError
from hitchdeck_edge.links.answers import Answer
from hitchdeck_edge.links.hub_streams import CONNECT_TIMEOUT_SECONDS, LINK_ERRORS
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.links.outbox import Outbox
from hitchdeck_edge.links.placing_messages import (
    decode_choice,
    decode_refusal,
    encode_wanted,
)
from hitchdeck_edge.links.service_exchange import ServiceExchange
from hitchdeck_edge.model.placing import PlacementDecision, PlacementQuery
from hitchdeck_edge.model.stream_origins import StreamKey
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.state.registry import Registry

ANSWER_TIMEOUT_SECONDS = 0.06
"""Timeout of one answer.

A round trip between failure domains takes some 5 ms, and a request that waits longer is
better placed by its own box.
"""

LATE_TIMER_SECONDS = 0.02
"""A timer this late means that the box itself is slow, not the scheduler.

Without this check, a box with no processor time left considered its scheduler lost and
placed requests by itself.
"""

MAX_WAITS = 3
"""Maximum number of waits for one answer, if the box itself is late."""

OVERLOADED_UTILIZATION = 0.7
"""Utilization above which the times that a box measures are too late to be used.

From saturated boxes the fleet's scheduler learned that engines were slow, and it
rejected requests of every domain: callers got 0.07 to 0.2 of their fair share in the
ten seconds after a flood of one domain, and 0.33 to 0.8 before it.
"""

MAX_UNANSWERED = 3
"""Consecutive missing answers after which the scheduler counts as lost."""

SEND_TIMEOUT_SECONDS = 0.5
"""Timeout to send one frame: a hub that reads keeps the send buffer from filling."""

MAX_RETRY_DELAY_SECONDS = 0.3
"""Maximum delay before a connect to the same or the next scheduler.

The delay ends at once when another hub is reached.
"""

SCHEDULER_CHECK_SECONDS = 0.5
"""Interval of checks whether another hub has become the scheduler."""

PlacingStream = Stream[PlacingFrame, PlacedFrame]


class PlacingLink:
    """Client of the scheduler in an entry box.

    Attributes
    ----------
    scheduler
        Hub to which the stream is established.
    open
        Upstream and unprocessed prompt tokens of each request in flight, by ticket.
    waiting
        Answers that requests wait for, by ticket.
    queued
        Tickets of requests that wait for a place at the scheduler.
    unanswered
        Number of consecutive queries without an answer.
    services
        What boxes share of plain services; ``None`` where they don't.
    """

    def __init__(
        self,
        box: str,
        known_hubs: KnownHubs,
        registry: Registry,
        token: str,
        shares: Shares,
    ) -> None:
        self.box = box
        self.known_hubs = known_hubs
        self.registry = registry
        self.token = token
        self.shares = shares
        self.now = shares.now
        self.scheduler: Address | None = None
        self.open: dict[int, OpenWork] = {}
        self.waiting: dict[int, Answer] = {}
        self.queued: set[int] = set()
        self.outbox = Outbox()
        self.last_ticket = 0
        self.unanswered = 0
        self.services: ServiceExchange | None = None

    async def place(self, query: PlacementQuery) -> PlacementDecision | None:
        """Return the scheduler's decision, or ``None`` if it does not answer."""
        if self.scheduler is None:
            return None
        ticket = self._new_ticket()
        answer = Answer()
        self.waiting[ticket] = answer
        self.outbox.add_query(encode_wanted(ticket, query))
        try:
            await self._wait_for_answer(answer)
            if ticket in self.queued and not answer.is_settled:
                longest = query.longest_wait + ANSWER_TIMEOUT_SECONDS
                await self._wait_for_answer(answer, longest)
        finally:
            self.waiting.pop(ticket, None)
            self._leave_queue(ticket, answer)
        if answer.is_lost:
            # The loss has been logged where the stream was closed.
            return None
        if answer.placed is None:
            self._count_unanswered(ticket)
            return None
        self.unanswered = 0
        return self._decision(answer.placed, query)

    def track(
        self,
        ticket: int,
        upstream: UpstreamName,
        unread: int,
        streams: Iterable[StreamKey] = (),
    ) -> int:
        """Record a request that is being sent; return its ticket.

        A request that this box placed by itself gets a ticket too, and is reported to
        the scheduler.
        """
        number = ticket or self._new_ticket()
        work = OpenWork(id=number, upstream=upstream, unread=unread, streams=streams)
        self.open[number] = work
        if not ticket:
            self._send_progress(PlacingFrame(open=[work]))
        return number

    def record_start(self, ticket: int) -> None:
        """Record the first event of a response."""
        if ticket in self.open:
            self.open[ticket].unread = 0
            progress = PlacingFrame()
            late = loop_utilization() > OVERLOADED_UTILIZATION
            (progress.late_started if late else progress.started).append(ticket)
            self._send_progress(progress)

    def record_end(self, ticket: int) -> None:
        """Record that a request has ended."""
        if self.open.pop(ticket, None) is not None:
            self._send_ended(ticket)

    def release(self, ticket: int) -> None:
        """Report that a request is not sent to the upstream where it was placed."""
        if ticket:
            self._send_ended(ticket)

    def report_failure(self, upstream: UpstreamName) -> None:
        """Report that an upstream aborted a response or was not reached."""
        self._send_progress(PlacingFrame(failed=[upstream]))

    async def run(self) -> None:
        """Keep a stream to the scheduler; runs forever."""
        while True:
            hub = self.known_hubs.scheduler()
            if hub is None or not await self._keep_stream(hub):
                await self.known_hubs.changed.wait(MAX_RETRY_DELAY_SECONDS)

    async def _wait_for_answer(
        self,
        answer: Answer,
        timeout: float = ANSWER_TIMEOUT_SECONDS,
    ) -> None:
        """Wait for an answer, and wait again if this box itself was late.

        An answer that arrived meanwhile is read only once the event loop runs again.
        """
        for _ in range(MAX_WAITS):
            asked = self.now()
            if not answer.is_settled:
                await answer.settled.wait(timeout)
            late = self.now() - asked - timeout
            if answer.is_settled or late < LATE_TIMER_SECONDS:
                return
            timeout = ANSWER_TIMEOUT_SECONDS

    def _leave_queue(self, ticket: int, answer: Answer) -> None:
        """Report that a request no longer waits if the caller or the time has gone."""
        if ticket in self.queued:
            self.queued.discard(ticket)
            if not answer.is_settled:
                self._send_ended(ticket)

    async def _keep_stream(self, hub: Address) -> bool:
        """Keep a stream to one scheduler; return whether another hub replaces it."""
        channel = open_channel(hub, self.token)
        try:
            await self._run_stream(hub, channel)
        except SchedulerMovedError:
            logs.info('another hub became the scheduler', hub=hub)
            return True
        except LINK_ERRORS as error:
            logs.warning('scheduler lost', hub=hub, reason=repr(error))
            self.known_hubs.exclude_scheduler(hub)
        finally:
            self._disconnect()
            channel.close()
        return False

    async def _run_stream(self, hub: Address, channel: Channel) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            await channel.__connect__()
        async with PlacingStub(channel).Attend.open() as stream:
            await stream.send_message(self._hello())
            receiver = asyncio.create_task(self._receive(stream))
            self.scheduler = hub
            logs.info('scheduler reached', hub=hub, open_requests=len(self.open))
            try:
                await self._send(hub, stream, receiver.done)
            finally:
                receiver.cancel()

    async def _send(
        self,
        hub: Address,
        stream: PlacingStream,
        ended: Callable[[], bool],
    ) -> None:
        checked = self.now()
        while not ended() and self.unanswered < MAX_UNANSWERED:
            await self.outbox.wait(SCHEDULER_CHECK_SECONDS)
            # Half of it, as the ticks for which the outbox waits may be a little early.
            if self.now() - checked > SCHEDULER_CHECK_SECONDS / 2:
                checked = self.now()
                self._check_scheduler(hub)
            if self.services is not None:
                self.services.add_reports(self.outbox.frame)
            frame = self.outbox.take()
            if frame is not None:
                async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                    await stream.send_message(frame)
        raise LinkError(
            f'stream to the scheduler ended with {self.unanswered} missing answers'
        )

    def _check_scheduler(self, hub: Address) -> None:
        if self.known_hubs.scheduler() != hub:
            # Leaving a stream without an error waits for its trailers, which a hub that
            # is gone never sends.
            raise SchedulerMovedError(hub)

    async def _receive(self, stream: PlacingStream) -> None:
        while True:
            frame = await stream.recv_message()
            if frame is None:
                return
            if self.services is not None:
                self.services.apply(frame)
            for placed in frame.placed:
                self._take_answer(placed)

    def _take_answer(self, placed: Placed) -> None:
        ticket = int(placed.id)
        if placed.decision == Decision.DECISION_WAITS:
            self._note_queued(ticket)
            return
        answer = self.waiting.pop(ticket, None)
        if answer is not None and not answer.is_settled:
            answer.settle(placed)
        elif placed.decision == Decision.DECISION_PLACED:
            # The answer is too late: this box has placed the request itself.
            self._send_ended(ticket)

    def _note_queued(self, ticket: int) -> None:
        """Record that a request waits at the scheduler, which therefore answers."""
        if ticket in self.waiting:
            self.queued.add(ticket)
            self.unanswered = 0
        else:
            # This box has placed the request itself, or its caller has left.
            self._send_ended(ticket)

    def _new_ticket(self) -> int:
        self.last_ticket += 1
        return self.last_ticket

    def _send_progress(self, progress: PlacingFrame) -> None:
        """Send progress with the next frame; a new scheduler gets everything anyway."""
        if self.scheduler is not None:
            self.outbox.add_progress(progress)

    def _send_ended(self, ticket: int) -> None:
        self._send_progress(PlacingFrame(ended=[ticket]))

    def _hello(self) -> PlacingFrame:
        self.outbox.clear()
        self.unanswered = 0
        if self.services is not None:
            self.services.begin_stream()
        return PlacingFrame(
            box=self.box,
            domain=self.known_hubs.domain,
            open=list(self.open.values()),
            demands=self.shares.demands(),
        )

    def _disconnect(self) -> None:
        self.scheduler = None
        if self.services is not None:
            self.services.end_stream()
        for answer in self.waiting.values():
            answer.settle(None)

    def _count_unanswered(self, ticket: int) -> None:
        self.unanswered += 1
        logs.info('scheduler silent', ticket=ticket, in_a_row=self.unanswered)

    def _decision(
        self, placed: Placed, query: PlacementQuery
    ) -> PlacementDecision | None:
        refusal = decode_refusal(placed)
        if refusal is not None:
            return refusal
        upstream = self.registry.records.get(UpstreamName(placed.upstream))
        if upstream is None or not self._may_get(upstream, query):
            # The scheduler chose an upstream that this box does not know, or that may
            # not get the request according to this box's state.
            self._send_ended(placed.id)
            return None
        # ``None`` if the scheduler named none, or one that this box does not know.
        source = self.registry.records.get(UpstreamName(placed.cache_source))
        return decode_choice(placed, upstream, source)

    def _may_get(self, upstream: Upstream, query: PlacementQuery) -> bool:
        """Tell whether an upstream may get a request.

        Schedulers of earlier builds choose engines of any software version.
        """
        fits = not query.software or upstream.software == query.software
        return fits and self.registry.takes_work(upstream)
