"""A stream goes on only at the software version that began it."""

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.process import EntryBox
from standins.platform_site import Site, document, route, running_site
from standins.platform_worker import Worker
from standins.worker_bodies import events
from standins.worker_faults import Fault
from tests.common.asking import of_pool
from tests.common.raw_callers import Received, caller_request, receive

AT_ONCE_SECONDS = 0.6
"""Far below the deadline of 3 s, and more than a busy machine takes."""

WAIT_SECONDS = 15.0
HOUR_SECONDS = 3600
EVENTS = 5
CUT_AT = 2
TRIES = 4


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of two hubs and two boxes that have run for an hour."""
    async with running_site(tmp_path, hubs=2, boxes=2) as running:
        for hub in running.hubs:
            hub.state.origins.complete_since -= HOUR_SECONDS
        yield running


def prefer(site: Site, *favoured: Worker) -> None:
    """Let all schedulers choose these engines first, in this order."""
    order = [*favoured, *(one for one in of_pool(site, 'llm') if one not in favoured)]
    chooser_placements = [
        box.admission.dispatcher.chooser.local.placement for box in site.boxes
    ]
    hub_placements = [hub.placing.scheduler.placement for hub in site.hubs]
    for placement in chooser_placements + hub_placements:
        for place, worker in enumerate(order):
            record = placement.health.record(UpstreamName(worker.name))
            record.slowness = 10**place


async def ask(
    box: EntryBox, attempt: str, path: str = '/s/', **more: str
) -> tuple[Received, float]:
    """Send a generation request; return the response and the seconds it took."""
    headers = {'Model': 'm', 'Token_Count': '300,40', 'Prompt_Prefix': 'aa:300'}
    request = caller_request(path, attempt, **headers, **more)
    asked = time.monotonic()
    received = await receive(box.settings.listen, request)
    return received, time.monotonic() - asked


async def begin(site: Site, attempt: str, *, path: str = '/s/') -> None:
    """Have a stream begun by the first box, and truncated at every engine."""
    workers = of_pool(site, 'llm')
    for worker in workers:
        worker.misbehave(Fault.cut, TRIES)
    received, _ = await ask(site.boxes[0], attempt, path)
    for worker in workers:
        worker.faults_left = 0
    assert received.status == 200
    assert received.body == stream(1, CUT_AT)
    assert not received.complete


def stream(first: int, last: int, software: str = 'v1') -> bytes:
    return b''.join(events(str(first - 1), last, software))


def is_refusal(received: Received) -> bool:
    return received.status == 503 and received.complete


async def until_known(site: Site, worker: Worker) -> None:
    """Wait until every process knows the software version of a worker."""
    registries = [box.link.known.registry for box in site.boxes]
    registries += [hub.state.registry for hub in site.hubs]
    name = UpstreamName(worker.name)
    async with asyncio.timeout(WAIT_SECONDS):
        while not all(
            name in one.records and one.records[name].software == worker.software
            for one in registries
        ):
            await asyncio.sleep(0.02)


async def start_engine(site: Site, name: str, software: str) -> Worker:
    """Start an engine that every scheduler prefers."""
    worker = await site.start_worker(name, 'llm', software=software)
    await until_known(site, worker)
    prefer(site, worker)
    return worker


async def set_software(site: Site, worker: Worker, software: str) -> None:
    worker.software = software
    await site.tell(worker, worker.sequence + 1)
    await until_known(site, worker)


async def test_a_broken_stream_resumes_at_its_version_within_the_answer(
    site: Site,
) -> None:
    first, _ = of_pool(site, 'llm')
    other = await start_engine(site, 'e3', 'v2')
    for number in range(TRIES):
        prefer(site, first, other)
        first.misbehave(Fault.cut)
        received, _ = await ask(site.boxes[0], f'r{number}')
        assert received.succeeded
        assert received.body == stream(1, EVENTS)
    assert not other.ran


async def test_a_stream_whose_version_is_gone_ends_visibly_at_once(site: Site) -> None:
    first, second = of_pool(site, 'llm')
    await set_software(site, second, 'v2')
    prefer(site, first)
    first.misbehave(Fault.cut)
    received, seconds = await ask(site.boxes[0], 'r1')
    assert received.status == 200
    assert not received.complete
    assert received.body == stream(1, CUT_AT)
    assert not second.ran
    assert seconds < AT_ONCE_SECONDS


async def test_unknown_versions_are_not_the_same(site: Site) -> None:
    for worker in of_pool(site, 'llm'):
        await site.tell(worker, worker.sequence + 1, 'draining')
    first = await start_engine(site, 'e3', '')
    second = await start_engine(site, 'e4', '')
    first.misbehave(Fault.cut)
    second.misbehave(Fault.cut)
    received, _ = await ask(site.boxes[0], 'r1')
    assert received.status == 200
    assert not received.complete
    assert len(first.ran + second.ran) == 1
    resumed, _ = await ask(site.boxes[0], 'r2', Resumes='r1', Last_Event_Id=str(CUT_AT))
    assert is_refusal(resumed)


@pytest.mark.parametrize('box', [0, 1])
async def test_callers_resume_a_stream_at_its_version(site: Site, box: int) -> None:
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    for number in range(1, TRIES):
        received, _ = await ask(
            site.boxes[box], f'r{number}', Resumes='r0', Last_Event_Id=str(CUT_AT)
        )
        assert received.succeeded
        assert received.body == stream(CUT_AT + 1, EVENTS)
    assert not other.ran


@pytest.mark.parametrize('box', [0, 1])
async def test_a_stream_whose_version_is_gone_is_refused_at_once(
    site: Site, box: int
) -> None:
    await begin(site, 'r0')
    for worker in of_pool(site, 'llm'):
        worker.ran.clear()
        await set_software(site, worker, 'v2')
    received, seconds = await ask(
        site.boxes[box], 'r1', Resumes='r0', Last_Event_Id=str(CUT_AT)
    )
    assert is_refusal(received)
    assert b'version' in received.body
    assert not any(worker.ran for worker in of_pool(site, 'llm'))
    assert seconds < AT_ONCE_SECONDS


@pytest.mark.parametrize(
    'headers',
    [
        {'Resumes': 'another', 'Last_Event_Id': '2'},
        {'Resumes': 'another'},
        {'Last_Event_Id': '2', 'path': '/s/of-other-content'},
    ],
)
async def test_a_stream_of_unknown_version_is_refused_at_once(
    site: Site, headers: dict[str, str]
) -> None:
    await begin(site, 'r0')
    received, seconds = await ask(site.boxes[1], 'r1', **headers)
    assert is_refusal(received)
    assert not any('r1' in worker.ran for worker in of_pool(site, 'llm'))
    assert seconds < AT_ONCE_SECONDS


@pytest.mark.parametrize('box', [0, 1])
async def test_a_caller_that_names_no_request_resumes_by_content(
    site: Site, box: int
) -> None:
    # Callers that do not know of versions resume with the last event alone.
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    received, _ = await ask(site.boxes[box], 'r1', Last_Event_Id=str(CUT_AT))
    assert received.succeeded
    assert not other.ran
    begun, _ = await ask(site.boxes[box], 'r2')
    assert begun.body == stream(1, EVENTS, 'v2')
    received, _ = await ask(site.boxes[box], 'r3', Last_Event_Id=str(CUT_AT))
    assert is_refusal(received)


async def test_ids_of_requests_are_those_of_an_account(site: Site) -> None:
    tenants = [
        {'name': 'ann', 'apiKeys': ['key-of-ann']},
        {'name': 'bob', 'apiKeys': ['key-of-bob']},
    ]
    await site.publish(document(2, tenants=tenants))
    await site.settle(2)
    await begin(site, 'r0')
    received, _ = await ask(
        site.boxes[0],
        'r1',
        Resumes='r0',
        Last_Event_Id=str(CUT_AT),
        Authorization='Token key-of-bob',
    )
    assert is_refusal(received)


async def test_a_box_that_is_gone_leaves_the_version_known(site: Site) -> None:
    # Callers take most streams up because their box is gone.
    await begin(site, 'r0')
    await site.boxes.pop(0).stop()
    other = await start_engine(site, 'e3', 'v2')
    received, _ = await ask(
        site.boxes[0], 'r1', Resumes='r0', Last_Event_Id=str(CUT_AT)
    )
    assert received.succeeded
    assert not other.ran


async def test_a_new_scheduler_knows_the_version(site: Site) -> None:
    await begin(site, 'r0')
    await asyncio.sleep(1.5)
    chooser = site.boxes[1].admission.dispatcher.chooser
    scheduler = chooser.link.scheduler
    leaving = next(one for one in site.hubs if one.settings.listen == scheduler)
    await site.boxes[0].stop()
    await site.kill_hub(leaving)
    for worker in of_pool(site, 'llm'):
        worker.ran.clear()
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            received, _ = await ask(
                site.boxes[1], 'r1', Resumes='r0', Last_Event_Id=str(CUT_AT)
            )
            if received.succeeded:
                break
            assert is_refusal(received)
    assert received.body == stream(CUT_AT + 1, EVENTS)


@pytest.mark.parametrize(('box', 'goes_on'), [(0, True), (1, False)])
async def test_a_box_without_hubs_resumes_only_streams_that_it_knows(
    site: Site, box: int, goes_on: bool
) -> None:
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    for hub in list(site.hubs):
        await site.kill_hub(hub)
    known_hubs = site.boxes[box].known_hubs
    async with asyncio.timeout(WAIT_SECONDS):
        while known_hubs.reachable:
            await asyncio.sleep(0.02)
    received, seconds = await ask(
        site.boxes[box], 'r1', Resumes='r0', Last_Event_Id=str(CUT_AT)
    )
    assert received.succeeded == goes_on
    assert goes_on or is_refusal(received)
    assert not other.ran
    assert seconds < AT_ONCE_SECONDS


async def test_a_stream_resumes_in_the_pool_that_began_it(site: Site) -> None:
    # Versions of different services say nothing of each other.
    engine = {'slots': 8, 'kvCapacity': 100_000}
    services = [
        {'name': 'llm', 'maxConns': 50, 'engine': engine},
        {'name': 'llm2', 'maxConns': 50, 'engine': engine},
    ]
    await begin(site, 'r0')
    other = await site.start_worker('f1', 'llm2')
    targets = [{'service': 'llm2', 'weight': 99}, {'service': 'llm', 'weight': 1}]
    routes = [route('stream', '/s/', 'stream', resumable=True, backends=targets)]
    await site.publish(document(2, routes=routes, services=services))
    await site.settle(2)
    for number in range(1, TRIES):
        received, _ = await ask(
            site.boxes[1], f'r{number}', Resumes='r0', Last_Event_Id=str(CUT_AT)
        )
        assert received.succeeded
    assert not other.ran
