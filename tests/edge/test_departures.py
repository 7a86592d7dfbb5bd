"""An acknowledged departure survives the loss of the hub that acknowledged it.

Guards against departures that are answered from the memory of one hub: with the hub
they were lost, and boxes sent requests to the upstreams for 4.8 s more.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.hub import departures
from hitchdeck_edge.hub.departure_journal import DepartureJournal
from hitchdeck_edge.hub.process import Hub
from hitchdeck_edge.model.upstreams import Phase
from hitchdeck_edge.settings import HubSettings
from hitchdeck_edge.state.registry import Registry
from standins.platform_site import Site, running_site
from standins.ports import free_address
from tests.edge.test_hubs import leader_of, live_hubs_vote, until

DRAIN_SECONDS = 2.0
"""Time after an acknowledged departure in which boxes may still send requests."""

ANSWER_SECONDS = 1.0
"""Time after which an upstream asks another hub."""

ACCEPTED, UNAVAILABLE, NO_ANSWER = '200', '503', '599'


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of three hubs with disks, one without, and two boxes."""
    async with running_site(tmp_path, hubs=3, boxes=2, disks_lost=1) as running:
        await until(lambda: live_hubs_vote(running))
        settings = HubSettings(
            box='hub-without-disk',
            domain='a',
            seeds=running.hubs[0].settings.seeds,
            listen=free_address(),
            control_listen=free_address(),
            directory_listen=free_address(),
            disks_lost=1,
        )
        hub = await running.start_hub(settings)
        await until(lambda: len(hub.known_hubs.durable & hub.known_hubs.reachable) == 3)
        await until(lambda: all(knows_hubs(box, 4) for box in running.boxes))
        yield running


def knows_hubs(box: object, count: int) -> bool:
    """Tell whether a box is connected to so many hubs."""
    return len(box.known_hubs.reachable) == count  # type: ignore[attr-defined]


async def without_disk(site: Site) -> Hub:
    """Choose the hub without a disk."""
    return next(hub for hub in site.hubs if hub.replica is None)


async def follower(site: Site) -> Hub:
    """Choose a hub with a disk that does not lead."""
    leader = await leader_of(site)
    return next(hub for hub in site.hubs if hub.replica and hub is not leader)


async def leave(site: Site, name: str, hub: Hub) -> str:
    """Say that an upstream is gone; return the status, and the reason of a failure."""
    path = f'/api/instances/{name}'
    try:
        reply = await site.call('DELETE', hub.settings.control_listen, path)
    except OSError:
        return NO_ANSWER
    return ACCEPTED if reply.code == 200 else f'{reply.code} {reply.body!r}'


async def drain(site: Site, name: str, hub: Hub) -> str:
    """Report that an upstream drains; return the status, and the reason likewise."""
    worker = next(one for one in site.workers if one.name == name)
    number = site.hubs.index(hub)
    reply = await site.tell(worker, worker.sequence + 1, 'draining', hub=number)
    return ACCEPTED if reply.code == 200 else f'{reply.code} {reply.body!r}'


Depart = Callable[[Site, str, Hub], Awaitable[str]]


def serving_at(registry: Registry, names: list[str]) -> list[str]:
    """Return which of the upstreams would get requests."""
    phases = {
        name: registry.records[UpstreamName(name)].phase
        for name in names
        if UpstreamName(name) in registry.records
    }
    return [name for name, phase in phases.items() if phase is Phase.serving]


def boxes_send_to(site: Site, names: list[str]) -> list[str]:
    """Return which of the upstreams any box would send requests to."""
    return [
        name
        for box in site.boxes
        for name in serving_at(box.link.known.registry, names)
    ]


@pytest.mark.parametrize('depart', [leave, drain])
@pytest.mark.parametrize('choose', [without_disk, follower, leader_of])
async def test_departures_survive_the_hub_that_acknowledged_them(
    site: Site, choose: Callable[[Site], Awaitable[Hub]], depart: Depart
) -> None:
    hub = await choose(site)
    names = ['e2', 'p2']
    for name in names:
        assert await depart(site, name, hub) == ACCEPTED
        # The first one goes out at once; the second one waits for the next frame.
        await asyncio.sleep(0.01 if name == names[0] else 0)
    await site.kill_hub(hub)
    site.workers = [one for one in site.workers if one.name not in names]
    await asyncio.sleep(DRAIN_SECONDS)
    assert boxes_send_to(site, names) == []


async def test_a_departure_survives_the_restart_of_all_hubs_and_boxes(
    site: Site,
) -> None:
    hub = await without_disk(site)
    assert await leave(site, 'p2', hub) == ACCEPTED
    killed = [one.settings for one in site.hubs]
    for running in list(site.hubs):
        await site.kill_hub(running)
    for settings in killed:
        await site.start_hub(replace(settings, may_found=False))
    box = await site.start_box(9)
    await until(lambda: knows_hubs(box, 4))
    await until(lambda: UpstreamName('p2') in box.link.known.registry.records)
    assert serving_at(box.link.known.registry, ['p2']) == []


