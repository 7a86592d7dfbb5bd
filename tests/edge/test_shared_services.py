"""Boxes that share what they observe of plain services through the scheduler."""

import asyncio
import gc
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import pytest

from hitchdeck_core.channels import require_fleet_token, serve
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, UpstreamName
from hitchdeck_edge.dispatch import connections
from hitchdeck_edge.dispatch.attempts import ActiveRequest
from hitchdeck_edge.dispatch.dispatcher import Dispatcher
from hitchdeck_edge.dispatch.upstream_connection import Connection
from hitchdeck_edge.hub.placing import (
    QUIET_SECONDS,
    FleetSize,
    PlacingService,
)
from hitchdeck_edge.links.outbox import Outbox
from hitchdeck_edge.links.placing import PlacingLink
from hitchdeck_edge.links.service_exchange import ServiceExchange
from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.process import EntryBox
from hitchdeck_edge.scheduling.service_calls import CallEnd, ServiceCalls
from hitchdeck_edge.scheduling.service_health import (
    ServiceReport,
    ServiceState,
)
from hitchdeck_edge.scheduling.service_view import ServiceView
from standins.platform_site import HOST, KEY, Site, running_site
from standins.platform_worker import Worker
from standins.ports import free_address
from standins.worker_faults import Fault
from tests.common.scheduling import FakeClock, engine, scheduler_of, wanted
from tests.edge.test_scheduler_link import reached, running_link
from tests.edge.test_service_health import always, never

NAME = UpstreamName('e0')


class CountingView(ServiceView):
    """Counts the frames that arrive."""

    def __init__(self) -> None:
        super().__init__(boot_seconds)
        self.frames = 0

    def update(self, states: Iterable[ServiceState]) -> None:
        """Count the frame, and apply it."""
        self.frames += 1
        super().update(states)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(15):
        while not condition():
            await asyncio.sleep(0.005)


@asynccontextmanager
async def hub_of(service: PlacingService) -> AsyncIterator[Address]:
    address = free_address()
    server = await serve([service], address, require_fleet_token('token'))
    try:
        yield address
    finally:
        server.close()


def new_service(clock: FakeClock, *, shares: bool) -> PlacingService:
    scheduler = scheduler_of(clock, 1)
    service = PlacingService(scheduler, FleetSize(lambda: 1, scheduler.now))
    if shares:
        service.share_services()
    return service


def share(link: PlacingLink, view: ServiceView | None = None) -> ServiceExchange:
    """Let a box share what it observes."""
    calls = ServiceCalls(boot_seconds)
    exchange = ServiceExchange(calls, view or ServiceView(boot_seconds))
    exchange.calls.send_now = link.outbox.make_due
    link.services = exchange
    return exchange


def lose_call(exchange: ServiceExchange) -> None:
    exchange.calls.end(exchange.calls.begin(NAME), CallEnd.lost)


async def test_two_lost_calls_are_known_to_every_box_by_one_frame() -> None:
    # Guards against each box losing a call of its own to an upstream that crashed.
    clock = FakeClock()
    service = new_service(clock, shares=True)
    async with AsyncExitStack() as stack:
        hub = await stack.enter_async_context(hub_of(service))
        links = [await stack.enter_async_context(running_link(hub)) for _ in range(4)]
        views = [CountingView() for _ in links]
        exchanges = [share(link, view) for link, view in zip(links, views, strict=True)]
        for link in links:
            await reached(link, connected=True)
        await until(lambda: service.connected == len(links))
        lose_call(exchanges[0])
        lose_call(exchanges[1])
        await until(lambda: all(view.is_silent(NAME) for view in views))
        assert [view.frames for view in views[2:]] == [1, 1]
        clock.seconds += 1
        exchanges[0].calls.end(exchanges[0].calls.begin(NAME), CallEnd.succeeded)
        exchanges[0].calls.send_now()
        await until(lambda: not views[0].silent_since)
        assert not service.silent_services()
        # The others learn of it with the next frame that they get anyway.
        assert views[2].silent_since
        links[2].registry.merge(engine('e0'), 'test')
        assert isinstance(await links[2].place(wanted()), Choice)
        assert not views[2].silent_since
        assert views[2].frames == 2


