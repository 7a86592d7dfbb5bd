"""Boxes agree on which lost schedulers are excluded, through the hubs they reach."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path

import pytest

from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.wire.spread_pb2 import (
    BoxFrame,
    Hello,
    HubFrame,
    SchedulerExclusion,
)
from hitchdeck_edge.dispatch.budget import RetryBudget
from hitchdeck_edge.hub.connected_boxes import ConnectedBoxes
from hitchdeck_edge.hub.process import Hub
from hitchdeck_edge.hub.scheduler_agreement import (
    MAX_GAP_SECONDS,
    SETTLE_SECONDS,
    SchedulerAgreement,
)
from hitchdeck_edge.hub.spread import SpreadService, new_state
from hitchdeck_edge.links.entry import EntryLink
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.links.scheduler_exclusions import (
    MAX_EXCLUSIONS,
    REPEAT_EXCLUSION_SECONDS,
    Exclusions,
    decode_exclusions,
    encode_exclusions,
    merge_exclusions,
    tally_exclusions,
)
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms
from hitchdeck_edge.process import start_entry
from hitchdeck_edge.settings import EntrySettings, HubSettings
from hitchdeck_edge.state.fleet_state import new_fleet_state
from hitchdeck_edge.state.relief import ReliefTargets
from hitchdeck_platform.documents import read_document
from hitchdeck_platform.requests import DIALECT
from standins.platform_site import Site
from standins.ports import free_address
from tests.common.scheduling import FakeClock

HUBS = [Address(f'10.0.0.{number}:1') for number in range(1, 5)]
ENTRY = EntrySettings(
    box='box',
    domain='a',
    listen=Address('127.0.0.1:1'),
    ready_listen=Address('127.0.0.1:2'),
    scheduler_agreement=True,
)
HUB = HubSettings(
    box='hub',
    domain='a',
    listen=HUBS[0],
    control_listen=Address('127.0.0.1:2'),
    directory_listen=Address('127.0.0.1:3'),
    scheduler_agreement=True,
)
THREE_DOMAINS = (0, 1, 2, 4)
"""Boxes of three failure domains, an eighth of those in a test."""
DELAY = 0.05
"""Delay of each frame, in seconds."""
WITHOUT = Mechanisms(agreed_exclusions=False)


@pytest.mark.parametrize(
    ('reports', 'boxes', 'left'),
    [
        ([], 8, 0),
        # One domain, or one box.
        ([('a', 8), ('a', 8), ('a', 8)], 8, 0),
        ([('a', 8)], 8, 0),
        # Two domains, at an eighth of the boxes and below it.
        ([('a', 8), ('b', 2)], 16, 8),
        ([('a', 8), ('b', 2)], 17, 0),
        ([('a', 2), ('b', 8), ('c', 3)], 16, 8),
        # A first loss does not count, nor one that has ended.
        ([('a', 8), ('b', 1)], 8, 0),
        ([('a', 1), ('b', 1), ('c', 1)], 8, 0),
        ([('a', 8), ('b', 0)], 8, 0),
    ],
)
def test_a_scheduler_is_excluded_by_all_once_many_boxes_of_two_domains_lost_it(
    reports: list[tuple[str, float]], boxes: int, left: float
) -> None:
    now = 100.0
    given = [(domain, {HUBS[0]: now + seconds}) for domain, seconds in reports]
    given.append(('c', {HUBS[1]: now + 5}))
    tallies = tally_exclusions(given, now)
    agreed = {
        one: tallies[one].until for one in tallies if tallies[one].is_agreed(boxes)
    }
    assert agreed == ({HUBS[0]: now + left} if left else {})


@pytest.mark.parametrize(
    ('known', 'heard', 'merged'),
    [
        ({}, {}, {}),
        ({}, {'h': 104}, {'h': 104}),
        ({'h': 104}, {'h': 104}, {'h': 104}),
        ({'h': 104}, {'h': 102}, {'h': 104}),
        ({'h': 104}, {'h': 108, 'i': 101}, {'h': 108, 'i': 101}),
        ({'h': 99}, {'i': 100}, {}),
    ],
)
def test_merged_exclusions_last_until_the_latest_end(
    known: Exclusions, heard: Exclusions, merged: Exclusions
) -> None:
    assert merge_exclusions(known, heard, 100) == merged


def test_exclusions_from_another_process_are_bounded() -> None:
    messages = [SchedulerExclusion(hub=f'h{one}:1', left_ms=10**9) for one in range(99)]
    decoded = decode_exclusions(messages, 100)
    assert len(decoded) == MAX_EXCLUSIONS
    assert set(decoded.values()) == {100 + REPEAT_EXCLUSION_SECONDS}
    assert not encode_exclusions({HUBS[0]: 99.0}, 100)


class Box:
    """An entry box that reaches every hub, with its link but without a network."""

    def __init__(self, number: int, settings: EntrySettings, clock: FakeClock) -> None:
        name = f'box{number}'
        self.hubs = KnownHubs(BoxName(name), settings.domain, HUBS, clock)
        for address in HUBS:
            self.hubs.mark_reachable(address)
        self.link = EntryLink(
            replace(settings, box=name),
            new_fleet_state(settings, DIALECT),
            RetryBudget(0.2, 50, 10, clock),
            ReliefTargets(clock),
        )
        self.handlers = self.link.stream_handlers(self.hubs)

    def lose(self, hub: Address, times: int) -> None:
        for _ in range(times):
            self.hubs.exclude_scheduler(hub)

    def frame(self) -> BoxFrame:
        return self.handlers.next_frame(HUBS[0], is_report_hub=False, first=True)


class Fleet:
    """Boxes of four failure domains in turn, and one of the hubs that they reach."""

    def __init__(
        self, count: int, settings: EntrySettings = ENTRY, mechanisms=ALL_MECHANISMS
    ) -> None:
        self.clock = FakeClock()
        self.boxes = [
            Box(number, replace(settings, domain='abcd'[number % 4]), self.clock)
            for number in range(count)
        ]
        self.hub = ConnectedBoxes(self.clock, 'a')
        self.agreement = SchedulerAgreement(self.hub, self.clock, mechanisms)
        self.connected = [self.hub.register(one.frame().hello) for one in self.boxes]
        self.exchange()
        self.clock.seconds += SETTLE_SECONDS

    def exchange(self, delay: float = DELAY) -> list[HubFrame]:
        """Let the hub hear all boxes, and answer each; frames arrive after a delay."""
        reports = [box.frame() for box in self.boxes]
        self.clock.seconds += delay
        for connected, report in zip(self.connected, reports, strict=True):
            self.hub.record_frame(connected, report)
            self.agreement.take_report(connected)
        frames = [HubFrame() for _ in self.boxes]
        for connected, frame in zip(self.connected, frames, strict=True):
            self.agreement.add_agreed(frame, connected)
        self.clock.seconds += delay
        for box, frame in zip(self.boxes, frames, strict=True):
            box.handlers.on_frame(HUBS[0], frame)
        return frames

    def lose_scheduler(self, boxes: Sequence[int], times: int = 2) -> Address:
        """Let some boxes lose the scheduler of the last one."""
        lost = self.boxes[-1].hubs.scheduler()
        assert lost is not None
        for number in boxes:
            self.boxes[number].lose(lost, times)
        return lost

    def users(self, hub: Address) -> int:
        """Return the number of boxes whose scheduler a hub is."""
        return sum(box.hubs.scheduler() == hub for box in self.boxes)


@pytest.mark.parametrize(
    ('losing', 'times', 'users'),
    [
        ([0], 2, 31),
        # Half of domain a; all of it.
        ([0, 4, 8, 12], 2, 28),
        (range(0, 32, 4), 2, 24),
        # Domains a, b and c.
        (THREE_DOMAINS, 2, 0),
        ([number for number in range(32) if number % 4 < 3], 2, 0),
        # A first loss would move all boxes, and move them back within a second.
        (THREE_DOMAINS, 1, 28),
    ],
    ids=['one-box', 'half-domain', 'domain', 'few-of-three', 'three-domains', 'first'],
)
def test_all_boxes_leave_a_scheduler_that_several_domains_lost(
    losing: Sequence[int], times: int, users: int
) -> None:
    """Guards against schedulers that each know only the requests of their boxes.

    A quarter of the boxes had lost the hub that all others went on using.
    """
    fleet = Fleet(32)
    lost = fleet.lose_scheduler(losing, times)
    fleet.exchange()
    assert fleet.users(lost) == users


def test_an_agreed_exclusion_ends_for_all_boxes_and_is_not_extended() -> None:
    """Guards against boxes that exclude a hub for ever by telling one another of it."""
    fleet = Fleet(32)
    lost = fleet.lose_scheduler(THREE_DOMAINS)
    end = fleet.clock.seconds + REPEAT_EXCLUSION_SECONDS
    while fleet.clock.seconds + 2 * DELAY < end:
        fleet.exchange()
        assert not fleet.users(lost)
    fleet.clock.seconds = end + 2 * DELAY
    frames = fleet.exchange()
    assert fleet.users(lost) == 32
    assert not any(frame.excluded_schedulers for frame in frames)
    assert fleet.agreement.announcements == 1
    assert {box.hubs.adopted for box in fleet.boxes} == {1}


def test_boxes_that_start_meanwhile_exclude_the_scheduler_too() -> None:
    """Boxes that lost the hub forget their own losses once its stream ends."""
    fleet = Fleet(32)
    lost = fleet.lose_scheduler(THREE_DOMAINS)
    fleet.exchange()
    for number in THREE_DOMAINS:
        fleet.boxes[number].hubs.mark_unreachable(lost)
        fleet.boxes[number].hubs.mark_reachable(lost)
    fleet.boxes[31] = Box(31, ENTRY, fleet.clock)
    fleet.exchange()
    assert not fleet.users(lost)


def test_boxes_do_not_leave_one_scheduler_after_the_other() -> None:
    """Guards against a load that makes some boxes lose every hub that schedules."""
    fleet = Fleet(32)
    fleet.lose_scheduler(THREE_DOMAINS)
    fleet.exchange()
    second = fleet.lose_scheduler(THREE_DOMAINS)
    fleet.exchange()
    assert fleet.users(second) == 28


@pytest.mark.parametrize('delay', [0.5, MAX_GAP_SECONDS + 0.1])
def test_a_hub_ignores_what_it_reads_late(delay: float) -> None:
    """Guards against a frozen hub that announces exclusions that have ended."""
    fleet = Fleet(32)
    fleet.exchange()
    lost = fleet.lose_scheduler(THREE_DOMAINS)
    fleet.exchange(delay)
    assert (lost in fleet.agreement.announced) == (delay < MAX_GAP_SECONDS)


@pytest.mark.parametrize(('elsewhere', 'announced'), [(0, True), (80, False)])
def test_few_boxes_of_a_hub_do_not_speak_for_the_fleet(
    elsewhere: int, announced: bool
) -> None:
    """Guards against a restarted hub that speaks for the first boxes that connect."""
    fleet = Fleet(4)
    peer = fleet.hub.register(Hello(box='h', domain='b', hub_address='h:1'))
    fleet.hub.record_frame(peer, BoxFrame(boxes=elsewhere))
    fleet.lose_scheduler([0, 1])
    fleet.exchange()
    assert bool(fleet.agreement.announced) is announced


@pytest.mark.parametrize(
    ('settings', 'mechanisms'),
    [
        (replace(ENTRY, scheduler_agreement=False), ALL_MECHANISMS),
        (replace(ENTRY, mechanisms=WITHOUT), ALL_MECHANISMS),
        (ENTRY, WITHOUT),
    ],
    ids=['no-setting', 'off-at-boxes', 'off-at-hubs'],
)
def test_without_agreement_each_box_excludes_by_its_own_losses(
    settings: EntrySettings, mechanisms: Mechanisms
) -> None:
    fleet = Fleet(32, settings, mechanisms)
    lost = fleet.lose_scheduler(THREE_DOMAINS)
    fleet.exchange()
    assert fleet.users(lost) == 28
    fleet.clock.seconds += REPEAT_EXCLUSION_SECONDS
    assert fleet.users(lost) == 32


def test_frames_are_as_before_without_the_setting_or_an_exclusion() -> None:
    without = replace(ENTRY, scheduler_agreement=False)
    box, old = (Box(0, one, FakeClock()) for one in (ENTRY, without))
    old.link.incarnation = box.link.incarnation
    assert box.frame() == old.frame()
    old.lose(HUBS[0], 2)
    assert box.frame() == old.frame()
    box.lose(HUBS[0], 2)
    assert box.frame() != old.frame()
    plain = replace(HUB, scheduler_agreement=False)
    assert new_state(plain, read_document).agreement is None


def test_agreed_exclusions_end_early_only_if_they_leave_no_hub() -> None:
    """After a power loss of all hubs, those that start anew know of no exclusion."""
    box = Box(0, ENTRY, FakeClock())
    first = box.hubs.scheduler()
    assert first is not None
    until = box.hubs.now() + 5
    box.hubs.adopt_exclusions(dict.fromkeys(HUBS, until), HUBS[0])
    assert box.hubs.scheduler() == first
    box.hubs.agreed_until = {first: until}
    box.hubs.mark_unreachable(first)
    box.hubs.mark_reachable(first)
    assert box.hubs.scheduler() != first
    for change in (box.hubs.mark_unreachable, box.hubs.mark_reachable):
        for address in HUBS:
            change(address)
    assert box.hubs.scheduler() == first


def test_only_repeated_losses_of_a_hub_that_still_answers_are_sent_at_once() -> None:
    """Guards against frames to all hubs at a crash, which every box finds by itself."""
    box = Box(0, ENTRY, FakeClock())
    box.hubs.mark_unreachable(HUBS[0])
    losses = ((HUBS[0], 2, 0), (HUBS[1], 1, 0), (HUBS[2], 1, 0), (HUBS[1], 1, 1))
    for lost, times, sent in losses:
        box.hubs.now.seconds += 1
        box.lose(lost, times)
        assert box.link.wake.count == sent


def test_a_hub_sends_an_agreement_at_once_and_only_to_entry_boxes() -> None:
    service = SpreadService(new_state(HUB, read_document))
    state = service.state
    report = BoxFrame(
        excluded_schedulers=[SchedulerExclusion(hub=HUBS[1], left_ms=8000)]
    )
    hellos = (
        Hello(box='a', domain='a', entry_address='a:1'),
        Hello(box='h', domain='b', hub_address='h:1'),
        Hello(box='b', domain='b', entry_address='b:1'),
        Hello(box='c', domain='c', entry_address='c:1'),
    )
    boxes = [state.connected_boxes.register(hello) for hello in hellos]
    assert state.agreement is not None
    state.agreement.heard_at = state.agreement.now()
    sent = []
    for box in boxes:
        service._apply_frame(box, report)
        sent.append(state.changed.count)
    # The report of a hub does not count, and a repeated one is not news.
    assert sent == [0, 0, 1, 1]
    for box in boxes:
        frame = HubFrame()
        state.agreement.add_agreed(frame, box)
        assert bool(frame.excluded_schedulers) == bool(box.hello.entry_address)


async def start_site(site: Site) -> None:
    """Start two hubs, and a box in each of three failure domains."""
    seeds = (free_address(), free_address())
    for name, listen in zip('gh', seeds, strict=True):
        ports = {'control_listen': free_address(), 'directory_listen': free_address()}
        await site.start_hub(
            replace(HUB, box=name, seeds=seeds, listen=listen, **ports)
        )
    for domain in 'abc':
        ports = {'listen': free_address(), 'ready_listen': free_address()}
        entry = replace(ENTRY, box=domain, domain=domain, seeds=seeds, **ports)
        site.boxes.append(await start_entry(entry, DIALECT))


def sees_another_scheduler(hub: Hub) -> bool:
    assert hub.view is not None
    hub.view.refresh()
    return bool(hub.view.schedulers)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(15):
        while not condition():
            await asyncio.sleep(0.02)


async def test_a_box_that_lost_nothing_leaves_the_scheduler_of_the_others(
    tmp_path: Path,
) -> None:
    site = Site(tmp_path)
    try:
        await start_site(site)
        await leave_together(site, [box.known_hubs for box in site.boxes])
    finally:
        await site.stop()


async def leave_together(site: Site, boxes: list[KnownHubs]) -> None:
    """Let one box lose the scheduler, and once both hubs schedule another one."""
    await until(lambda: all(len(one.reachable) == 2 for one in boxes))
    lost = boxes[2].scheduler()
    assert lost is not None
    for number, losing in enumerate(boxes[:2]):
        losing.exclude_scheduler(lost)
        losing.exclude_scheduler(lost)
        if not number:
            await until(lambda: all(map(sees_another_scheduler, site.hubs)))
    third = boxes[2]
    await until(lambda: third.scheduler() != lost)
    assert third.adopted == 1
    assert not third.own_exclusions()
