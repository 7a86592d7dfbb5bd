"""Admission, placement and refusal of requests by fair shares."""

from dataclasses import replace

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.upstreams import Phase
from hitchdeck_edge.scheduling.open_work import OpenWorkTable
from hitchdeck_edge.scheduling.placement import Placement
from hitchdeck_edge.scheduling.prefix_cache import PrefixCacheModel
from hitchdeck_edge.scheduling.queue_limit import max_queue_seconds
from hitchdeck_edge.scheduling.shares import fair_share_level
from hitchdeck_edge.state.registry import Registry
from tests.common.scheduling import (
    FakeClock,
    account,
    engine,
    offer,
    played,
    prompt,
    scheduler_of,
    wanted,
)


@pytest.mark.parametrize(
    ('asked', 'capacity', 'level'),
    [
        ({'a': 10, 'b': 10}, 30, float('inf')),
        ({'a': 10, 'b': 30}, 30, 20),
        ({'a': 5, 'b': 50, 'c': 50}, 35, 15),
        ({'a': 50, 'b': 50, 'c': 50}, 30, 10),
        ({}, 30, float('inf')),
    ],
)
def test_the_fair_share_level_gives_small_accounts_all_they_ask(
    asked: dict[str, float],
    capacity: float,
    level: float,
) -> None:
    named = {account(name): amount for name, amount in asked.items()}
    assert fair_share_level(named, capacity) == level


@pytest.mark.parametrize('flood', [20, 60])
def test_a_flood_leaves_small_accounts_their_share_and_gets_the_rest(
    flood: int,
) -> None:
    granted = played({'big': flood, 'small': 4, 'less': 4}, 20_000, 40)
    assert granted['small'] > 4 * 1000 * 40 * 0.95
    assert granted['less'] > 4 * 1000 * 40 * 0.95
    # No request is refused while there is capacity, so the engine is never idle.
    assert granted.total() > 20_000 * 40 * 0.95


def test_accounts_that_ask_too_much_get_the_same() -> None:
    # Guards against refusing waits at random: under faults, one account got a fifth
    # of what it asked for and an eighth of what another got.
    granted = played({'a': 60, 'b': 30, 'c': 20}, 20_000, 40)
    assert min(granted.values()) > 0.8 * max(granted.values())


def test_a_subject_stays_with_one_engine_until_its_queue_costs_more() -> None:
    scheduler = scheduler_of(FakeClock(), 5)
    names = []
    for number in range(40):
        choice = scheduler.place(('box', number), wanted(tokens=4000))
        assert isinstance(choice, Choice)
        names.append(choice.upstream.name)
    assert len(set(names[:4])) == 1
    assert len(set(names)) > 1


def test_rather_than_be_refused_a_request_within_its_share_goes_elsewhere() -> None:
    # The engine that has the subject cached is cheapest, but its wait exceeds the goal.
    scheduler = scheduler_of(FakeClock(), 2)
    first = scheduler.place(('box', 0), wanted(tokens=20_000))
    assert isinstance(first, Choice)
    scheduler.start(('box', 0))
    scheduler.add_open(('box', 1), first.upstream.name, 40_000)
    second = scheduler.decide(wanted(tokens=20_000))
    assert isinstance(second, Choice)
    assert second.upstream.name != first.upstream.name


def test_scheduled_work_spreads_evenly_and_is_dropped_with_its_box() -> None:
    scheduler = scheduler_of(FakeClock(), 4)
    for number in range(40):
        scheduler.place(('box', number), wanted(subject=str(number)))
    open_work = scheduler.placement.open_work
    loads = [open_work.running(UpstreamName(f'e{number}')) for number in range(4)]
    assert max(loads) - min(loads) <= 2
    scheduler.drop_box('box')
    assert not scheduler.open
    assert all(
        open_work.running(UpstreamName(f'e{number}')) == 0 for number in range(4)
    )


def test_a_request_that_would_start_far_too_late_is_refused_at_once() -> None:
    scheduler = scheduler_of(FakeClock(), 1)
    decisions = [
        scheduler.place(('box', number), wanted(subject=str(number), tokens=9000))
        for number in range(20)
    ]
    assert Refusal.overloaded in decisions
    resumed = replace(wanted(), resumes=True)
    assert isinstance(scheduler.decide(resumed), Choice)


