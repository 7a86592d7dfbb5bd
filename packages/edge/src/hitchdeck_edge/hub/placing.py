"""gRPC service of the scheduler for the streams of entry boxes."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from functools import partial

from grpclib import GRPCError, Status
from grpclib.server import Stream

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import AccountName, PoolName, UpstreamName
from hitchdeck_core.loop_load import loop_lag
from hitchdeck_core.wire.spread_grpc import PlacingBase
from hitchdeck_core.wire.spread_pb2 import (
    OpenWork,
    Placed,
    PlacedFrame,
    PlacingFrame,
)
from hitchdeck_core.wire.spread_pb2 import Wanted as WantedMessage
from hitchdeck_edge.hub.late_answers import LateAnswers
from hitchdeck_edge.hub.spread import HubState
from hitchdeck_edge.links.hub_streams import LINK_ERRORS
from hitchdeck_edge.links.placing_messages import (
    decode_wanted,
    encode_decision,
    encode_wait,
)
from hitchdeck_edge.links.service_messages import decode_report, encode_states
from hitchdeck_edge.model.stream_origins import StreamKey
from hitchdeck_edge.scheduling.retry_times import RetryTimes
from hitchdeck_edge.scheduling.scheduler import Scheduler, new_scheduler
from hitchdeck_edge.scheduling.service_health import ServiceState, ServiceTable
from hitchdeck_edge.scheduling.waiting import Decided, Reviews, WaitingQueue
from hitchdeck_edge.settings import HubSettings

MAX_LEARNING_LAG_SECONDS = 0.05
"""Lag of the event loop above which first events are not used as samples: it would
count as time of the engines, whose first events take from 0.03 s."""

FLEET_SIZE_WINDOW_SECONDS = 30.0
"""How long boxes that have disconnected count as part of the fleet."""


QUIET_SECONDS = 0.5
"""Time without a query of a box after which it gets states of plain services in a frame
of its own.  Answers to queries, several a second, carry what is new otherwise."""

TELL_INTERVAL_SECONDS = 0.5
"""Least time between two messages to all boxes that an upstream has become silent, so
that one which loses every other call does not cause hundreds of frames a second."""


class _Box:
    """One box on one stream.

    Attributes
    ----------
    name
        Unique to the stream.
    new_states
        Returns what is new to the box of plain services.
    told_at
        When states were last sent to it.
    tells
        Whether a frame with nothing else is about to be sent to it.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        stream: Stream[PlacingFrame, PlacedFrame],
    ) -> None:
        self.name = name
        self.domain = domain
        self.stream = stream
        self.sending = asyncio.Lock()
        self.sends: set[asyncio.Task[None]] = set()
        self.new_states: Callable[[], list[ServiceState]] = list
        self.told_at = 0.0
        self.tells = False
        self.serving = asyncio.timeout(None)
        self.late_answers = LateAnswers(name, self.send, self.end)

    def end(self) -> None:
        """End the stream; the box opens another one when it runs again."""
        if not self.serving.expired():
            self.serving.reschedule(asyncio.get_running_loop().time())

    async def send(self, answers: list[Placed]) -> None:
        """Send answers, with what is new of plain services.

        Frames of several tasks must not interleave.  States are taken right before they
        are sent, so that a later one is never sent before an earlier one.
        """
        async with self.sending:
            states = encode_states(self.new_states())
            if answers or states:
                frame = PlacedFrame(placed=answers, services=states)
                await self.stream.send_message(frame)


class FleetSize:
    """Largest recent number of entry boxes.

    Boxes that this hub can't reach may be served by another scheduler.
    """

    def __init__(self, count: Callable[[], int], now: Clock) -> None:
        self.count = count
        self.now = now
        self.most = 0
        self.counted_at = now()

    def largest(self) -> int:
        """Return the largest number of boxes within ``FLEET_SIZE_WINDOW_SECONDS``."""
        count = self.count()
        if (
            count >= self.most
            or self.now() - self.counted_at > FLEET_SIZE_WINDOW_SECONDS
        ):
            self.most = count
            self.counted_at = self.now()
        return self.most


