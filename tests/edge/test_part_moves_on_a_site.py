"""Requests whose engine takes a cached prompt part from another one, over real links.

Guards against a source that gets lost between the scheduler and the engine, on either
path of a request.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest

from hitchdeck_edge.model.mechanisms import Mechanisms
from standins.platform_site import Site, document, running_site, until_taken
from standins.platform_worker import Worker

ENGINE = {
    'slots': 8,
    'kvCapacity': 100_000,
    'moves': True,
    'kvTokenBytes': 18_432,
    'linkMbps': 550_000,
}
REQUESTS = 14


async def ask(site: Site, number: int) -> int:
    """Request a generation with a shared part and one of its own."""
    reply = await site.ask_model(
        '/once/',
        f'a{number}',
        Token_Count='9000,40',
        Prompt_Prefix=f'shared:8900,own{number}:100',
    )
    return reply.code


async def flood_one_subject(site: Site) -> list[Worker]:
    """Have one engine read a part, then send more requests than it has slots."""
    services = [
        {'name': 'llm', 'maxConns': 50, 'engine': ENGINE},
        {'name': 'app', 'maxConns': 50},
    ]
    await until_taken(site, document(2, services=services))
    await site.settle(2)
    assert await ask(site, 0) == 200
    for worker in site.workers:
        worker.gap = 0.2
    numbers = range(1, REQUESTS)
    codes = await asyncio.gather(*(ask(site, number) for number in numbers))
    assert set(codes) == {200}
    workers = [one for one in site.workers if one.pool == 'llm']
    ran = Counter(attempt for one in workers for attempt in one.ran)
    assert ran == {f'a{number}': 1 for number in range(REQUESTS)}
    return workers


def sources_named(worker: Worker) -> set[str]:
    """Return the values of ``Kv-Fetch`` that reached a worker."""
    return {one.headers['kv-fetch'] for one in worker.seen if 'kv-fetch' in one.headers}


def with_scheduler(_: Site) -> None:
    """Leave the decisions to the scheduler."""


def alone(site: Site) -> None:
    dispatcher = site.boxes[0].admission.dispatcher
    dispatcher.chooser.local.mechanisms = Mechanisms(scheduler=False)


@pytest.mark.parametrize('decide', [with_scheduler, alone])
async def test_a_busy_engine_is_named_as_the_source(
    tmp_path: Path, decide: Callable[[Site], None]
) -> None:
    async with running_site(tmp_path) as site:
        decide(site)
        first, second = await flood_one_subject(site)
        if first.ran[0] != 'a0':
            first, second = second, first
        assert sources_named(first) == set()
        assert sources_named(second) == {first.address}
