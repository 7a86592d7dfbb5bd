"""A box sends no further request to an upstream whose answer announces its drain.

Draining upstreams set ``Server-Leaving: 1`` in all their answers.  A hub that the
upstream notifies propagates it to all boxes, but a box that reaches no hub, or is
answered before the report arrives, has only the answer.

Guards against ignoring the header, which was forwarded to the caller like any other.  A
box without a hub sent such an engine 12 of 12 further requests, and a plain service 5;
each succeeded, so the box logged nothing about it.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from hitchdeck_core.backpressure import Backpressure
from hitchdeck_core.ids import UpstreamName
from standins.platform_site import Site, running_site
from standins.platform_worker import Worker
from standins.worker_faults import Fault
from tests.common.asking import ask_often, of_pool
from tests.common.scheduling import FakeClock


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of one hub and one box."""
    async with running_site(tmp_path) as running:
        yield running


async def ask_until_seen(site: Site, worker: Worker) -> None:
    async with asyncio.timeout(10):
        while not worker.seen:
            await ask_often(site, worker.pool, 1, 'first')


@pytest.mark.parametrize('pool', ['llm', 'app'])
@pytest.mark.parametrize('scheduled', [True, False])
@pytest.mark.parametrize(
    'fault',
    [Fault.none, Fault.shed, Fault.error, Fault.cut, Fault.stale, Fault.unsealed],
)
async def test_an_upstream_that_announces_its_drain_gets_no_more_requests(
    site: Site,
    pool: str,
    scheduled: bool,
    fault: Fault,
) -> None:
    if not scheduled:
        await site.kill_hub(site.hubs[0])
    draining, other = of_pool(site, pool)
    draining.leaving = True
    draining.misbehave(fault)
    await ask_until_seen(site, draining)
    statuses = await ask_often(site, pool, 12, 'more')
    assert statuses == [200] * 12
    assert len(draining.seen) == 1
    assert len(other.seen) >= 12


async def test_later_reports_do_not_reactivate_a_draining_upstream(
    site: Site,
) -> None:
    draining, _ = of_pool(site, 'app')
    draining.leaving = True
    await ask_until_seen(site, draining)
    # The upstream reports itself as serving after its answer announced the drain.
    await site.tell(draining, draining.sequence + 5)
    await site.start_worker('p3', 'app')
    await site.settle()
    assert await ask_often(site, 'app', 12, 'more') == [200] * 12
    assert len(draining.seen) == 1


async def test_an_answer_of_another_upstream_at_the_address_is_ignored(
    site: Site,
) -> None:
    """A draining upstream that has taken over an address answers 421."""
    named = of_pool(site, 'app')[0]
    called = named.name
    named.name, named.leaving = 'another', True
    async with asyncio.timeout(10):
        while not named.seen:
            await ask_often(site, 'app', 1, 'first')
    backpressure = site.boxes[0].admission.dispatcher.chooser.backpressure
    assert UpstreamName(called) not in backpressure.blocked()


@pytest.mark.parametrize('earlier', [True, False])
def test_the_next_incarnation_of_a_drained_upstream_gets_requests(
    earlier: bool,
) -> None:
    left, newer = UpstreamName('e0/1'), UpstreamName('e0/2')
    clock = FakeClock()
    backpressure = Backpressure(clock)
    backpressure.mark_leaving(left)
    backpressure.transfer_backoff(left, newer)
    assert backpressure.blocked() == {left}
    backpressure.retain([left, newer] if earlier else [newer])
    assert backpressure.accepts_requests(left) != earlier
    assert backpressure.accepts_requests(newer)
    clock.seconds += 1000
    assert backpressure.accepts_requests(left) != earlier
