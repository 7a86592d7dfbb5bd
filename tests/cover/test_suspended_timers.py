"""Time limits hold over a suspension of the machine.

While a machine is suspended the steady clock stands still, and the clock since boot
goes on.  Leases and ends of requests were kept by the latter, but the timers that cut
them short ran on the event loop's clock, the former: a request whose time was over
would have been held for as long as the machine had been away, and a silent link
trusted.  No record shows it; it was found by looking for clocks that stand still.
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
    """Return what moves the clock since boot on, and no other."""
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
