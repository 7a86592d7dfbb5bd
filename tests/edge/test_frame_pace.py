"""When frames between boxes and hubs are due: a hub answers the frames of its boxes."""

import asyncio
from pathlib import Path

import pytest

from hitchdeck_core.ticks import MIN_WAIT_SECONDS, until_next_tick
from hitchdeck_core.wire.spread_pb2 import Hello
from hitchdeck_edge.hub.connected_boxes import ConnectedBox
from hitchdeck_edge.hub.spread import SpreadService, new_state
from hitchdeck_edge.settings import HubSettings
from hitchdeck_platform.documents import read_document

NEAR = Hello(box='near', domain='a', entry_address='n:1')
FAR = Hello(box='far', domain='b', entry_address='f:1')


@pytest.fixture
def service(tmp_path: Path) -> SpreadService:
    settings = HubSettings(
        box='h',
        domain='a',
        listen='127.0.0.1:1',
        control_listen='127.0.0.1:2',
        directory_listen='127.0.0.1:3',
    )
    return SpreadService(new_state(settings, read_document))


async def waiting(service: SpreadService, box: ConnectedBox) -> asyncio.Task[None]:
    """Return a task that waits until the next frame to a box is due."""
    changes, frames = service.state.changed.count, box.arrived.count
    task = asyncio.create_task(service._wait(box, changes, frames))
    await asyncio.sleep(0)
    return task


async def is_due(task: asyncio.Task[None]) -> bool:
    for _ in range(3):
        await asyncio.sleep(0)
    return task.done()


@pytest.mark.parametrize('hello', [NEAR, FAR], ids=['own-domain', 'other-domain'])
async def test_a_frame_of_a_box_is_answered(service, hello) -> None:
    box = service.state.connected_boxes.register(hello)
    task = await waiting(service, box)
    assert not await is_due(task)
    box.arrived.notify()
    assert await is_due(task)


async def test_an_update_goes_at_once_to_a_box_of_the_own_domain(service) -> None:
    box = service.state.connected_boxes.register(NEAR)
    task = await waiting(service, box)
    service.state.changed.notify()
    assert await is_due(task)


async def test_an_update_goes_with_the_next_answer_to_another_domain(service) -> None:
    """A box that reaches no other hub must not miss an update that came between."""
    box = service.state.connected_boxes.register(FAR)
    task = await waiting(service, box)
    service.state.changed.notify()
    assert not await is_due(task)
    box.arrived.notify()
    assert await is_due(task)


async def test_a_frame_of_another_hub_is_not_answered(service) -> None:
    """Answers would make the streams between two slow hubs wait for each other."""
    box = service.state.connected_boxes.register(Hello(box='hub', hub_address='h:2'))
    task = await waiting(service, box)
    box.arrived.notify()
    assert not await is_due(task)
    service.state.changed.notify()
    assert await is_due(task)


async def test_a_frame_that_arrived_during_the_send_is_answered(service) -> None:
    """The notification came before the wait and would otherwise be lost."""
    box = service.state.connected_boxes.register(FAR)
    frames = box.arrived.count
    box.arrived.notify()
    await asyncio.wait_for(service._wait(box, service.state.changed.count, frames), 1)


async def test_an_update_that_came_during_the_send_is_sent(service) -> None:
    box = service.state.connected_boxes.register(NEAR)
    changes = service.state.changed.count
    service.state.changed.notify()
    await asyncio.wait_for(service._wait(box, changes, box.arrived.count), 1)


@pytest.mark.parametrize('interval', [0.5, 1.0])
def test_frames_are_due_at_multiples_of_the_interval(interval: float) -> None:
    due = 100.2 + until_next_tick(100.2, 0.7, interval)
    assert due == pytest.approx(100.7)
    assert due + until_next_tick(due, 0.7, interval) == pytest.approx(due + interval)


def test_a_timer_that_fires_early_does_not_make_a_second_frame_due() -> None:
    """The frame of one tick was sent twice, some microseconds apart."""
    assert until_next_tick(100.6999, 0.7, 1.0) == pytest.approx(1.0001)
    for thousandth in range(1000):
        wait = until_next_tick(100 + thousandth / 1000, 0.7, 1.0)
        assert MIN_WAIT_SECONDS < wait <= 1 + MIN_WAIT_SECONDS
