"""gRPC service of the scheduler for the streams of entry boxes."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from grpclib import GRPCError, Status
from grpclib.server import Stream

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import AccountName, PoolName, UpstreamName
from hitchdeck_core.loop_load import loop_lag
from hitchdeck_core.wire.spread_grpc import PlacingBase
from hitchdeck_core.wire.spread_pb2 import Placed, PlacedFrame, PlacingFrame
from hitchdeck_core.wire.spread_pb2 import Wanted as WantedMessage
from hitchdeck_edge.hub.connected_boxes import ConnectedBoxes
from hitchdeck_edge.hub.late_answers import LateAnswers
from hitchdeck_edge.links.placing_messages import (
    decode_wanted,
    encode_decision,
    encode_wait,
)
from hitchdeck_edge.scheduling.retry_times import RetryTimes
from hitchdeck_edge.scheduling.scheduler import Scheduler, new_scheduler
from hitchdeck_edge.scheduling.waiting import Decided, Reviews, WaitingQueue
from hitchdeck_edge.settings import HubSettings
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry

MAX_LEARNING_LAG_SECONDS = 0.05
"""Lag of the event loop above which first events are not used as samples: it would
count as time of the engines, whose first events take from 0.03 s."""

FLEET_SIZE_WINDOW_SECONDS = 30.0
"""How long boxes that have disconnected count as part of the fleet."""


class _Box:
    """One box on one stream; ``name`` is unique to the stream."""

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
        self.serving = asyncio.timeout(None)
        self.late_answers = LateAnswers(name, self.send, self.end)

    def end(self) -> None:
        """End the stream; the box opens another one when it runs again."""
        if not self.serving.expired():
            self.serving.reschedule(asyncio.get_running_loop().time())

    async def send(self, answers: list[Placed]) -> None:
        """Send answers; frames of several tasks must not interleave."""
        async with self.sending:
            await self.stream.send_message(PlacedFrame(placed=answers))


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
    """Serves the streams of all entry boxes that use this hub's scheduler."""

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

    def _drop(self, box: _Box) -> None:
        self.connected -= 1
        self.boxes.pop(box.name)
        box.late_answers.close()
        self.queue.drop_box(box.name)
        self.scheduler.drop_box(box.name)

    async def _serve(self, box: _Box, first: PlacingFrame) -> None:
        frame: PlacingFrame | None = first
        while frame is not None:
            self._apply_progress(box, frame)
            if frame.wanted:
                answers = [self._place(box, one) for one in frame.wanted]
                await box.send(answers)
            frame = await box.stream.recv_message()

    def _apply_progress(self, box: _Box, frame: PlacingFrame) -> None:
        for demand in frame.demands:
            account = AccountName(demand.account)
            self.scheduler.shares.count_elsewhere(account, int(demand.tokens))
        for work in frame.open:
            key = (box.name, int(work.id))
            self.scheduler.add_open(key, UpstreamName(work.upstream), int(work.unread))
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


def placing_service(
    settings: HubSettings,
    documents: Documents,
    registry: Registry,
    connected_boxes: ConnectedBoxes,
) -> PlacingService:
    """Return the service of a hub, with its own scheduler."""
    scheduler = new_scheduler(settings, documents, registry)
    return PlacingService(
        scheduler, FleetSize(connected_boxes.box_count, scheduler.now)
    )
