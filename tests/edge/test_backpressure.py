"""What upstreams ask for in their answers is kept by the box that they told.

Three of nine engines under load answered 503 with ``Retry-After: 3``, and did not run
the requests.  A box that was told so sent up to 37 more to the same engine within these
three seconds, while six other engines ran requests: 438 attempts ended in this way in
five seconds, and most of them with a 503 for the caller.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.platform_site import Site, running_site
from standins.platform_worker import Fault, Worker

PAUSE = 60.0
"""Seconds; longer than a test takes."""

ALWAYS = 1000

PATHS = {'llm': ('/s/', '/once/'), 'app': ('/g/', '/u/')}


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of one hub and two boxes."""
    async with running_site(tmp_path, boxes=2) as running:
        yield running


def of_pool(site: Site, pool: str) -> list[Worker]:
    return [worker for worker in site.workers if worker.pool == pool]


def turn_away(workers: list[Worker], pause: float) -> None:
    for worker in workers:
        worker.pause = str(pause)
        worker.misbehave(Fault.shed, ALWAYS)


async def ask_often(site: Site, pool: str, times: int, name: str) -> list[int]:
    """Ask one after the other, on all routes to a pool; return the statuses."""
    ask = site.ask_model if pool == 'llm' else site.ask
    paths = PATHS[pool]
    replies = [
        await ask(paths[number % len(paths)], f'{name}{number}')
        for number in range(times)
    ]
    return [reply.code for reply in replies]


async def lose_scheduler(site: Site) -> None:
    """Have the boxes decide by themselves."""
    await site.kill_hub(site.hubs[0])
    async with asyncio.timeout(10):
        while any(
            box.admission.dispatcher.chooser.link.scheduler for box in site.boxes
        ):
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('pool', ['llm', 'app'])
@pytest.mark.parametrize('scheduled', [True, False])
async def test_an_upstream_that_asked_for_a_pause_gets_nothing_until_it_is_over(
    site: Site,
    pool: str,
    scheduled: bool,
) -> None:
    if not scheduled:
        await lose_scheduler(site)
    turning, *others = of_pool(site, pool)
    turn_away([turning], PAUSE)
    async with asyncio.timeout(10):
        while not turning.seen:
            await ask_often(site, pool, 1, 'first')
    statuses = await ask_often(site, pool, 12, 'more')
    assert statuses == [200] * 12
    assert len(turning.seen) == 1
    assert sum(len(other.seen) for other in others) >= 12


@pytest.mark.parametrize('pool', ['llm', 'app'])
@pytest.mark.parametrize('scheduled', [True, False])
async def test_a_request_is_refused_at_once_while_all_upstreams_want_a_pause(
    site: Site,
    pool: str,
    scheduled: bool,
) -> None:
    if not scheduled:
        await lose_scheduler(site)
    turn_away(of_pool(site, pool), PAUSE)
    assert await ask_often(site, pool, 12, 'r') == [503] * 12
    assert [len(worker.seen) for worker in of_pool(site, pool)] == [1, 1]


@pytest.mark.parametrize('pool', ['llm', 'app'])
async def test_an_upstream_gets_requests_again_after_its_pause(
    site: Site,
    pool: str,
) -> None:
    turn_away(of_pool(site, pool), 0.3)
    assert await ask_often(site, pool, 1, 'early') == [503]
    for worker in of_pool(site, pool):
        worker.misbehave(Fault.none)
    async with asyncio.timeout(10):
        while await ask_often(site, pool, 1, 'late') != [200]:
            await asyncio.sleep(0.02)
