"""A process with a lagging event loop does not take its delay for others' silence."""

import asyncio
import time
from pathlib import Path

import pytest

from hitchdeck_control.raft.delays import TURNS_PER_EXCHANGE, SchedulingDelay
from hitchdeck_core.ids import Address
from hitchdeck_edge.dispatch import upstream_connection
from standins.platform_site import running_site
from tests.common.scheduling import FakeClock

BLOCK_SECONDS = 0.6
LAG_SECONDS = 0.2


async def test_an_upstream_is_reached_while_this_process_is_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a box without processor time that ejects healthy upstreams.
    monkeypatch.setattr(upstream_connection, 'loop_lag', lambda: LAG_SECONDS)
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    connecting = asyncio.create_task(
        upstream_connection.connect(Address(f'{host}:{port}'))
    )
    await asyncio.sleep(0)
    time.sleep(BLOCK_SECONDS)
    connection = await connecting
    assert connection.usable
    connection.abort()
    server.close()


async def block_loop(seconds: float) -> None:
    """Block the event loop again and again, each time for this many seconds."""
    while True:
        time.sleep(seconds)
        await asyncio.sleep(0.01)


async def test_three_hubs_form_a_group_in_a_blocked_event_loop(
    tmp_path: Path,
) -> None:
    # Guards against elections that never end; the set-up fails after 15 s.
    holding = asyncio.create_task(block_loop(0.4))
    async with running_site(tmp_path, hubs=3) as site:
        holding.cancel()
        assert len(site.hubs) == 3


async def test_a_delay_decays_and_a_suspension_counts_little(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = FakeClock()
    delay = SchedulingDelay(clock, max_delay=0.6)

    async def sleep_late(seconds: float) -> None:
        clock.seconds += seconds + late

    monkeypatch.setattr(asyncio, 'sleep', sleep_late)
    late = 60
    await delay.sleep(1)
    assert delay.allowance() == pytest.approx(TURNS_PER_EXCHANGE * 0.6)
    late = 0
    for _ in range(20):
        await delay.sleep(1)
    assert not round(delay.allowance(), 1)
