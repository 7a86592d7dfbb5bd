"""Timeouts count the time during which the machine is suspended.

The monotonic clock stops during a suspension; the boot-time clock does not.  Leases
and request deadlines use the boot-time clock.  If timers run on the monotonic clock of
the event loop, a request past its deadline is held for the length of the suspension,
and a silent link is trusted for as long.  The fault was found by a review of the
clocks; no recorded run shows it.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator

import pytest

from hitchdeck_core.loop_load import MeteredLoop
from hitchdeck_core.signals import Signal

HOUR = 3600.0
TURNS = 20

Wait = Callable[[], Awaitable[object]]


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[[float], None]]:
    """Return a function that advances the boot-time clock and no other."""
    asleep = [0.0]
    given = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        return given(clock) + (asleep[0] if clock == time.CLOCK_BOOTTIME else 0)

    def move(seconds: float) -> None:
        asleep[0] += seconds

    monkeypatch.setattr(time, 'clock_gettime', clock_gettime)
    yield move


async def timeout() -> None:
    async with asyncio.timeout(HOUR):
        await asyncio.Event().wait()


async def wait_for() -> None:
    await asyncio.wait_for(asyncio.Event().wait(), HOUR)


async def sleep() -> None:
    await asyncio.sleep(HOUR)


async def signal() -> None:
    await Signal().wait(HOUR)


@pytest.mark.parametrize('wait', [timeout, wait_for, sleep, signal])
def test_a_timeout_that_elapsed_in_a_suspension_fires_after_it(
    wait: Wait,
    suspend: Callable[[float], None],
) -> None:
    async def fires_after_it() -> bool:
        waiting = asyncio.ensure_future(wait())
        await asyncio.sleep(0)
        suspend(2 * HOUR)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        over = waiting.done()
        waiting.cancel()
        await asyncio.wait([waiting])
        return over

    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        assert runner.run(fires_after_it())