StoreOnDisk = Callable[[DepartureJournal | None], Awaitable[bool]]


def replace_store(
    monkeypatch: pytest.MonkeyPatch, instead: StoreOnDisk
) -> list[DepartureJournal | None]:
    """Replace how hubs store departures; return the journals of all calls."""
    calls: list[DepartureJournal | None] = []

    async def store(journal: DepartureJournal | None) -> bool:
        calls.append(journal)
        return await instead(journal)

    monkeypatch.setattr(departures, 'store_on_disk', store)
    return calls


@pytest.mark.parametrize(('silent', 'status'), [(1, ACCEPTED), (2, UNAVAILABLE)])
async def test_silent_hubs_do_not_hold_up_the_answer(
    site: Site, silent: int, status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    hub = await without_disk(site)
    frozen = [one.departures.journal for one in site.hubs if one.replica][:silent]
    store = departures.store_on_disk

    async def hang(journal: DepartureJournal | None) -> bool:
        if journal in frozen:
            await asyncio.sleep(60)
        return await store(journal)

    replace_store(monkeypatch, hang)
    async with asyncio.timeout(ANSWER_SECONDS):
        assert (await leave(site, 'p2', hub)).startswith(status)


async def refuse(_journal: DepartureJournal | None) -> bool:
    """Fail as a hub with a full disk."""
    return False


async def know_nothing_of_it(_journal: DepartureJournal | None) -> bool:
    """Fail as a hub of earlier software."""
    raise GRPCError(Status.UNIMPLEMENTED)


@pytest.mark.parametrize(
    ('failure', 'status'), [(refuse, UNAVAILABLE), (know_nothing_of_it, ACCEPTED)]
)
async def test_a_departure_that_is_not_stored_is_accepted_only_by_older_hubs(
    site: Site, failure: StoreOnDisk, status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    hub = await without_disk(site)
    replace_store(monkeypatch, failure)
    assert (await leave(site, 'p2', hub)).startswith(status)


async def test_many_departures_at_once_share_their_calls(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    hub = await without_disk(site)
    calls = replace_store(monkeypatch, departures.store_on_disk)
    names = [f'many-{number}' for number in range(40)]
    async with asyncio.timeout(ANSWER_SECONDS):
        statuses = await asyncio.gather(*(leave(site, one, hub) for one in names))
    assert statuses == [ACCEPTED] * len(names)
    assert len(calls) < len(names)
    await site.kill_hub(hub)
    await until(
        lambda: all(
            UpstreamName(name) in box.link.known.registry.records
            for box in site.boxes
            for name in names
        )
    )


async def test_departures_at_a_hub_that_stops_are_kept_if_they_are_acknowledged(
    site: Site,
) -> None:
    hub = await without_disk(site)
    acknowledged: list[str] = []

    async def depart_often() -> None:
        for number in range(200):
            name = f'late-{number}'
            if await leave(site, name, hub) == ACCEPTED:
                acknowledged.append(name)
            await asyncio.sleep(0.003)

    departing = asyncio.create_task(depart_often())
    await asyncio.sleep(0.3)
    await site.kill_hub(hub)
    await departing
    assert acknowledged
    await asyncio.sleep(DRAIN_SECONDS)
    for box in site.boxes:
        known = box.link.known.registry.records
        assert [one for one in acknowledged if UpstreamName(one) not in known] == []


async def test_repeated_reports_of_a_drain_are_stored_once(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    hub = await without_disk(site)
    calls = replace_store(monkeypatch, departures.store_on_disk)
    for _ in range(3):
        assert await drain(site, 'p2', hub) == ACCEPTED
    assert 0 < len(calls) <= 3
    # A drain that was cancelled, and then began again, is a new one.
    worker = next(one for one in site.workers if one.name == 'p2')
    await site.tell(worker, worker.sequence + 1, 'ready', hub=site.hubs.index(hub))
    calls.clear()
    assert await drain(site, 'p2', hub) == ACCEPTED
    assert calls


@pytest.mark.parametrize('hub', [0, 1, 3])
async def test_a_late_report_does_not_undo_a_departure_at_any_hub(
    site: Site, hub: int
) -> None:
    worker = next(one for one in site.workers if one.name == 'p2')
    assert await leave(site, 'p2', await without_disk(site)) == ACCEPTED
    await site.tell(worker, 1, 'ready', hub=hub)
    await site.kill_hub(await without_disk(site))
    await until(lambda: boxes_send_to(site, ['p2']) == [])
    await asyncio.sleep(0.5)
    assert boxes_send_to(site, ['p2']) == []


async def test_a_hub_that_starts_after_a_departure_learns_of_it(site: Site) -> None:
    hub = await without_disk(site)
    assert await leave(site, 'p2', hub) == ACCEPTED
    settings = hub.settings
    await site.kill_hub(hub)
    started = await site.start_hub(settings)
    await until(lambda: UpstreamName('p2') in started.state.registry.records)
    await until(lambda: serving_at(started.state.registry, ['p2']) == [])