@pytest.mark.parametrize(
    ('running', 'held', 'expected'),
    [
        # Eight slots, each held for 0.8 s: one becomes free every 0.1 s.
        (7, 0.8, 0),
        (8, 0.8, 0.1),
        (12, 0.8, 0.5),
        (12, 8.0, 5),
    ],
)
def test_the_expected_wait_counts_the_occupied_slots(
    running: int,
    held: float,
    expected: float,
) -> None:
    clock = FakeClock()
    scheduler = scheduler_of(clock, 1)
    for number in range(300):
        scheduler.place(('box', number), replace(wanted(), resumes=True))
        scheduler.start(('box', number))
        clock.seconds += held
        scheduler.end(('box', number))
    for number in range(running):
        scheduler.add_open(('box', number), UpstreamName('e0'), 0)
    choice = scheduler.placement.choose(wanted())
    assert choice is not None
    assert choice.queue == pytest.approx(expected, abs=0.02)


def test_a_slow_engine_is_not_preferred_for_being_near() -> None:
    # Guards against a negative discount that grows with the slowness.
    scheduler = scheduler_of(FakeClock(), 1)
    registry = scheduler.placement.registry
    registry.merge(replace(engine('far'), domain='b'), 'test')
    scheduler.placement.health.record(UpstreamName('e0')).slowness = 30
    short = replace(wanted(tokens=100), prompt=Prompt(100, 0, ()))
    choice = scheduler.decide(short)
    assert isinstance(choice, Choice)
    assert choice.upstream.name == 'far'


def test_a_request_that_no_engine_gets_costs_its_account_no_share() -> None:
    # Guards against unequal shares: 175 requests of one account were charged to it
    # and then refused as overloaded.
    scheduler = scheduler_of(FakeClock(), 0)
    offer(scheduler, 100)
    decisions = [scheduler.decide(wanted()) for _ in range(40)]
    assert set(decisions) == {Refusal.no_upstream}
    assert scheduler.shares.share_used(account('ann')) == 0


def test_an_outage_accumulates_no_burst_of_share() -> None:
    # Guards against refunds that accumulate while no engine is available.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 0)
    offer(scheduler, 100)
    for _ in range(4000):
        clock.seconds += 0.01
        scheduler.decide(wanted())
    scheduler.placement.registry.merge(engine('e0'), 'test')
    for _ in range(100):
        scheduler.place(('box', 0), wanted())
    assert scheduler.shares.share_used(account('ann')) > 1


@pytest.mark.parametrize(
    ('tokens', 'unread', 'reading', 'standing', 'longest'),
    [
        # Within the account's share a request waits until it would start too late.
        (9000, 3000, 0.0, 0.5, 0.6),
        (9000, 9000, 0.2, 0.8, 0.4),
        (9000, 9000, 0.7, 0.5, 0.15),
        # Beyond the share the wait shrinks, most of all for a long uncached prompt.
        (9000, 3000, 0.1, 1.0, 0.5 * 0.64),
        (9000, 3000, 0.0, 2.0, 0.6 * 0.16),
        (9000, 9000, 0.0, 2.0, 0.2 * 0.16),
        (9000, 9000, 0.0, 4.0, 0.2 * 0.04),
        (9000, 3000, 0.0, 80.0, 0.6 * 0.0001),
    ],
)
def test_well_cached_requests_within_their_share_may_wait_longest(
    tokens: int,
    unread: int,
    reading: float,
    standing: float,
    longest: float,
) -> None:
    choice = Choice(engine('e0'), unread, 0, reading=reading)
    patience = max_queue_seconds(wanted(tokens=tokens), choice, standing)
    assert patience == pytest.approx(longest)


@pytest.mark.parametrize('unread', [1000, 9000])
def test_the_longest_wait_decreases_without_a_step(unread: int) -> None:
    choice = Choice(engine('e0'), unread, 0)
    one = wanted(tokens=9000)
    waits = [max_queue_seconds(one, choice, step / 100) for step in range(800)]
    falls = [before - after for before, after in zip(waits, waits[1:], strict=False)]
    assert min(falls) >= 0
    assert max(falls) < one.goal / 20


def test_a_leaving_or_tried_upstream_is_not_chosen() -> None:
    clock = FakeClock()
    registry = Registry(clock, Signal())
    registry.merge(engine('left', Phase.leaving), 'test')
    registry.merge(engine('tried'), 'test')
    placement = Placement(registry, OpenWorkTable(clock))
    tried = frozenset((UpstreamName('tried'),))
    again = replace(wanted(), slots=0, tried=tried)
    assert placement.choose(again) is None


