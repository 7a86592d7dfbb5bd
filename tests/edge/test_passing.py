"""Requests reach one upstream, whole, and run no more often than allowed."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.calls import Call
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import OTHER_BOX_RETRY_SECONDS, Refusal
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.serving import admission, caller
from hitchdeck_platform.requests import DIALECT
from standins.platform_site import (
    HOST,
    KEY,
    Site,
    document,
    running_site,
    until_taken,
)
from standins.platform_worker import Worker
from standins.worker_faults import Fault
from tests.common.asking import of_pool


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of one hub and one box."""
    async with running_site(tmp_path) as running:
        yield running


def run_count(site: Site, attempt: str) -> int:
    return sum(worker.ran.count(attempt) for worker in site.workers)


def misbehave(site: Site, pool: str, fault: Fault, times: int = 1) -> None:
    for worker in of_pool(site, pool):
        worker.misbehave(fault, times)


async def test_an_upstream_gets_the_request_with_the_headers_of_the_box(
    site: Site,
) -> None:
    reply = await site.ask('/u/x?y=1', 'r1', Tenant='forged', Expect_Instance='forged')
    worker = next(one for one in site.workers if one.seen)
    seen = worker.seen[0]
    assert reply.code == 200
    assert json.loads(reply.body) == {'attempt': 'r1', 'by': worker.name}
    assert seen.line == 'POST /u/x?y=1 HTTP/1.1'
    assert seen.body == b'body'
    assert seen.headers['tenant'] == 'ann'
    assert seen.headers['expect-instance'] == worker.name
    assert 'authorization' not in seen.headers
    assert 2000 < int(seen.headers['deadline-ms']) <= 3000


@pytest.mark.parametrize(
    ('tenants', 'status'), [({}, 200), ({'tenants': []}, 401)], ids=['none', 'empty']
)
async def test_keys_are_asked_for_only_where_a_document_has_accounts(
    site: Site, tenants: dict[str, object], status: int
) -> None:
    # Guards against callers who are refused although no key could be valid.
    given = document(2)
    del given['tenants']
    await until_taken(site, {**given, **tenants})
    await site.settle(2)
    assert (await site.ask('/u/', 'r1', Authorization='')).code == status
    assert (await site.ask_model('/s/', 'r2', Authorization='')).code == status


@pytest.mark.parametrize(
    ('path', 'headers', 'status'),
    [
        ('/nowhere/', {}, 404),
        ('/u/', {'Authorization': 'Token wrong'}, 401),
        ('/u/', {'Authorization': ''}, 401),
        ('/u/', {'Host': 'other.example'}, 404),
        ('/o/', {'Authorization': ''}, 200),
        ('/u/', {'Deadline_Ms': 'soon'}, 400),
        ('/s/', {'Token_Count': 'many'}, 400),
    ],
)
async def test_each_route_enforces_its_rules(
    site: Site,
    path: str,
    headers: dict[str, str],
    status: int,
) -> None:
    reply = await site.ask(path, 'r1', **headers)
    assert reply.code == status
    assert run_count(site, 'r1') == (status == 200)


class Case(NamedTuple):
    """A fault of a pool's upstreams, and the expected status and number of runs."""

    path: str
    pool: str
    fault: Fault
    times: int
    status: int
    runs: int


@pytest.mark.parametrize(
    'case',
    [
        Case('/g/', 'app', Fault.error, 1, 200, 2),
        Case('/g/', 'app', Fault.error, 9, 500, 2),
        Case('/g/', 'app', Fault.reset, 1, 200, 2),
        Case('/g/', 'app', Fault.unsealed, 1, 200, 2),
        Case('/g/', 'app', Fault.shed, 9, 503, 0),
        Case('/u/', 'app', Fault.error, 1, 500, 1),
        Case('/u/', 'app', Fault.reset, 1, 502, 1),
        Case('/u/', 'app', Fault.unsealed, 1, 502, 1),
        Case('/u/', 'app', Fault.shed, 1, 200, 1),
        Case('/u/', 'app', Fault.shed, 9, 503, 0),
        Case('/u/', 'app', Fault.stale, 1, 200, 1),
        Case('/once/', 'llm', Fault.reset, 1, 502, 1),
        Case('/s/', 'llm', Fault.reset, 1, 200, 2),
    ],
)
async def test_a_request_runs_as_often_as_its_route_allows(
    site: Site,
    case: Case,
) -> None:
    if case.times == 1:
        await make_first_choice(site, of_pool(site, case.pool)[0], case.fault)
    else:
        misbehave(site, case.pool, case.fault, case.times)
    ask = site.ask_model if case.pool == 'llm' else site.ask
    reply = await ask(case.path, 'r1')
    assert reply.code == case.status
    assert run_count(site, 'r1') == case.runs


