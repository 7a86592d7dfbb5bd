"""Hubs form a group by themselves and replicate documents and upstreams."""

import asyncio
import json
import shutil
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, ClassVar

import pytest

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, PoolName, UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Hello, HubFrame
from hitchdeck_edge.hub.connected_boxes import ConnectedBox, ConnectedBoxes
from hitchdeck_edge.hub.process import Hub
from hitchdeck_edge.hub.spread import FRAME_INTERVAL_SECONDS
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.settings import HubSettings
from hitchdeck_edge.state.registry import Registry
from standins.platform_site import (
    Site,
    document,
    running_site,
    until_taken,
)
from standins.ports import free_address
from tests.common.scheduling import FakeClock

WAIT_SECONDS = 15.0


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of three hubs that tolerates the loss of one disk."""
    async with running_site(tmp_path, hubs=3, boxes=2, disks_lost=1) as running:
        yield running


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


async def leader_of(site: Site) -> Hub:
    """Wait for a leader; on a loaded machine there may be none at the moment."""

    def leaders() -> list[Hub]:
        return [hub for hub in site.hubs if hub.replica and hub.replica.has_lease()]

    await until(lambda: bool(leaders()))
    return leaders()[0]


def has_voters(site: Site, count: int) -> Callable[[], bool]:
    def check() -> bool:
        leaders = [one for one in site.hubs if one.replica and one.replica.has_lease()]
        return any(
            one.replica is not None and len(one.replica.voters()) == count
            for one in leaders
        )

    return check


def live_hubs_vote(site: Site) -> bool:
    """Tell whether the voters are the running hubs, under their current ids."""
    replicas = [hub.replica for hub in site.hubs if hub.replica is not None]
    present = {replica.identity.replica for replica in replicas}
    return any(
        replica.has_lease() and {one.replica for one in replica.voters()} == present
        for replica in replicas
    )


async def test_three_hubs_form_one_group_of_three_voters(site: Site) -> None:
    await until(has_voters(site, 3))
    founders = [hub for hub in site.hubs if hub.replica and hub.replica.is_leader()]
    assert len(founders) == 1


async def test_any_hub_accepts_a_document_and_all_read_it_back(site: Site) -> None:
    for hub in range(3):
        reply = await site.publish(document(hub + 5), hub)
        assert reply.code == 200
        for asked in range(3):
            assert await site.read_surely(asked) == document(hub + 5)


@pytest.mark.parametrize(
    'spoil',
    [
        lambda given: given[:-1],
        lambda given: given.replace('"service": "llm"', '"service": "who"'),
        lambda given: given.replace('"timeoutMs": 3000', '"timeoutMs": 0'),
        lambda given: given.replace('"/u/"', '"/s/"'),
        lambda given: given.replace('"version": 9', '"version": true'),
        lambda given: given.replace(
            '"apiKeys": ["key', '"apiKeys": ["key-of-ann", "key'
        ),
        lambda given: '[]',
        lambda given: '',
    ],
    ids=[
        'cut-short',
        'unknown-pool',
        'no-time',
        'same-place',
        'version-type',
        'shared-key',
        'list',
        'empty',
    ],
)
async def test_an_invalid_document_is_refused_and_changes_nothing(
    site: Site,
    spoil: Callable[[str], str],
) -> None:
    reply = await site.publish(spoil(json.dumps(document(9))))
    assert reply.code == 400
    assert await site.read_surely() == document(1)


async def test_the_first_content_under_a_version_is_kept(site: Site) -> None:
    other = document(7, limits={'tokensPerS': 5})
    first, second = await asyncio.gather(
        site.publish(document(7), 0),
        site.publish(other, 1),
    )
    assert {first.code, second.code} == {200}
    read = await site.read_surely(2)
    assert read in (document(7), other)
    # Later content under this or an older version changes nothing.
    for version in (7, 3):
        assert (await site.publish(document(version, limits={}), 2)).code == 200
        assert await site.read_surely(0) == read


async def test_a_document_survives_the_loss_of_the_leader_and_its_disk(
    site: Site,
) -> None:
    await until_taken(site, document(8))
    leader = await leader_of(site)
    settings = leader.settings
    await site.kill_hub(leader)
    shutil.rmtree(str(settings.data_folder))
    again = replace(settings, may_found=False)
    await site.start_hub(again)
    await until(lambda: live_hubs_vote(site))
    assert await site.read_surely() == document(8)
    # The group also tolerates a second loss right after the repair.
    await site.kill_hub(await leader_of(site))
    await until_taken(site, document(9))
    assert await site.read_surely() == document(9)


async def test_a_hub_at_another_address_replaces_a_lost_one(
    site: Site,
    tmp_path: Path,
) -> None:
    leader = await leader_of(site)
    lost = next(hub for hub in site.hubs if hub is not leader)
    await site.kill_hub(lost)
    await site.start_hub(
        HubSettings(
            box='hub-new',
            domain='a',
            seeds=lost.settings.seeds,
            listen=free_address(),
            control_listen=free_address(),
            directory_listen=free_address(),
            data_folder=tmp_path / 'hub-new',
            disks_lost=1,
        ),
    )

    await until(lambda: live_hubs_vote(site))
    assert (await site.publish(document(6))).code == 200


async def test_without_a_majority_writes_and_consistent_reads_fail(
    site: Site,
) -> None:
    await until(has_voters(site, 3))
    for hub in site.hubs[1:]:
        await site.kill_hub(hub)
    assert (await site.publish(document(4))).code == 503
    assert (await site.read()).code == 503
    assert (await site.ask('/u/', 'r1')).code == 200


async def test_a_lone_founder_accepts_nothing(tmp_path: Path) -> None:
    site = Site(tmp_path)
    try:
        await site.start_hubs(1, disks_lost=1)
        await asyncio.sleep(1.5)
        assert (await site.publish(document(1))).code == 503
    finally:
        await site.stop()


async def test_a_departure_reported_to_any_hub_reaches_all_boxes(site: Site) -> None:
    for number, worker in enumerate(site.workers[:3]):
        await site.tell(worker, 2, 'draining', hub=number)

    def all_know() -> bool:
        return all(
            sum(
                one.phase is Phase.leaving
                for one in box.link.known.registry.records.values()
            )
            == 3
            for box in site.boxes
        )

    await until(all_know)
    # A delayed earlier report does not reactivate it.
    await site.tell(site.workers[0], 1, hub=1)
    await asyncio.sleep(0.3)
    assert all_know()


async def test_a_restarted_hub_learns_upstreams_from_the_others(site: Site) -> None:
    settings = site.hubs[2].settings
    await site.kill_hub(site.hubs[2])
    hub = await site.start_hub(settings)
    await until(lambda: len(hub.state.registry.records) == 4)


async def test_the_directory_lists_the_ready_boxes(site: Site) -> None:
    hub = site.hubs[0]

    async def listed() -> list[str]:
        path = '/api/resolve?name=x&zone=a&region=r'
        reply = await site.call('GET', hub.settings.directory_listen, path)
        return list(json.loads(reply.body)['addresses']) if reply.code == 200 else []

    async with asyncio.timeout(WAIT_SECONDS):
        while len(await listed()) < 2:
            await asyncio.sleep(0.05)
        site.boxes[0].link.announce(ready=False)
        while await listed() != [site.boxes[1].settings.listen]:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('hub_first', [True, False])
def test_a_hub_and_an_entry_box_may_share_a_machine(hub_first: bool) -> None:
    # Guards against hubs that are never admitted: three of six, on shared machines.
    hub = Hello(box='m1', hub_address='10.0.0.1:7', replica='m1#1')
    entry = Hello(box='m1', entry_address='10.0.0.1:8')
    connected_boxes = ConnectedBoxes(boot_seconds, 'a')
    for hello in (hub, entry) if hub_first else (entry, hub):
        connected_boxes.record_frame(
            connected_boxes.register(hello), BoxFrame(ready=True)
        )
    assert [one.hello.replica for one in connected_boxes.hubs()] == ['m1#1']
    assert [one.hello.entry_address for one in connected_boxes.ready_entries()] == [
        '10.0.0.1:8'
    ]


@pytest.mark.parametrize(
    ('domain', 'seconds', 'listed'),
    [('a', 1.4, True), ('a', 1.6, False), ('b', 2.9, True), ('b', 3.1, False)],
)
def test_a_silent_box_is_left_out_after_three_frames(
    domain: str,
    seconds: float,
    listed: bool,
) -> None:
    clock = FakeClock()
    connected_boxes = ConnectedBoxes(clock, 'a')
    hello = Hello(box='m1', domain=domain, entry_address='10.0.0.1:8')
    connected_boxes.record_frame(connected_boxes.register(hello), BoxFrame(ready=True))
    clock.seconds += seconds
    assert bool(connected_boxes.ready_entries()) == listed


def upstream(name: str, sequence: int, phase: Phase = Phase.serving) -> Upstream:
    return Upstream(
        UpstreamName(name),
        PoolName('llm'),
        Address('10.0.0.1:80'),
        'a',
        4,
        phase,
        sequence,
    )


@pytest.mark.parametrize(
    ('reports', 'phase'),
    [
        ([(1, Phase.serving), (2, Phase.leaving), (1, Phase.serving)], Phase.leaving),
        ([(2, Phase.leaving), (1, Phase.serving)], Phase.leaving),
        ([(1, Phase.serving), (0, Phase.gone), (9, Phase.serving)], Phase.gone),
        ([(5, Phase.serving), (4, Phase.leaving)], Phase.serving),
    ],
)
def test_reports_merge_to_the_newest_in_any_order(
    reports: list[tuple[int, Phase]],
    phase: Phase,
) -> None:
    registry = Registry(boot_seconds, Signal())
    for sequence, reported in reports:
        registry.merge(upstream('one', sequence, reported), 'test')
    assert registry.records[UpstreamName('one')].phase is phase


def test_a_late_report_of_an_earlier_incarnation_does_not_end_the_current_one() -> None:
    registry = Registry(boot_seconds, Signal())
    registry.merge(upstream('new', 1), 'test')
    registry.merge(upstream('old', 9), 'test')
    assert registry.records[UpstreamName('new')].unresponsive
    registry.merge(upstream('new', 2), 'test')
    assert not registry.records[UpstreamName('new')].unresponsive
    assert registry.records[UpstreamName('new')].phase is Phase.serving


class CountedBox(ConnectedBox):
    """A box that counts how often it is looked at to tell whether it is lost."""

    looks: ClassVar[list[str]] = []

    def __getattribute__(self, name: str) -> Any:
        if name == 'max_silence':
            CountedBox.looks.append(name)
        return super().__getattribute__(name)


def test_the_cost_of_a_frame_does_not_grow_with_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('hitchdeck_edge.hub.connected_boxes.ConnectedBox', CountedBox)
    connected_boxes = ConnectedBoxes(FakeClock(), 'a')
    for number in range(300):
        hello = Hello(box=f'b{number}', entry_address=f'b{number}:1', domain='a')
        connected_boxes.record_frame(
            connected_boxes.register(hello), BoxFrame(ready=True)
        )
    for number in range(5):
        connected_boxes.register(Hello(box=f'h{number}', hub_address=f'h{number}:1'))
    assert connected_boxes.box_count() == 300
    CountedBox.looks.clear()
    for _ in range(10):
        assert len(connected_boxes.hub_addresses()) == 5
        assert connected_boxes.box_count() == 300
    assert len(CountedBox.looks) == 50


@pytest.mark.parametrize(
    ('hello', 'reports', 'at_once'),
    [
        (Hello(box='near', domain='a', entry_address='n:1'), False, True),
        (Hello(box='far', domain='b', entry_address='f:1'), False, False),
        (Hello(box='far', domain='b', entry_address='f:1'), True, True),
        (Hello(box='hub', domain='b', hub_address='h:1'), False, True),
    ],
    ids=['own-domain', 'other-domain', 'other-domain-reports-here', 'hub'],
)
def test_updates_go_at_once_to_boxes_without_a_nearer_hub(
    hello: Hello, *, reports: bool, at_once: bool
) -> None:
    connected_boxes = ConnectedBoxes(FakeClock(), 'a')
    connected_box = connected_boxes.register(hello)
    connected_boxes.record_frame(connected_box, BoxFrame(wants_reports=reports))
    assert connected_boxes.gets_updates_at_once(connected_box) is at_once


async def test_a_burst_of_updates_reaches_a_box_in_few_frames(site: Site) -> None:
    accepted: list[int] = []
    link = site.boxes[0].link
    take = link._apply_frame

    def counted(hub: Address, frame: HubFrame, *, is_report_hub: bool) -> None:
        accepted.append(len(frame.upstreams))
        take(hub, frame, is_report_hub=is_report_hub)

    link._apply_frame = counted
    hub = site.hubs[0]
    loop = asyncio.get_running_loop()
    began = loop.time()
    for number in range(60):
        name = UpstreamName(f'burst{number}')
        record = Upstream(
            name, PoolName('llm'), Address('1.2.3.4:5'), 'a', 4, Phase.serving, 1
        )
        hub.state.registry.merge(record, 'test')
        await asyncio.sleep(0.005)
    await until(lambda: 'burst59' in link.known.registry.records)
    assert sum(accepted) >= 60
    # The bound scales with the duration, since each hub sends frames at an interval.
    most = (loop.time() - began) / FRAME_INTERVAL_SECONDS + 2
    assert len([one for one in accepted if one]) <= len(site.hubs) * most
