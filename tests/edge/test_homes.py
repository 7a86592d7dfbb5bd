"""Requests with home areas are served in these areas only."""

import json
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

import pytest

from hitchdeck_core.ids import AccountName, Address, BoxName
from hitchdeck_edge.hub.directory import ReadyEntry, entries_in_areas
from hitchdeck_edge.links.placing_messages import decode_wanted, encode_wanted
from hitchdeck_edge.model.document import ClientAccount, common_areas
from hitchdeck_edge.state.routing import RoutingTable
from hitchdeck_platform.documents import read_document
from standins.platform_site import HOST, KEY, Site, document, route, running_site
from standins.worker_faults import Fault
from tests.common.scheduling import FakeClock, engine, scheduler_of, wanted

AREAS = {'a': 'north', 'b': 'south', 'c': 'east'}


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site whose first workers are in the north, and the others elsewhere."""
    async with running_site(tmp_path, hubs=1, boxes=1, areas=AREAS) as running:
        for number, domain in enumerate('bc'):
            await running.start_worker(f'e{domain}{number}', 'llm', domain=domain)
            await running.start_worker(f'p{domain}{number}', 'app', domain=domain)
        await running.settle()
        yield running


def ran_in(site: Site, domain: str) -> int:
    return sum(len(one.ran) for one in site.workers if one.domain == domain)


def with_homes(version: int, homes: list[str]) -> dict[str, object]:
    """Return a document whose routes have these home areas."""
    routes = [
        route(
            's', '/s/', 'stream', service='llm', resumable=True, allowedRegions=homes
        ),
        route('u', '/u/', 'non_idempotent', service='app', allowedRegions=homes),
    ]
    return document(version, routes=routes)


@pytest.mark.parametrize(('area', 'domain'), [('north', 'a'), ('south', 'b')])
async def test_requests_reach_workers_of_the_route_s_home_only(
    site: Site, area: str, domain: str
) -> None:
    assert (await site.publish(with_homes(2, [area]))).code == 200
    await site.settle(2)
    for number in range(8):
        assert (await site.ask_model('/s/x', f's{number}')).code == 200
        assert (await site.ask('/u/x', f'u{number}')).code == 200
    assert ran_in(site, domain) == 16
    assert sum(len(one.ran) for one in site.workers) == 16


@pytest.mark.parametrize(
    ('route_homes', 'account_homes'),
    [(['west'], []), (['north'], ['south']), ([], ['west'])],
)
async def test_a_request_is_refused_at_once_where_nobody_may_serve_it(
    site: Site, route_homes: list[str], account_homes: list[str]
) -> None:
    given = with_homes(2, route_homes)
    given['tenants'] = [
        {'name': 'ann', 'apiKeys': [KEY], 'allowedRegions': account_homes}
    ]
    assert (await site.publish(given)).code == 200
    await site.settle(2)
    for path in ('/s/x', '/u/x'):
        reply = await site.ask_model(path, f'r{path}')
        assert reply.code == 503
    assert not any(one.ran for one in site.workers)


async def test_a_broken_stream_resumes_in_the_same_area(site: Site) -> None:
    await site.start_worker('eb9', 'llm', domain='b')
    assert (await site.publish(with_homes(2, ['south']))).code == 200
    await site.settle(2)
    engines = [one for one in site.workers if (one.domain, one.pool) == ('b', 'llm')]
    engines[0].misbehave(Fault.cut)
    for number in range(8):
        assert (await site.ask_model('/s/x', f'cut{number}')).code == 200
    assert not engines[0].faults_left
    assert not ran_in(site, 'a') + ran_in(site, 'c')


@pytest.mark.parametrize(
    ('route_homes', 'account_homes', 'common'),
    [
        ('', '', ''),
        ('north', '', 'north'),
        ('', 'south', 'south'),
        ('north south', 'south east', 'south'),
        ('north', 'south', None),
    ],
)
def test_homes_of_route_and_account_both_apply(
    route_homes: str, account_homes: str, common: str | None
) -> None:
    text = '{"version": 1, "routes": [%s], "services": [{"name": "app"}]}'
    routes = (
        '{"name": "r", "host": "h", "pathPrefix": "/", "routeType": "idempotent",'
        '"timeoutMs": 9, "service": "app"}'
    )
    known = read_document((text % routes).encode()).routes[0]
    known = replace(known, allowed_areas=frozenset(route_homes.split()))
    account = ClientAccount(
        name=AccountName('ann'),
        keys=(),
        priority=None,
        allowed_areas=frozenset(account_homes.split()),
    )
    expected = None if common is None else frozenset(common.split())
    assert common_areas(known, account) == expected


def test_areas_are_sent_to_the_scheduler_and_apply_there() -> None:
    scheduler = scheduler_of(FakeClock(), 2)
    scheduler.placement.areas = AREAS
    registry = scheduler.placement.registry
    registry.merge(replace(engine('south'), domain='b'), 'test')
    asked = replace(wanted(), areas=frozenset(('south',)))
    decoded = decode_wanted(encode_wanted(1, asked), 'a', 8)
    assert decoded.areas == {'south'}
    names = {one.name for one in scheduler.placement.candidates(decoded)}
    assert names == {'south'}


def entries(domains: str) -> list[ReadyEntry]:
    return [
        ReadyEntry(
            Address(f'{one}:1'), BoxName(one), one, shares_machine_with_hub=False
        )
        for one in domains
    ]


@pytest.mark.parametrize(
    ('homes', 'ready', 'named'),
    [
        ('', 'abc', 'abc'),
        ('south', 'abc', 'ab'),
        ('north', 'abc', 'a'),
        ('east south', 'abc', 'abc'),
        ('north', 'bc', 'bc'),
    ],
)
def test_the_directory_names_boxes_of_the_caller_s_area_or_a_home(
    homes: str, ready: str, named: str
) -> None:
    known = entries_in_areas(entries(ready), 'a', frozenset(homes.split()), AREAS)
    assert ''.join(entry.domain for entry in known) == named


def test_the_homes_of_a_host_are_those_of_its_routes() -> None:
    text = json.dumps(with_homes(2, ['north', 'east'])).encode()
    table = RoutingTable(read_document(text))
    assert table.allowed_areas(HOST) == {'north', 'east'}
    assert not table.allowed_areas('other')
