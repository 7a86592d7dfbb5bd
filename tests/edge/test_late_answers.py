"""Answers to a box that stands still: bounded in time and number."""

import asyncio
from dataclasses import replace

import pytest
from grpclib import GRPCError

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.wire.spread_pb2 import Placed, PlacedFrame, PlacingFrame
from hitchdeck_edge.hub import late_answers
from hitchdeck_edge.hub.late_answers import MAX_UNSENT, LateAnswers
from hitchdeck_edge.hub.placing import FleetSize, PlacingService
from hitchdeck_edge.links.placing_messages import encode_wanted
from tests.common.scheduling import FakeClock, scheduler_of, wanted

SHORT_SECONDS = 0.01


class Box:
    """A box that reads answers only while it is not stalled."""

    def __init__(self, *, stalled: bool = False) -> None:
        self.running = asyncio.Event()
        if not stalled:
            self.running.set()
        self.frames: list[list[int]] = []
        self.ended = 0

    async def send(self, answers: list[Placed]) -> None:
        await self.running.wait()
        self.frames.append([one.id for one in answers])

    def end(self) -> None:
        self.ended += 1


def late_answers_to(box: Box) -> LateAnswers:
    return LateAnswers('box#1', box.send, box.end)


def answers(count: int, first: int = 0) -> list[Placed]:
    return [Placed(id=first + number) for number in range(count)]


async def finished(sender: LateAnswers) -> None:
    assert sender.task is not None
    await asyncio.wait_for(asyncio.wait((sender.task,)), 15)


async def test_answers_go_in_order_by_one_task() -> None:
    # Guards against a task for each answer to a box that reads slowly.
    box = Box(stalled=True)
    sender = late_answers_to(box)
    assert sender.add(answers(1)) == []
    await asyncio.sleep(0)
    task = sender.task
    sender.add(answers(1, 1))
    sender.add(answers(1, 2))
    assert sender.task is task
    box.running.set()
    await finished(sender)
    assert box.frames == [[0], [1, 2]]
    assert not sender.unsent


async def test_a_box_that_reads_nothing_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against answers and a task that stay for as long as a box stands still.
    monkeypatch.setattr(late_answers, 'MAX_SEND_SECONDS', SHORT_SECONDS)
    box = Box(stalled=True)
    sender = late_answers_to(box)
    sender.add(answers(3))
    await finished(sender)
    assert box.ended == 1
    assert not box.frames
    assert not sender.unsent


async def test_answers_beyond_the_bound_are_returned() -> None:
    box = Box(stalled=True)
    sender = late_answers_to(box)
    assert sender.add(answers(MAX_UNSENT - 1)) == []
    assert [one.id for one in sender.add(answers(3, 1000))] == [1001, 1002]
    assert len(sender.unsent) == MAX_UNSENT
    sender.close()
    await finished(sender)
    assert not sender.unsent
    assert not box.frames
    assert not box.ended


class StalledStream:
    """The stream of a box that stops reading after the first answer."""

    def __init__(self, *frames: PlacingFrame) -> None:
        self.frames = list(frames)
        self.answered = asyncio.Event()

    async def recv_message(self) -> PlacingFrame:
        if not self.frames:
            await asyncio.Event().wait()
        return self.frames.pop(0)

    async def send_message(self, _: PlacedFrame) -> None:
        if self.answered.is_set():
            await asyncio.Event().wait()
        self.answered.set()


async def test_the_stream_of_a_box_that_reads_nothing_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against places that stay taken for a box that never learns of them.
    monkeypatch.setattr(late_answers, 'MAX_SEND_SECONDS', SHORT_SECONDS)
    clock = FakeClock()
    scheduler = scheduler_of(clock, 1)
    scheduler.add_open(('other', 0), UpstreamName('e0'), 40_000)
    service = PlacingService(scheduler, FleetSize(lambda: 1, clock))
    query = replace(wanted(), longest_wait=1.0)
    stream = StalledStream(
        PlacingFrame(box='box', domain='a'),
        PlacingFrame(wanted=[encode_wanted(1, query)]),
    )
    attending = asyncio.create_task(service.Attend(stream))
    await asyncio.wait_for(stream.answered.wait(), 15)
    scheduler.end(('other', 0))
    with pytest.raises(GRPCError):
        await asyncio.wait_for(attending, 15)
    assert not scheduler.open
    assert not service.boxes
