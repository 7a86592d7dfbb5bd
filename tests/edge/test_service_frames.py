"""Frames by which the scheduler tells a box of plain services."""

import asyncio

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.wire.spread_pb2 import PlacedFrame
from hitchdeck_edge.hub.placing import _Box
from hitchdeck_edge.scheduling.service_health import ServiceReport, ServiceTable
from tests.common.scheduling import FakeClock

NAME = UpstreamName('e0')


class Frames:
    """Keeps the frames that are sent to a box."""

    def __init__(self) -> None:
        self.sent: list[PlacedFrame] = []

    async def send_message(self, frame: PlacedFrame) -> None:
        self.sent.append(frame)


async def test_a_delayed_frame_holds_the_state_of_its_time() -> None:
    # Guards against a box that hears of silence after it heard of its end.
    table = ServiceTable(FakeClock())
    frames = Frames()
    box = _Box('box', 'a', frames)
    box.new_states = lambda: table.changes_for('box')
    for name in ('a', 'b'):
        table.apply(name, ServiceReport(NAME, 0, unanswered_ago=0.1))
    async with box.sending:
        delayed = [asyncio.create_task(box.send([])) for _ in range(2)]
        await asyncio.sleep(0)
        table.apply('c', ServiceReport(NAME, 3, heard_ago=0))
    await asyncio.gather(*delayed)
    states = [one for frame in frames.sent for one in frame.services]
    assert [(one.running, one.silent) for one in states] == [(3, False)]
