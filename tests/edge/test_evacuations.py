"""Evacuation orders are accepted, stored, and obeyed by every box."""

import asyncio
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_core.ids import Address, PoolName, UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import (
    Document,
    EvacuationList,
    EvacuationOrder,
    GroupEntry,
)
from hitchdeck_edge.hub.state_machine import GroupStateMachine, pack_document
from hitchdeck_edge.model.document import DocumentVersion
from hitchdeck_edge.model.evacuations import evacuated_domains
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.state.evacuations import Evacuations
from hitchdeck_edge.state.registry import Registry
from standins.platform_site import Site, running_site
from tests.common.scheduling import POOL, FakeClock

AREAS = {'a': 'north', 'b': 'north'}
DOMAINS = ('a', 'b', 'c')
WAIT_SECONDS = 15.0


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of three hubs whose engines are in domain a."""
    async with running_site(
        tmp_path, hubs=3, boxes=2, disks_lost=1, areas=AREAS
    ) as running:
        yield running


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


async def order(site: Site, domain: str, hub: int, *, active: bool) -> None:
    """Retry an order until it is accepted, as operators do."""
    async with asyncio.timeout(WAIT_SECONDS):
        while (await site.evacuate(domain, hub, active=active)).code != 200:
            await asyncio.sleep(0.05)


def closed_everywhere(site: Site, domains: set[str]) -> Callable[[], bool]:
    def check() -> bool:
        registries = [box.link.known.registry for box in site.boxes]
        registries += [hub.state.registry for hub in site.hubs]
        return all(one.closed_domains == domains for one in registries)

    return check


async def test_any_hub_accepts_an_order_and_no_request_goes_there(site: Site) -> None:
    spare = await site.start_worker('e3', 'llm', domain='b')
    await site.settle()
    await order(site, 'a', 2, active=True)
    await until(closed_everywhere(site, {'a'}))
    for number in range(6):
        reply = await site.ask_model('/once/x', f'r{number}')
        assert reply.code == 200
    assert len(spare.ran) == 6
    await order(site, 'a', 0, active=False)
    await until(closed_everywhere(site, set()))


async def test_a_request_is_refused_where_every_domain_is_evacuated(
    site: Site,
) -> None:
    await order(site, 'a', 1, active=True)
    await until(closed_everywhere(site, {'a'}))
    for path in ('/once/x', '/u/x', '/g/x'):
        reply = await site.ask_model(path, f'r{path}')
        assert reply.code == 503
    assert not any(worker.ran for worker in site.workers)
    # The refusal is due to the missing upstream, not to the deadline.
    outcomes = site.boxes[0].admission.metrics.outcomes
    assert outcomes == {'no_upstream': 3}


async def test_accepted_orders_survive_the_loss_of_the_leader_and_its_disk(
    site: Site,
) -> None:
    await order(site, 'a', 0, active=True)
    leader = next(one for one in site.hubs if one.replica and one.replica.is_leader())
    await site.kill_hub(leader)
    await until(lambda: any(one.replica.has_lease() for one in site.hubs))
    await until(closed_everywhere(site, {'a'}))
    # Only the leader's hub is certain to know what was committed.
    await order(site, 'b', 0, active=True)
    await until(closed_everywhere(site, {'a', 'b'}))


async def test_orders_are_in_force_after_all_hubs_have_restarted(site: Site) -> None:
    await order(site, 'b', 0, active=True)
    await until(closed_everywhere(site, {'b'}))
    settings = [hub.settings for hub in site.hubs]
    for hub in list(site.hubs):
        await site.kill_hub(hub)
    for one in settings:
        await site.start_hub(one)
    assert closed_everywhere(site, {'b'})()
    await until(lambda: any(one.replica.has_lease() for one in site.hubs))
    await order(site, 'b', 1, active=False)
    await until(closed_everywhere(site, set()))


class InvalidCall(NamedTuple):
    """An invalid call and the status of its answer."""

    method: str
    path: str
    body: str | None
    status: int


@pytest.mark.parametrize(
    'invalid',
    [
        InvalidCall('POST', '/api/evacuations/nowhere', None, 404),
        InvalidCall('DELETE', '/api/evacuations/nowhere', None, 404),
        InvalidCall('POST', '/api/evacuations/a', '{"active": true}', 400),
        InvalidCall('PUT', '/api/evacuations/a', None, 405),
        InvalidCall('GET', '/api/evacuations/a', None, 405),
        InvalidCall('POST', '/api/evacuations/', None, 404),
    ],
)
async def test_a_call_that_makes_no_sense_is_refused_and_changes_nothing(
    site: Site, invalid: InvalidCall
) -> None:
    control = site.hubs[0].settings.control_listen
    reply = await site.call(invalid.method, control, invalid.path, invalid.body)
    assert reply.code == invalid.status
    assert not site.hubs[0].state.evacuations.edition


def state_machine(lists: list[EvacuationList]) -> GroupStateMachine:
    return GroupStateMachine(lambda _version, _body: None, lists.append)


def encode_order(domain: str, *, active: bool, seen: int) -> bytes:
    message = EvacuationOrder(domain=domain, active=active, seen_edition=seen)
    return GroupEntry(order=message).SerializeToString()


def test_a_delayed_repeat_does_not_undo_a_later_order() -> None:
    lists: list[EvacuationList] = []
    machine = state_machine(lists)
    assert machine.apply(encode_order('a', active=True, seen=0))
    assert machine.apply(encode_order('a', active=False, seen=1))
    assert not machine.apply(encode_order('a', active=True, seen=0))
    assert not evacuated_domains(machine.orders)
    assert machine.apply(encode_order('a', active=True, seen=2))
    assert evacuated_domains(machine.orders) == {'a'}
    assert [one.edition for one in lists] == [1, 2, 3]


def test_entries_of_documents_that_earlier_versions_wrote_are_read() -> None:
    taken: list[int] = []
    machine = GroupStateMachine(lambda version, _body: taken.append(version), print)
    machine.apply(pack_document(DocumentVersion(7), b'{}').SerializeToString())
    machine.load(Document(version=9, body=b'x').SerializeToString())
    assert taken == [7, 9]


Step = tuple[str, bool, int]
"""Domain, whether to evacuate it, and how many editions the issuing hub lags behind."""


@given(
    steps=st.lists(
        st.tuples(st.sampled_from(DOMAINS), st.booleans(), st.integers(0, 3)),
        max_size=30,
    ),
    restored_at=st.integers(0, 30),
)
def test_accepted_orders_hold_until_a_later_one_in_any_interleaving(
    steps: list[Step], restored_at: int
) -> None:
    machine = state_machine([])
    model: dict[str, bool] = {}
    changed_at: dict[str, int] = {}
    for number, (domain, active, lag) in enumerate(steps):
        if number == restored_at:
            dumped, machine = machine.dump(), state_machine([])
            machine.load(dumped)
        seen = max(0, machine.edition - lag)
        accepted = machine.apply(encode_order(domain, active=active, seen=seen))
        stale = changed_at.get(domain, 0) > seen
        assert accepted == (model.get(domain, False) == active or not stale)
        if accepted and model.get(domain, False) != active:
            model[domain] = active
            changed_at[domain] = machine.edition
        expected = {name for name, closed in model.items() if closed}
        assert evacuated_domains(machine.orders) == expected


@given(order=st.permutations(range(6)))
def test_processes_agree_whatever_order_editions_arrive_in(order: list[int]) -> None:
    lists: list[EvacuationList] = []
    machine = state_machine(lists)
    for number in range(6):
        domain = DOMAINS[number % 2]
        active = number % 4 < 2
        machine.apply(encode_order(domain, active=active, seen=machine.edition))
    closed: list[frozenset[str]] = []
    evacuations = Evacuations(closed.append, Signal())
    for number in order:
        if number < len(lists):
            evacuations.offer(lists[number], 'test')
    assert evacuations.edition == machine.edition
    assert closed[-1] == evacuated_domains(machine.orders)


def upstream(name: str, domain: str) -> Upstream:
    return Upstream(
        UpstreamName(name), POOL, Address(f'{name}:1'), domain, 8, Phase.serving, 1
    )


def test_a_closed_domain_serves_nothing_until_it_is_reopened() -> None:
    registry = Registry(FakeClock(), Signal())
    for name, domain in (('e0', 'a'), ('e1', 'b')):
        registry.merge(upstream(name, domain), 'test')
    assert not registry.close_domains(frozenset('a'))
    assert [one.name for one in registry.serving(POOL)] == ['e1']
    registry.merge(upstream('e2', 'a'), 'test')
    assert [one.name for one in registry.serving(POOL)] == ['e1']
    reopened = registry.close_domains(frozenset())
    assert {one.name for one in reopened} == {'e0', 'e2'}
    assert len(registry.serving(PoolName('llm'))) == 3