async def make_first_choice(site: Site, faulty: Worker, fault: Fault) -> None:
    """Have a given upstream chosen first, whose next request meets a fault."""
    faulty.misbehave(fault)
    others = [one for one in of_pool(site, faulty.pool) if one is not faulty]
    chooser = site.boxes[0].admission.dispatcher.chooser
    schedulers = [chooser.local, site.hubs[0].placing.scheduler]
    for scheduler in schedulers:
        for other in others:
            record = scheduler.placement.health.record(UpstreamName(other.name))
            record.slowness = 30
            record.seconds = 9


async def test_a_broken_stream_resumes_elsewhere_without_a_gap(
    site: Site,
) -> None:
    of_pool(site, 'llm')[0].misbehave(Fault.cut)
    replies = [await site.ask_model('/s/', f'r{number}') for number in range(4)]
    for reply in replies:
        assert reply.code == 200
        ids = [
            line for line in reply.body.decode().split('\n') if line.startswith('id')
        ]
        assert ids == ['id: 1', 'id: 2', 'id: 3', 'id: 4', 'id: 5']


async def test_a_stream_that_may_not_run_again_ends_visibly_broken(site: Site) -> None:
    misbehave(site, 'llm', Fault.cut)
    with pytest.raises(HTTPStreamClosedError):
        await site.ask_model('/once/', 'r1')
    assert run_count(site, 'r1') == 1


async def test_a_connection_with_surplus_bytes_is_not_used_again(site: Site) -> None:
    misbehave(site, 'app', Fault.surplus, 50)
    for number in range(6):
        reply = await site.ask('/u/', f'r{number}')
        assert json.loads(reply.body)['attempt'] == f'r{number}'
    assert sum(worker.connections for worker in of_pool(site, 'app')) == 6


async def test_connections_are_kept_between_requests(site: Site) -> None:
    for number in range(6):
        await site.ask('/u/', f'r{number}')
    assert sum(worker.connections for worker in of_pool(site, 'app')) <= 2


async def disconnect_while_served(site: Site) -> None:
    """Send a request, and close the connection while an upstream serves it."""
    misbehave(site, 'app', Fault.hang, 9)
    host, _, port = site.boxes[0].settings.listen.rpartition(':')
    _, writer = await asyncio.open_connection(host, int(port))
    head = f'GET /u/ HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r1\r\n'
    writer.write(f'{head}Authorization: Token {KEY}\r\n\r\n'.encode())
    async with asyncio.timeout(5):
        while not run_count(site, 'r1'):
            await asyncio.sleep(0.01)
    writer.close()


async def test_work_of_a_caller_who_leaves_is_cancelled(site: Site) -> None:
    await disconnect_while_served(site)
    async with asyncio.timeout(5):
        while not any(worker.left for worker in site.workers):
            await asyncio.sleep(0.01)


