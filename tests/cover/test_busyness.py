"""Utilization and lag that an event loop measures of itself."""

import asyncio
import time

import pytest

from hitchdeck_core.loop_load import (
    LoopLoad,
    MeteredLoop,
    loop_utilization,
    take_longest_turn,
)

NEGLIGIBLE = 0.3
BLOCKED_SECONDS = 0.2


class FakeClock:
    """A clock that the test sets."""

    seconds = 0.0

    def __call__(self) -> float:
        return self.seconds


@pytest.mark.parametrize(('waited', 'busy'), [(0, 1), (0.25, 0.75), (1, 0)])
def test_time_not_spent_waiting_counts_as_utilization(
    waited: float, busy: float
) -> None:
    clock = FakeClock()
    meter = LoopLoad(clock)
    for _ in range(20):
        clock.seconds += 1
        meter.waited += waited
        utilization = meter.utilization()
    assert utilization == pytest.approx(busy, abs=0.01)


def test_a_short_burst_of_work_is_not_load() -> None:
    clock = FakeClock()
    meter = LoopLoad(clock)
    clock.seconds += 0.3
    assert meter.utilization() < NEGLIGIBLE


def test_reading_twice_in_a_row_changes_nothing() -> None:
    clock = FakeClock()
    meter = LoopLoad(clock)
    clock.seconds += 1
    first = meter.utilization()
    clock.seconds += 0.01
    assert meter.utilization() == pytest.approx(first)


def test_a_working_loop_reports_more_utilization_than_an_idle_one() -> None:
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


def test_an_unmetered_loop_reports_no_utilization() -> None:
    async def ask() -> float:
        return loop_utilization()

    assert asyncio.run(ask()) == 0


def test_the_longest_turn_without_a_poll_is_reported_once() -> None:
    async def work() -> tuple[float, float]:
        await asyncio.sleep(0.01)
        take_longest_turn()
        time.sleep(BLOCKED_SECONDS)
        await asyncio.sleep(0.01)
        return take_longest_turn(), take_longest_turn()

    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        blocked, after = runner.run(work())
    assert blocked >= BLOCKED_SECONDS
    assert after < blocked


@pytest.mark.parametrize(
    ('turn', 'wait', 'lag'),
    [(0.01, 0, 0.01), (0.2, 0, 0.2), (0.2, 0.2, 0.1), (0.01, 0.99, 0), (9, 0, 0.5)],
)
def test_the_lag_is_how_long_an_event_waits_for_a_turn(
    turn: float, wait: float, lag: float
) -> None:
    clock = FakeClock()
    meter = LoopLoad(clock)
    for _ in range(200):
        clock.seconds += turn
        began = meter.begin_poll()
        clock.seconds += wait
        meter.end_poll(began)
    assert meter.lag == pytest.approx(lag, abs=0.03)


def test_a_suspension_barely_raises_the_lag() -> None:
    clock = FakeClock()
    meter = LoopLoad(clock)
    clock.seconds += 60
    began = meter.begin_poll()
    clock.seconds += 1
    meter.end_poll(began)
    assert meter.lag < NEGLIGIBLE