def test_an_attempt_after_a_failed_one_is_counted_once() -> None:
    # Guards against charging an account once for each of three attempts.
    scheduler = scheduler_of(FakeClock(), 3)
    offer(scheduler, 1000)
    tried: set[UpstreamName] = set()
    for _ in range(3):
        again = replace(wanted(), tried=frozenset(tried), resumes=bool(tried))
        choice = scheduler.decide(again)
        assert isinstance(choice, Choice)
        tried.add(choice.upstream.name)
    assert scheduler.shares.asked.total == 1000
    assert scheduler.shares.granted.total == 1000


def test_a_new_scheduler_trusts_the_stated_capacity() -> None:
    # Guards against cutting the capacity to a fifth at the first wait that is too long.
    scheduler = scheduler_of(FakeClock(), 1)
    offer(scheduler, 4000)
    for name in 'abcd':
        scheduler.shares.count_elsewhere(account(name), 4000)
    scheduler.decide(wanted('a'))
    scheduler.place(('box', 1), wanted('c', tokens=100_000))
    assert scheduler.decide(wanted('b')) is Refusal.overloaded
    assert scheduler.shares.share_used(account('a')) <= 1


@pytest.mark.parametrize(
    ('begun', 'served'),
    [(0.0, 4), (2.0, 8), (3.9, 16), (100.0, 4)],
)
def test_the_capacity_after_a_start_is_what_engines_processed_since(
    begun: float,
    served: int,
) -> None:
    # The engine processes 4000 tokens a second; a share window is 4 s.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 1)
    offer(scheduler, 4000)
    scheduler.decide(wanted('other'))
    clock.seconds += begun
    for _ in range(40):
        scheduler.shares.ask(wanted())
    for _ in range(served):
        scheduler.shares.grant(wanted())
    assert scheduler.shares.share_used(account('ann')) == pytest.approx(1, abs=0.34)


@pytest.mark.parametrize(('alike', 'served'), [(1, 16), (4, 4)])
def test_an_isolated_box_leaves_the_others_their_shares(
    alike: int,
    served: int,
) -> None:
    # The engine processes 4000 tokens a second; a share window is 4 s.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 1)
    offer(scheduler, 4000)
    scheduler.shares.assumed_boxes = alike
    scheduler.placement.open_work.assumed_boxes = alike
    for _ in range(100):
        clock.seconds += 0.04
        scheduler.shares.ask(wanted())
    for number in range(served):
        scheduler.place(('box', number), replace(wanted(), resumes=True))
    assert scheduler.shares.share_used(account('ann')) == pytest.approx(1, abs=0.1)
    assert scheduler.placement.open_work.running(UpstreamName('e0')) == 16


def test_nothing_is_counted_without_a_document() -> None:
    scheduler = scheduler_of(FakeClock(), 1)
    scheduler.decide(wanted())
    assert scheduler.shares.granted.total == 0


@pytest.mark.parametrize(
    ('sent_between', 'unread'),
    [
        # A cache of 4000 tokens still holds the first 1000 tokens.
        ([1000, 1000, 1000], 0),
        # They are evicted once 4000 more tokens have followed.
        ([1000, 1000, 1000, 1000], 1000),
        ([4000], 1000),
    ],
)
def test_an_engine_caches_as_much_as_its_memory_holds(
    sent_between: list[int],
    unread: int,
) -> None:
    prefix_cache = PrefixCacheModel(FakeClock())
    prefix_cache.size = 4000
    first = Prompt(1000, 0, (Part(PartId('first'), 1000),))
    prefix_cache.record_prompt(UpstreamName('e0'), first)
    for number, tokens in enumerate(sent_between):
        between = Part(PartId(str(number)), tokens)
        prefix_cache.record_prompt(UpstreamName('e0'), Prompt(tokens, 0, (between,)))
    assert prefix_cache.uncached(UpstreamName('e0'), first) == unread


def test_a_prompt_that_was_never_sent_is_not_cached_right_after_boot() -> None:
    # Guards against counting a prompt that was never sent as sent at boot, where
    # the clock starts.
    clock = FakeClock()
    clock.seconds = 5.0
    prefix_cache = PrefixCacheModel(clock)
    prefix_cache.record_prompt(UpstreamName('e0'), prompt(subject='other'))
    fresh = Prompt(1000, 0, (Part(PartId('s'), 500), Part(PartId('new'), 500)))
    assert prefix_cache.uncached(UpstreamName('e0'), fresh) == 1000