async def test_a_box_with_queries_gets_no_frames_of_their_own() -> None:
    # Guards against a frame to each of 80 boxes for each of their reports.
    clock = FakeClock()
    service = new_service(clock, shares=True)
    view = CountingView()
    async with hub_of(service) as hub, running_link(hub) as link:
        exchange = share(link, view)
        link.registry.merge(engine('e0'), 'test')
        await reached(link, connected=True)
        assert isinstance(await link.place(wanted()), Choice)
        assert service.services is not None
        for _ in range(5):
            service.services.apply('other', ServiceReport(NAME, 9))
            exchange.calls.begin(NAME)
            exchange.calls.send_now()
            await until(lambda: not exchange.calls.records[NAME].changed)
        clock.seconds += QUIET_SECONDS
        exchange.calls.begin(NAME)
        exchange.calls.send_now()
        await until(lambda: bool(view.states))
        # One answer to the query, and one after it was quiet for long enough.
        assert view.frames == 2


def test_nothing_new_is_no_frame() -> None:
    exchange = ServiceExchange(ServiceCalls(FakeClock()), ServiceView(FakeClock()))
    outbox = Outbox()
    for sends in (False, True, False):
        if sends:
            exchange.calls.begin(NAME)
        exchange.add_reports(outbox.frame)
        assert (outbox.take() is not None) == sends


@pytest.mark.parametrize(
    ('how', 'at_once'),
    [
        (CallEnd.succeeded, False),
        (CallEnd.refused, False),
        (CallEnd.abandoned, False),
        (CallEnd.lost, True),
    ],
)
def test_only_a_lost_call_causes_a_frame(how: CallEnd, *, at_once: bool) -> None:
    # Guards against two frames more for each of 100 calls a second.
    outbox = Outbox()
    calls = ServiceCalls(FakeClock())
    calls.send_now = outbox.make_due
    calls.end(calls.begin(NAME), how)
    assert outbox.due == at_once


@pytest.mark.parametrize(('hub_shares', 'box_shares'), [(True, False), (False, True)])
async def test_a_process_that_shares_works_beside_one_that_does_not(
    *, hub_shares: bool, box_shares: bool
) -> None:
    service = new_service(FakeClock(), shares=hub_shares)
    async with hub_of(service) as hub, running_link(hub) as link:
        exchange = share(link) if box_shares else None
        link.registry.merge(engine('e0'), 'test')
        await reached(link, connected=True)
        if exchange is not None:
            lose_call(exchange)
        assert isinstance(await link.place(wanted()), Choice)
        assert exchange is None or not exchange.view.states
        if service.services is not None:
            assert not service.services.records


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    async with running_site(tmp_path, boxes=3, shares_services=True) as running:
        yield running


async def call(site: Site, box: EntryBox, path: str, attempt: str) -> int:
    """Send a call to a box; return its status."""
    headers = {
        'Host': HOST,
        'Attempt_Id': attempt,
        'Deadline_Ms': '1500',
        'Authorization': f'Token {KEY}',
    }
    listen = box.settings.listen
    reply = await site.call('POST', listen, path, 'body', **headers)
    return reply.code


async def lose_calls(site: Site, worker: Worker, path: str) -> list[int]:
    """Send calls to two boxes, until the upstream that hangs has one of each."""
    tasks: list[asyncio.Task[int]] = []
    for number, box in enumerate(site.boxes[:2]):
        before = len(worker.ran)
        while len(worker.ran) == before:
            name = f'{number}-{len(tasks)}'
            tasks.append(asyncio.create_task(call(site, box, path, name)))
            await asyncio.sleep(0.02)
    return await asyncio.gather(*tasks)


def view_of(box: EntryBox) -> ServiceView:
    exchange = box.admission.dispatcher.chooser.link.services
    assert exchange is not None
    return exchange.view


async def test_a_box_avoids_the_silent_service_of_others_and_tries_it_again(
    site: Site,
) -> None:
    worker = next(one for one in site.workers if one.name == 'p1')
    name = UpstreamName(worker.life)
    worker.misbehave(Fault.hang, 100)
    view = view_of(site.boxes[2])
    lost = asyncio.create_task(lose_calls(site, worker, '/u/'))
    await until(lambda: view.is_silent(name))
    ran = len(worker.ran)
    view.draw = never
    statuses = [await call(site, site.boxes[2], '/u/', f'c{one}') for one in range(9)]
    assert statuses == [200] * 9
    assert len(worker.ran) == ran
    assert view.avoided == 9
    assert 504 in await lost
    # Calls that must not repeat were sent once, those that were lost too.
    runs = Counter(one for each in site.workers for one in each.ran)
    assert set(runs.values()) == {1}
    worker.faults_left = 0
    view.draw = always
    table = site.hubs[0].placing.services
    assert table is not None
    async with asyncio.timeout(15):
        while table.silent:
            assert await call(site, site.boxes[2], '/g/', 'again') == 200
    assert not view.is_silent(name)


