"""A box honors the ``Retry-After`` of upstreams that answered it.

Guards against sending requests to an upstream that has asked for backoff.  When the
header of a 503 answer was ignored, the answer counted as an ordinary failure, which
has no weight in the choice of an engine, and the scheduler, which places requests for
all boxes, does not see answers.  While three of nine engines answered 503 with
``Retry-After: 3``, one box sent up to 37 more requests to the same engine within these
three seconds, although six other engines were serving: 438 attempts failed in five
seconds, most of them with a 503 for the caller.  The box logged ``attempt failed`` with
``"verdict": "not run", "status": 503`` and ``decided_by`` the scheduler, and never
``upstream ejected``.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from hitchdeck_core.backpressure import Backpressure
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.dispatch.reuse import Reuse
from hitchdeck_edge.dispatch.upstream_connection import Connection
from hitchdeck_edge.model.upstreams import Upstream
from standins.platform_site import Site, running_site
from standins.platform_worker import Worker
from standins.worker_faults import Fault
from tests.common.asking import PATHS, ask_often, of_pool
from tests.common.scheduling import FakeClock

BACKOFF_SECONDS = 60.0
"""Longer than a test takes."""

FAULT_COUNT = 1000


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of one hub and two boxes."""
    async with running_site(tmp_path, boxes=2) as running:
        yield running


def reject_requests(workers: list[Worker], pause: float) -> None:
    for worker in workers:
        worker.pause = str(pause)
        worker.misbehave(Fault.shed, FAULT_COUNT)


async def lose_scheduler(site: Site) -> None:
    """Stop the hub, and wait until the boxes place requests by themselves."""
    await site.kill_hub(site.hubs[0])
    async with asyncio.timeout(10):
        while any(
            box.admission.dispatcher.chooser.link.scheduler for box in site.boxes
        ):
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('pool', ['llm', 'app'])
@pytest.mark.parametrize('scheduled', [True, False])
async def test_an_upstream_in_backoff_gets_no_request_until_it_expires(
    site: Site,
    pool: str,
    scheduled: bool,
) -> None:
    if not scheduled:
        await lose_scheduler(site)
    rejecting, *others = of_pool(site, pool)
    reject_requests([rejecting], BACKOFF_SECONDS)
    async with asyncio.timeout(10):
        while not rejecting.seen:
            await ask_often(site, pool, 1, 'first')
    statuses = await ask_often(site, pool, 12, 'more')
    assert statuses == [200] * 12
    assert len(rejecting.seen) == 1
    assert sum(len(other.seen) for other in others) >= 12


@pytest.mark.parametrize('pool', ['llm', 'app'])
@pytest.mark.parametrize('scheduled', [True, False])
async def test_a_request_is_refused_at_once_while_all_upstreams_are_in_backoff(
    site: Site,
    pool: str,
    scheduled: bool,
) -> None:
    if not scheduled:
        await lose_scheduler(site)
    reject_requests(of_pool(site, pool), BACKOFF_SECONDS)
    assert await ask_often(site, pool, 12, 'r') == [503] * 12
    assert [len(worker.seen) for worker in of_pool(site, pool)] == [1, 1]


@pytest.mark.parametrize('pool', ['llm', 'app'])
@pytest.mark.parametrize('times', [1, 2])
async def test_retry_after_states_the_earliest_backoff_expiry(
    site: Site,
    pool: str,
    times: int,
) -> None:
    """Guards against retries after 0.1 or 0.3 s, while every upstream is in backoff."""
    first, last = of_pool(site, pool)
    reject_requests([first], BACKOFF_SECONDS)
    reject_requests([last], BACKOFF_SECONDS * 10)
    ask = site.ask_model if pool == 'llm' else site.ask
    replies = [await ask(PATHS[pool][0], f'r{number}') for number in range(times)]
    assert [reply.code for reply in replies] == [503] * times
    assert 1 < float(replies[-1].headers['Retry-After']) <= BACKOFF_SECONDS


