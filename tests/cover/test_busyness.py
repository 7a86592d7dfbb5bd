"""Utilization and lag that an event loop measures of itself."""

import asyncio
import selectors
import socket
import time

import pytest

from hitchdeck_core.loop_load import (
    MAX_POLL_SECONDS,
    MIN_POLL_INTERVAL_SECONDS,
    LoadSelector,
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


@pytest.mark.parametrize(
    ('since_poll', 'timeout', 'polls'),
    [
        (0.5, 0, False),
        (0.5, -1, False),
        (1.5, 0, True),
        (0.5, MAX_POLL_SECONDS, True),
        (0.5, None, True),
    ],
)
def test_ready_callbacks_delay_a_poll_by_a_bounded_time(
    since_poll: float, timeout: float | None, polls: bool
) -> None:
    """Callbacks that schedule each other must not keep a loop from its sockets."""
    clock = FakeClock()
    reader, writer = socket.socketpair()
    with reader, writer, LoadSelector(LoopLoad(clock)) as selector:
        selector.register(reader, selectors.EVENT_READ)
        writer.send(b'!')
        clock.seconds += since_poll * MIN_POLL_INTERVAL_SECONDS
        assert bool(selector.select(timeout)) is polls


def test_a_loop_whose_callbacks_never_end_reads_its_sockets() -> None:
    async def work() -> bytes:
        reader, writer = socket.socketpair()
        with reader, writer:
            reader.setblocking(False)
            loop = asyncio.get_running_loop()
            received = asyncio.ensure_future(loop.sock_recv(reader, 1))
            await asyncio.sleep(0)
            writer.send(b'!')
            until = time.monotonic() + 1
            while not received.done() and time.monotonic() < until:
                await asyncio.sleep(0)
            return await received

    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        assert runner.run(work()) == b'!'