class Second(NamedTuple):
    """A call whose first upstream is silent, and what becomes of it."""

    path: str
    status: int
    sent: int
    prepare: Callable[[Dispatcher], None] = id


def no_budget(dispatcher: Dispatcher) -> None:
    dispatcher.budget.share = 0
    dispatcher.budget.extra = 0


def no_other(dispatcher: Dispatcher) -> None:
    dispatcher.sender.placement.health.record_crash(UpstreamName('p2'))


def slow_other(dispatcher: Dispatcher) -> None:
    dispatcher.sender.placement.health.record(UpstreamName('p2')).seconds = 1


def mechanism_off(dispatcher: Dispatcher) -> None:
    dispatcher.chooser.local.mechanisms = Mechanisms(second_attempts=False)


@pytest.mark.parametrize(
    'case',
    [
        Second('/g/', 200, 2),
        # It must not repeat.
        Second('/u/', 504, 1),
        Second('/g/', 504, 1, no_budget),
        # The first response may still come, and no other would come in time.
        Second('/g/', 504, 1, no_other),
        Second('/g/', 504, 1, slow_other),
        Second('/g/', 504, 1, mechanism_off),
    ],
)
async def test_a_call_that_may_repeat_gets_a_second_attempt_in_time(
    site: Site, case: Second
) -> None:
    box = site.boxes[0]
    dispatcher = box.admission.dispatcher
    case.prepare(dispatcher)
    silent, other = (one for one in site.workers if one.pool == 'app')
    dispatcher.sender.placement.health.record(UpstreamName('p2')).failure_rate = 1
    silent.misbehave(Fault.hang, 9)
    assert await call(site, box, case.path, 'r') == case.status
    assert silent.ran == ['r']
    assert len(other.ran) == case.sent - 1
    assert dispatcher.second_attempts == case.sent - 1


@pytest.mark.parametrize('path', ['/g/', '/u/'])
async def test_a_call_that_cannot_connect_goes_elsewhere_in_time(
    site: Site, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    # Guards against waiting for a connection to a lost host beyond the goal of a call.
    box = site.boxes[0]
    lost, other = (one for one in site.workers if one.pool == 'app')
    health = box.admission.dispatcher.sender.placement.health
    health.record(UpstreamName('p2')).failure_rate = 1
    open_connection = connections.connect

    async def connect(address: Address) -> Connection:
        if address == lost.address:
            await asyncio.sleep(60)
        return await open_connection(address)

    monkeypatch.setattr(connections, 'connect', connect)
    assert await call(site, box, path, 'r') == 200
    assert other.ran == ['r']
    assert health.is_ejected(UpstreamName('p1'))


@pytest.mark.parametrize(('waits', 'status'), [(True, 503), (False, 200)])
async def test_a_call_that_would_be_late_is_not_sent(
    site: Site, *, waits: bool, status: int
) -> None:
    box = site.boxes[0]
    workers = [one for one in site.workers if one.pool == 'app']
    full = [ServiceState(UpstreamName(one.life), 40, 1) for one in workers]
    view_of(box).update(full)
    mechanisms = Mechanisms(service_waits=waits)
    box.admission.dispatcher.chooser.local.mechanisms = mechanisms
    assert await call(site, box, '/u/', 'r') == status
    assert any(one.ran for one in workers) == (not waits)


@pytest.mark.parametrize('shares', [True, False])
async def test_a_box_ejects_the_service_that_broke_its_call(
    tmp_path: Path, *, shares: bool
) -> None:
    # Guards against sending on to a crashed upstream where no other box lost a call.
    async with running_site(tmp_path, shares_services=shares) as running:
        for worker in running.workers:
            worker.misbehave(Fault.reset, 1)
        box = running.boxes[0]
        assert await call(running, box, '/u/', 'r') == 502
        ran = [one.life for one in running.workers if one.ran]
        health = box.admission.dispatcher.sender.placement.health
        assert health.ejected() == set(ran)
        assert [health.record(UpstreamName(one)).failures for one in ran] == [1]


async def test_a_served_request_is_released_at_once(site: Site) -> None:
    # Guards against bodies that stay in memory until cycles are collected.
    gc.collect()
    gc.disable()
    try:
        assert await call(site, site.boxes[0], '/g/', 'r') == 200
        await until(lambda: not site.boxes[0].admission.tasks)
        kept = [one for one in gc.get_objects() if isinstance(one, ActiveRequest)]
    finally:
        gc.enable()
    assert not kept
