"""How busy a process is, as it sees itself."""

import asyncio
import time

import pytest

from hitchdeck_core.loop_load import (
    LoopLoad,
    MeteredLoop,
    loop_utilization,
    take_longest_turn,
)

AFTER_A_MOMENT = 0.3
HELD_UP_SECONDS = 0.2


class Hand:
    """A clock that is set by hand."""

    seconds = 0.0

    def __call__(self) -> float:
        return self.seconds


@pytest.mark.parametrize(('waited', 'busy'), [(0, 1), (0.25, 0.75), (1, 0)])
def test_time_that_was_not_waited_is_work(waited: float, busy: float) -> None:
    clock = Hand()
    meter = LoopLoad(clock)
    for _ in range(20):
        clock.seconds += 1
        meter.waited += waited
        utilization = meter.utilization()
    assert utilization == pytest.approx(busy, abs=0.01)


def test_a_moment_of_work_is_no_load() -> None:
    clock = Hand()
    meter = LoopLoad(clock)
    clock.seconds += 0.3
    assert meter.utilization() < AFTER_A_MOMENT


def test_asking_twice_at_once_changes_nothing() -> None:
    clock = Hand()
    meter = LoopLoad(clock)
    clock.seconds += 1
    first = meter.utilization()
    clock.seconds += 0.01
    assert meter.utilization() == pytest.approx(first)


def test_a_loop_that_works_knows_it_and_one_that_waits_too() -> None:
    async def work() -> tuple[float, float]:
        until = time.monotonic() + 0.5
        while time.monotonic() < until:
            await asyncio.sleep(0)
        worked = loop_utilization()
        await asyncio.sleep(0.5)
        return worked, loop_utilization()

    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        worked, rested = runner.run(work())
    assert rested < worked


def test_another_loop_is_not_known_to_be_busy() -> None:
    async def ask() -> float:
        return loop_utilization()

    assert asyncio.run(ask()) == 0


def test_the_longest_turn_without_a_look_at_sockets_is_told_once() -> None:
    async def work() -> tuple[float, float]:
        await asyncio.sleep(0.01)
        take_longest_turn()
        time.sleep(HELD_UP_SECONDS)
        await asyncio.sleep(0.01)
        return take_longest_turn(), take_longest_turn()

    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        held_up, after = runner.run(work())
    assert held_up >= HELD_UP_SECONDS
    assert after < held_up


@pytest.mark.parametrize(
    ('turn', 'wait', 'lag'),
    [(0.01, 0, 0.01), (0.2, 0, 0.2), (0.2, 0.2, 0.1), (0.01, 0.99, 0), (9, 0, 0.5)],
)
def test_the_lag_is_how_long_an_event_waits_for_a_turn(
    turn: float, wait: float, lag: float
) -> None:
    clock = Hand()
    meter = LoopLoad(clock)
    for _ in range(200):
        clock.seconds += turn
        began = meter.begin_poll()
        clock.seconds += wait
        meter.end_poll(began)
    assert meter.lag == pytest.approx(lag, abs=0.03)


def test_a_suspension_is_no_lag_for_long() -> None:
    clock = Hand()
    meter = LoopLoad(clock)
    clock.seconds += 60
    began = meter.begin_poll()
    clock.seconds += 1
    meter.end_poll(began)
    assert meter.lag < AFTER_A_MOMENT