class PlacingService(PlacingBase):
    """Serves the streams of all entry boxes that use this hub's scheduler.

    Attributes
    ----------
    services
        What the boxes observed of plain services; ``None`` where they don't share it.
    told_all_at
        When all boxes were last told at once that an upstream has become silent.
    """

    def __init__(self, scheduler: Scheduler, fleet: FleetSize) -> None:
        self.scheduler = scheduler
        self.fleet = fleet
        self.streams = 0
        self.connected = 0
        self.boxes: dict[str, _Box] = {}
        self.queue = WaitingQueue(
            scheduler,
            scheduler.attempt_place,
            scheduler.now,
            retry_times=RetryTimes(scheduler.shares, scheduler.now),
        )
        self.reviews = Reviews(self.queue, self._deliver)
        scheduler.placement.cold_budget.rate_fraction = self.fleet_fraction
        self.services: ServiceTable | None = None
        self.told_all_at = 0.0

    def share_services(self) -> None:
        """Tell each box what the others observe of plain services."""
        self.services = ServiceTable(self.scheduler.now)
        self.scheduler.placement.keepers.append(self.services.keep)

    async def Attend(self, stream: Stream[PlacingFrame, PlacedFrame]) -> None:
        """Serve one box until either side ends the stream."""
        first = await stream.recv_message()
        if first is None:
            return
        self.streams += 1
        box = _Box(f'{first.box}#{self.streams}', first.domain, stream)
        logs.info(
            'box opened a scheduler stream', attendee=box.name, open=len(first.open)
        )
        self.connected += 1
        self.boxes[box.name] = box
        if self.services is not None:
            box.new_states = partial(self.services.changes_for, box.name)
        try:
            async with box.serving:
                await self._serve(box, first)
        except TimeoutError:
            raise GRPCError(Status.UNAVAILABLE, 'answers are not read') from None
        finally:
            self._drop(box)

    def fleet_fraction(self) -> float:
        """Return the fraction of the fleet's boxes that use this scheduler, 0 to 1."""
        return min(1, self.connected / max(1, self.fleet.largest()))

    def silent_services(self) -> int:
        """Return the number of upstreams of plain services that are silent."""
        return 0 if self.services is None else len(self.services.silent)

    def _drop(self, box: _Box) -> None:
        self.connected -= 1
        self.boxes.pop(box.name)
        box.late_answers.close()
        # A send to a stalled box would otherwise wait forever.
        for task in box.sends:
            task.cancel()
        self.queue.drop_box(box.name)
        self.scheduler.drop_box(box.name)
        if self.services is not None:
            self.services.drop_box(box.name)

    async def _serve(self, box: _Box, first: PlacingFrame) -> None:
        frame: PlacingFrame | None = first
        while frame is not None:
            self._apply_progress(box, frame)
            answers = [self._place(box, one) for one in frame.wanted]
            if self._apply_services(box, frame) or answers:
                await box.send(answers)
            frame = await box.stream.recv_message()

    def _apply_progress(self, box: _Box, frame: PlacingFrame) -> None:
        for demand in frame.demands:
            account = AccountName(demand.account)
            self.scheduler.shares.count_elsewhere(account, int(demand.tokens))
        for work in frame.open:
            self._apply_open(box, work)
        # After a suspension of this process, all times until first events are too long.
        on_time = loop_lag() <= MAX_LEARNING_LAG_SECONDS
        for started in frame.started:
            self.scheduler.start((box.name, int(started)), learn=on_time)
        for started in frame.late_started:
            self.scheduler.start((box.name, int(started)), learn=False)
        for ended in frame.ended:
            self.queue.remove((box.name, int(ended)))
            self.scheduler.end((box.name, int(ended)))
        for failed in frame.failed:
            health = self.scheduler.placement.health
            health.record_failure(UpstreamName(failed), f'reported by {box.name}')

    def _apply_open(self, box: _Box, work: OpenWork) -> None:
        """Count a request that a box has placed by itself, or at another scheduler."""
        upstream = UpstreamName(work.upstream)
        self.scheduler.add_open((box.name, int(work.id)), upstream, int(work.unread))
        streams = [StreamKey(int(key)) for key in work.streams]
        self.scheduler.record_sent(streams, upstream)

    def _apply_services(self, box: _Box, frame: PlacingFrame) -> bool:
        """Apply what a box reports of plain services; return whether to answer."""
        if self.services is None:
            return False
        known = self.scheduler.placement.registry.records
        turned_silent = False
        for message in frame.services:
            if message.upstream in known:
                turned_silent |= self.services.apply(box.name, decode_report(message))
        now = self.scheduler.now()
        if turned_silent and now - self.told_all_at >= TELL_INTERVAL_SECONDS:
            self.told_all_at = now
            for one in self.boxes.values():
                self._tell(one)
        if not frame.wanted and now - box.told_at < QUIET_SECONDS:
            return False
        box.told_at = now
        return True

    def _tell(self, box: _Box) -> None:
        """Tell a box what is new to it, in one frame of its own at a time."""
        if not box.tells:
            box.tells = True
            task = asyncio.create_task(self._send_states(box))
            box.sends.add(task)
            task.add_done_callback(box.sends.discard)

    def _place(self, box: _Box, message: WantedMessage) -> Placed:
        document = self.scheduler.documents.document
        pool = document.pools.get(PoolName(message.pool)) if document else None
        slots = pool.engine.slots if pool and pool.engine else 1
        query = decode_wanted(message, box.domain, slots)
        ticket = int(message.id)
        decision = self.queue.place((box.name, ticket), query)
        if decision is None:
            self.reviews.ensure_running()
            return encode_wait(ticket)
        return encode_decision(ticket, decision)

    def _deliver(self, decided: Decided) -> None:
        """Send decisions on requests that waited."""
        answers: dict[str, list[Placed]] = defaultdict(list)
        for (name, ticket), decision in decided:
            answers[name].append(encode_decision(ticket, decision))
        for name, placed in answers.items():
            for dropped in self.boxes[name].late_answers.add(placed):
                # The box decides on it by itself once it has waited long enough.
                self.scheduler.end((name, int(dropped.id)))

    async def _send_states(self, box: _Box) -> None:
        """Send a box the states of plain services that are new to it."""
        try:
            await box.send([])
        except LINK_ERRORS as error:
            # Its stream ends, and its next one begins with all states.
            logs.info('states not sent', attendee=box.name, reason=repr(error))
        finally:
            box.tells = False


def placing_service(settings: HubSettings, state: HubState) -> PlacingService:
    """Return the service of a hub, with its own scheduler."""
    scheduler = new_scheduler(settings, state.documents, state.registry)
    scheduler.origins = state.origins
    service = PlacingService(
        scheduler, FleetSize(state.connected_boxes.box_count, scheduler.now)
    )
    if settings.share_service_health and settings.mechanisms.service_health:
        service.share_services()
    return service
