"""A router sends no request to an upstream during its Retry-After.

Guards against a Retry-After that applies only to the request that received it.  With
this fault, entry boxes of the platform sent engines up to 37 requests within the 3 s
that these had asked for in a 503.
"""

import asyncio
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.fleet import Fleet, FleetSize, Member, running_fleet
from standins.records import read_records
from tests.common import callers

PAUSE = 60
"""Seconds; longer than a test takes."""

SHORT_PAUSE = 2.0
"""Seconds; longer than the attempts of one request take."""


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Return a fleet of one router."""
    size = FleetSize(routers=1, engines=2, services=2)
    with running_fleet(tmp_path, size) as running:
        path = callers.write_resources(running)
        running.hitchdeck('apply', str(path), '--wait')
        yield running


def events(fleet: Fleet, member: Member, *names: str) -> int:
    """Return the number of records of some events at an upstream."""
    records = read_records(fleet.folder / f'{member.name}.records')
    return sum(line['event'] in names for line in records)


async def chat(fleet: Fleet, times: int) -> list[callers.Reply]:
    router = fleet.routers[0]
    return [await callers.chat(router, f'prompt {number}') for number in range(times)]


async def request_retry_after(fleet: Fleet, pauses: list[float]) -> None:
    """Make each engine reject one request with a Retry-After, then serve again."""
    await callers.until_ready(fleet)
    for engine, pause in zip(fleet.engines, pauses, strict=True):
        await callers.set_faults(engine, pause=pause)
    assert [reply.ran for reply in await chat(fleet, 1)] == ['unknown']
    for engine in fleet.engines:
        assert events(fleet, engine, 'taken') == 1
        await callers.set_faults(engine)
    # The backoff of the scheduler after one failure is shorter than this.
    await asyncio.sleep(1)


async def test_an_engine_gets_no_request_during_its_retry_after(
    fleet: Fleet,
) -> None:
    await request_retry_after(fleet, [PAUSE, SHORT_PAUSE])
    await asyncio.sleep(SHORT_PAUSE)
    paused, other = fleet.engines
    for _ in range(3):
        # More concurrent requests than the other engine has slots.
        router = fleet.routers[0]
        asked = [callers.chat(router, f'prompt {number}') for number in range(8)]
        replies = await asyncio.gather(*asked)
        assert [reply.status for reply in replies] == [200] * 8
    assert events(fleet, paused, 'taken') == 1
    assert events(fleet, other, 'taken') == 1 + 24


async def test_a_caller_gets_the_shortest_retry_after_of_all_engines(
    fleet: Fleet,
) -> None:
    await request_retry_after(fleet, [PAUSE, PAUSE * 10])
    replies = await chat(fleet, 4)
    assert [(reply.status, reply.ran) for reply in replies] == [(503, 'not-run')] * 4
    assert all(1 < float(reply.retry_after) <= PAUSE for reply in replies)
    assert [events(fleet, engine, 'taken') for engine in fleet.engines] == [1, 1]


async def test_a_plain_service_gets_no_call_during_its_retry_after(
    fleet: Fleet,
) -> None:
    await callers.until_ready(fleet)
    path = '/v1/services/plain/confirm'
    key = callers.fresh_key('turned')
    turned = await callers.request(
        fleet.routers[0], path, {'pause': PAUSE}, Idempotency_Key=key
    )
    assert (turned.status, turned.retry_after) == (503, str(PAUSE))
    paused = next(one for one in fleet.services if events(fleet, one, 'turned-away'))
    for number in range(8):
        reply = await callers.confirm(fleet.routers[0], callers.fresh_key(str(number)))
        assert reply.status == 200
    assert events(fleet, paused, 'run') == 0