async def test_the_log_names_the_upstream_of_a_request_whose_caller_left(
    site: Site,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[dict[str, object]] = []

    def note(event: str, **fields: object) -> None:
        lines.append({'event': event, **fields})

    monkeypatch.setattr(admission.logs, 'info', note)
    await disconnect_while_served(site)
    async with asyncio.timeout(5):
        while not any(line['event'] == 'request' for line in lines):
            await asyncio.sleep(0.01)
    line = next(one for one in lines if one['event'] == 'request')
    worker = next(one for one in site.workers if run_count(site, 'r1') and one.ran)
    assert line['outcome'] == admission.CALLER_DISCONNECTED
    assert (line['upstream'], line['sent']) == (worker.name, 1)


async def test_the_final_answer_comes_when_the_route_has_no_time_left(
    site: Site,
) -> None:
    misbehave(site, 'app', Fault.hang, 9)
    reply = await site.ask('/u/', 'r1', Deadline_Ms='300')
    assert reply.code == 504


async def test_without_any_upstream_the_request_did_not_run(site: Site) -> None:
    changed = document(2)
    changed['services'] = [{'name': 'llm'}, {'name': 'app'}, {'name': 'none'}]
    routes = changed['routes']
    assert isinstance(routes, list)
    routes[2]['service'] = 'none'
    await site.publish(changed)
    await site.settle(2)
    reply = await site.ask('/u/', 'r1')
    assert reply.code == 503
    assert float(reply.headers['Retry-After']) > 0


@pytest.mark.parametrize(('busy', 'status'), [(0.5, 200), (1.0, 503)])
async def test_a_box_without_processor_time_accepts_no_further_request(
    site: Site,
    monkeypatch: pytest.MonkeyPatch,
    busy: float,
    status: int,
) -> None:
    monkeypatch.setattr(admission, 'loop_utilization', lambda: busy)
    reply = await site.ask('/u/', 'r1')
    assert reply.code == status
    assert run_count(site, 'r1') == (status == 200)
    if status == 503:
        assert reply.headers['Retry-After'] == str(OTHER_BOX_RETRY_SECONDS)


async def test_a_shed_request_is_answered_without_being_decoded(
    site: Site,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The cost of a refusal reduces what the box can serve; if all requests of an
    # account reach one box, it reduces the share of that account.
    unread = replace(DIALECT, read_call=fail_on_decode)
    monkeypatch.setattr(site.boxes[0].admission, 'adapter', unread)
    monkeypatch.setattr(admission, 'loop_utilization', lambda: 1.0)
    reply = await site.ask('/u/', 'r1')
    assert reply.code == 503
    assert reply.headers['Attempt-Id'] == 'r1'
    assert not site.boxes[0].admission.tasks


def fail_on_decode(*given: object) -> Call:
    raise AssertionError(f'decoded: {given}')


@pytest.mark.parametrize('path', ['/u/', '/s/'])
async def test_nothing_is_sent_after_the_callers_deadline(
    site: Site,
    path: str,
) -> None:
    # Guards against a lagging box that forwards requests a second after the deadline.
    dispatcher = site.boxes[0].admission.dispatcher
    scheduler = site.hubs[0].placing.scheduler
    choose = dispatcher.chooser.choose

    async def choose_late(context: RequestContext) -> Choice | Refusal:
        choice = await choose(context)
        # Blocks the event loop, so that no timer cancels the request.
        time.sleep(0.3)
        return choice

    dispatcher.chooser.choose = choose_late  # type: ignore[method-assign]
    ask = site.ask_model if path == '/s/' else site.ask
    reply = await ask(path, 'r1', Deadline_Ms='200')
    assert reply.code == 503
    assert not any(
        one.attempt == 'r1' for worker in site.workers for one in worker.seen
    )
    # The scheduler releases the slot as well.
    async with asyncio.timeout(15):
        while scheduler.open:
            await asyncio.sleep(0.01)


async def head_of(site: Site) -> str:
    """Return the head of an answer on a connection that is kept alive by default."""
    host, _, port = site.boxes[0].settings.listen.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = ('POST /u/ HTTP/1.1', f'Host: {HOST}', f'Authorization: Token {KEY}')
    writer.write('\r\n'.join([*lines, 'Content-Length: 0', '', '']).encode())
    head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return head.decode()


@pytest.mark.parametrize(
    ('busy', 'asked'),
    [(0.4, False), (0.6, True), (1.0, True)],
)
async def test_a_busy_box_asks_its_callers_to_go_elsewhere(
    site: Site,
    monkeypatch: pytest.MonkeyPatch,
    busy: float,
    asked: bool,
) -> None:
    # A box that refuses at once always has a free connection, so callers prefer it:
    # one of 24 boxes got half of all requests, and refused most of them.
    monkeypatch.setattr(admission, 'loop_utilization', lambda: busy)
    monkeypatch.setattr(caller, 'loop_utilization', lambda: busy)
    assert ('Connection: close' in await head_of(site)) == asked