@pytest.mark.parametrize('pool', ['llm', 'app'])
async def test_an_upstream_gets_requests_again_after_its_backoff(
    site: Site,
    pool: str,
) -> None:
    reject_requests(of_pool(site, pool), 0.3)
    assert await ask_often(site, pool, 1, 'early') == [503]
    for worker in of_pool(site, pool):
        worker.misbehave(Fault.none)
    async with asyncio.timeout(10):
        while await ask_often(site, pool, 1, 'late') != [200]:
            await asyncio.sleep(0.02)


async def test_a_backoff_applies_only_to_the_box_that_received_it(site: Site) -> None:
    workers = of_pool(site, 'app')
    reject_requests(workers, BACKOFF_SECONDS)
    assert await ask_often(site, 'app', 1, 'told') == [503]
    for worker in workers:
        worker.misbehave(Fault.none)
    site.boxes.reverse()
    assert await ask_often(site, 'app', 4, 'other') == [200] * 4


@pytest.mark.parametrize('pool', ['llm', 'app'])
async def test_a_request_that_waited_for_its_connection_goes_elsewhere(
    site: Site,
    pool: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sender = site.boxes[0].admission.dispatcher.sender
    acquire = sender.connections.acquire
    backed_off: list[str] = []

    async def acquire_during_backoff(upstream: Upstream, *, reuse: Reuse) -> Connection:
        connection = await acquire(upstream, reuse=reuse)
        if not backed_off:
            backed_off.append(upstream.name)
            sender.backpressure.pause(upstream.name, BACKOFF_SECONDS)
        return connection

    monkeypatch.setattr(sender.connections, 'acquire', acquire_during_backoff)
    assert await ask_often(site, pool, 1, 'r') == [200]
    seen = {worker.life: len(worker.seen) for worker in of_pool(site, pool)}
    assert seen.pop(backed_off[0]) == 0
    assert list(seen.values()) == [1]


async def test_metrics_count_the_upstreams_in_backoff(site: Site) -> None:
    reject_requests(of_pool(site, 'app'), BACKOFF_SECONDS)
    assert await ask_often(site, 'app', 1, 'r') == [503]
    box = site.boxes[0]
    async with asyncio.timeout(10):
        while 'hitchdeck_upstreams_unwilling 2' not in box.admission.metrics.render():
            await asyncio.sleep(0.02)


FIRST, NEXT = UpstreamName('e0/1'), UpstreamName('e0/2')


@pytest.mark.parametrize(
    ('asked', 'later', 'accepts'),
    [
        ([3.0], 2.9, False),
        ([3.0], 3.1, True),
        # The longest of several backoffs applies, in whatever order they arrive.
        ([3.0, 0.5], 2.9, False),
        ([0.5, 3.0], 2.9, False),
        ([3.0, 0.0], 2.9, False),
        ([0.0], 0.0, True),
        ([], 0.0, True),
    ],
)
def test_a_backoff_lasts_as_long_as_the_longest_requested(
    asked: list[float],
    later: float,
    accepts: bool,
) -> None:
    clock = FakeClock()
    backpressure = Backpressure(clock)
    for seconds in asked:
        backpressure.pause(FIRST, seconds)
    clock.seconds += later
    assert backpressure.accepts_requests(FIRST) == accepts
    assert backpressure.accepts_requests(NEXT)


def test_a_backoff_requested_before_an_incarnation_is_known_is_kept() -> None:
    """A restarted upstream keeps its previous incarnation's name until it reports."""
    clock = FakeClock()
    backpressure = Backpressure(clock)
    backpressure.pause(FIRST, 3)
    clock.seconds += 1
    backpressure.transfer_backoff(FIRST, NEXT)
    backpressure.retain([NEXT])
    assert backpressure.blocked() == {NEXT}
    clock.seconds += 2.1
    assert not backpressure.blocked()
