"""Shares, repeats, events, stops and logs, each by itself."""

import json
import os
import zlib
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from hitchdeck_core.errors import SettingsError
from hitchdeck_core.ids import (
    AccountName,
    Address,
    BoxName,
    PoolName,
    RequestId,
    UpstreamName,
)
from hitchdeck_core.log_output import BURST_LINES, WAITING_BYTES, BoundedOutput
from hitchdeck_core.signals import Signal
from hitchdeck_edge.dispatch.answers import end_to_end
from hitchdeck_edge.dispatch.budget import CAUTION, RepeatBudget
from hitchdeck_edge.dispatch.events import EventSplitter
from hitchdeck_edge.links.hubs import NAMED_SECONDS, HubBook
from hitchdeck_edge.links.placing import PlacingLink
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.document import DocumentVersion, RouteName
from hitchdeck_edge.model.placing import Choice, Wanted
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.scheduling.books import Books
from hitchdeck_edge.scheduling.placement import Placement
from hitchdeck_edge.scheduling.scheduler import Scheduler
from hitchdeck_edge.scheduling.shares import MOST_FACTOR, Shares, even_level
from hitchdeck_edge.serving.gauges import UNKNOWN_SECONDS, Gauges
from hitchdeck_edge.serving.stopping import Stopping
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import GONE_KEPT_SECONDS, Registry
from hitchdeck_platform.documents import read_document
from hitchdeck_platform.settings import read_settings
from standins.platform_site import document

POOL = PoolName('llm')


class FakeClock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def __call__(self) -> float:
        return self.seconds


def account(name: str) -> AccountName:
    return AccountName(name)


def prompt(tokens: int = 1000, subject: str = 's') -> Prompt:
    shared = Part(PartId(subject), tokens // 2)
    return Prompt(tokens, 0, (shared, Part(PartId('own'), tokens - tokens // 2)))


def wanted(name: str = 'ann', subject: str = 's', tokens: int = 1000) -> Wanted:
    return Wanted(
        request=RequestId('r'),
        pool=POOL,
        domain='a',
        slots=8,
        goal=0.6,
        account=account(name),
        prompt=prompt(tokens, subject),
        tried=frozenset(),
        resumes=False,
    )


def engine(name: str, phase: Phase = Phase.serving) -> Upstream:
    return Upstream(UpstreamName(name), POOL, Address(f'{name}:1'), 'a', 8, phase, 1)


def scheduler_of(clock: FakeClock, engines: int) -> Scheduler:
    registry = Registry(clock, Signal())
    for number in range(engines):
        registry.merge(engine(f'e{number}'), 'test')
    documents = Documents(read_document, Signal())
    return Scheduler(documents, registry, Shares(4, clock), clock)


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
def test_the_even_level_gives_small_accounts_all_they_ask(
    asked: dict[str, float],
    capacity: float,
    level: float,
) -> None:
    named = {account(name): amount for name, amount in asked.items()}
    assert even_level(named, capacity) == level


def test_a_flood_leaves_small_accounts_their_share_and_gets_the_rest() -> None:
    clock = FakeClock()
    shares = Shares(4, clock)
    shares.capacity = 1000
    admitted: Counter[str] = Counter()
    for step in range(4000):
        clock.seconds += 0.01
        for name in ['big', 'big', 'big'] + ['small'] * (step % 10 == 0):
            if shares.admit(account(name), prompt(20)) is not None:
                admitted[name] += 20
    seconds = 40
    assert admitted['small'] == 20 * 400
    given = sum(admitted.values()) / seconds
    assert given == pytest.approx(1000 * MOST_FACTOR, rel=0.15)


def test_repeats_stay_within_the_budget_of_the_fleet() -> None:
    clock = FakeClock()
    budget = RepeatBudget(0.2, 50, 10, clock)
    budget.boxes = 10
    for _ in range(100):
        budget.count(POOL)
    taken = sum(budget.take(POOL) for _ in range(100))
    assert taken == int((0.2 * 100 + 50 / 10) * CAUTION)
    clock.seconds += 11
    assert budget.take(POOL)


@pytest.mark.parametrize(
    'pieces',
    [
        [b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'],
        [b'id: 1\ndata: a\n', b'\nid: 2\nda', b'ta: b\n\n'],
        [b'id: 1\r\ndata: a\r\n\r', b'\nid: 2\r\ndata: b\r\n\r\n'],
    ],
)
def test_only_whole_events_are_passed_on(pieces: list[bytes]) -> None:
    splitter = EventSplitter()
    passed = b''.join(splitter.feed(piece) for piece in pieces)
    assert passed == b''.join(pieces)
    assert splitter.last_id == '2'
    assert splitter.feed(b'id: 3\ndata: c\n') == b''
    assert splitter.last_id == '2'


def test_headers_of_one_connection_are_not_passed_on() -> None:
    headers = [
        (b'Connection', b'close, X-Hop'),
        (b'X-Hop', b'1'),
        (b'Keep-Alive', b'timeout=5'),
        (b'Transfer-Encoding', b'chunked'),
        (b'Server-Seal', b'kept'),
    ]
    assert end_to_end(headers) == [(b'Server-Seal', b'kept')]


@pytest.mark.parametrize(
    ('passed', 'longest', 'streams', 'refused'),
    [
        (0.1, 0.2, False, False),
        (0.1, 5.0, True, False),
        (0.1, 6.0, True, True),
        (2.0, 4.5, True, True),
        # Both were taken and cut: own day 4 and stavmat hunt-f59e-11 (LOST).
        (3.7, 1.0, True, True),
        (5.2, 0.5, True, True),
        (5.2, 0.5, False, False),
        (6.5, 0.5, False, True),
    ],
)
def test_a_stopping_box_takes_only_what_ends_in_time(
    passed: float,
    longest: float,
    streams: bool,
    refused: bool,
) -> None:
    clock = FakeClock()
    stopping = Stopping(8, clock)
    assert not stopping.refuses(100, streams=streams)
    stopping.begin()
    clock.seconds += passed
    assert stopping.refuses(longest, streams=streams) is refused


def test_one_long_request_is_remembered_over_many_short_ones() -> None:
    gauges = Gauges(FakeClock())
    route = RouteName('r')
    assert gauges.longest_seconds(route) == UNKNOWN_SECONDS
    for seconds in (6, *[0.1] * 100):
        gauges.note_duration(route, seconds)
    assert gauges.longest_seconds(route) > 4


def test_a_slow_reader_of_the_log_costs_lines_and_never_time() -> None:
    reader, writer = os.pipe()
    output = BoundedOutput(writer, FakeClock())
    line = f'{json.dumps({"event": "x" * 500})}\n'
    for _ in range(BURST_LINES + 100):
        output.write(line)
        output.flush()
    assert len(output.waiting) <= WAITING_BYTES + len(line)
    assert output.dropped > 0
    os.close(reader)
    output.flush()
    assert not output.waiting
    os.close(writer)


def test_a_subject_stays_with_one_engine_until_its_queue_costs_more() -> None:
    scheduler = scheduler_of(FakeClock(), 5)
    names = []
    for number in range(40):
        choice = scheduler.place(('box', number), wanted(tokens=4000))
        assert isinstance(choice, Choice)
        names.append(choice.upstream.name)
    assert len(set(names[:4])) == 1
    assert len(set(names)) > 1


def test_scheduled_work_spreads_evenly_and_is_forgotten_with_its_box() -> None:
    scheduler = scheduler_of(FakeClock(), 4)
    for number in range(40):
        scheduler.place(('box', number), wanted(subject=str(number)))
    books = scheduler.placement.books
    loads = [books.running(UpstreamName(f'e{number}')) for number in range(4)]
    assert max(loads) - min(loads) <= 2
    scheduler.leave('box')
    assert not scheduler.open
    assert all(books.running(UpstreamName(f'e{number}')) == 0 for number in range(4))


def test_what_would_begin_far_too_late_is_refused_at_once() -> None:
    scheduler = scheduler_of(FakeClock(), 1)
    decisions = [
        scheduler.place(('box', number), wanted(subject=str(number), tokens=9000))
        for number in range(20)
    ]
    assert Refusal.overloaded in decisions
    resumed = replace(wanted(), resumes=True)
    assert isinstance(scheduler.decide(resumed), Choice)


def test_a_slow_engine_is_no_bargain_for_being_near() -> None:
    # Found by reading: a discount below zero grew with the slowness.
    scheduler = scheduler_of(FakeClock(), 1)
    registry = scheduler.placement.registry
    registry.merge(replace(engine('far'), domain='b'), 'test')
    scheduler.placement.health.record(UpstreamName('e0')).slowness = 30
    short = replace(wanted(tokens=100), prompt=Prompt(100, 0, ()))
    choice = scheduler.decide(short)
    assert isinstance(choice, Choice)
    assert choice.upstream.name == 'far'


def test_a_request_that_no_engine_gets_costs_its_account_no_share() -> None:
    # Stavmat trouble-3 broke FAIR: 175 requests of one account were charged
    # and then refused as overloaded.
    scheduler = scheduler_of(FakeClock(), 0)
    text = json.dumps(document(1, limits={'tokensPerS': 100})).encode()
    version = DocumentVersion(1)
    scheduler.documents.offer(version, zlib.compress(text), 'test')
    decisions = [scheduler.decide(wanted()) for _ in range(40)]
    assert scheduler.shares.last_part < 1
    assert set(decisions) == {Refusal.no_upstream}


def test_a_resumed_stream_that_finds_no_engine_earns_no_share() -> None:
    # Found by reading: what was never charged was given back.
    scheduler = scheduler_of(FakeClock(), 0)
    text = json.dumps(document(1, limits={'tokensPerS': 100})).encode()
    scheduler.documents.offer(DocumentVersion(1), zlib.compress(text), 'test')
    resumed = replace(wanted(), resumes=True)
    credit = scheduler.shares.credit
    credit[account('ann')] = -100_000
    for _ in range(40):
        assert scheduler.decide(resumed) is Refusal.no_upstream
    assert credit[account('ann')] < -90_000


def test_an_outage_saves_up_no_burst_of_share() -> None:
    # Found by reading: what was given back added up while no engine was there.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 0)
    text = json.dumps(document(1, limits={'tokensPerS': 100})).encode()
    scheduler.documents.offer(DocumentVersion(1), zlib.compress(text), 'test')
    for _ in range(4000):
        clock.seconds += 0.01
        scheduler.decide(wanted())
    assert 0 <= scheduler.shares.credit[account('ann')] <= 100 * MOST_FACTOR


@pytest.mark.parametrize('phase', [Phase.serving, Phase.gone])
def test_only_upstreams_that_are_gone_are_forgotten(phase: Phase) -> None:
    clock = FakeClock()
    registry = Registry(clock, Signal())
    placement = Placement(registry, Books(clock))
    registry.merge(engine('e0'), 'test')
    placement.memory.note(UpstreamName('e0'), prompt())
    placement.health.err(UpstreamName('e0'))
    registry.merge(replace(engine('e0'), sequence=2, phase=phase), 'test')
    placement.forget_gone()
    known = phase is Phase.serving
    assert bool(placement.memory.parts) is known
    assert bool(placement.health.records) is known
    assert registry.records
    clock.seconds += GONE_KEPT_SECONDS + 1
    placement.forget_gone()
    assert bool(registry.records) is known
    assert bool(registry.holders) is known


@pytest.mark.parametrize('change', [{'domain': 'b'}, {'slots': 3}, {'silent': True}])
def test_whatever_changes_in_a_report_is_passed_on(change: dict[str, object]) -> None:
    # Found by reading: a change of domain or slots alone was kept back.
    registry = Registry(FakeClock(), Signal())
    registry.merge(engine('e0'), 'test')
    seen = registry.changes
    assert registry.merge(replace(engine('e0'), sequence=2, **change), 'test')
    assert [one.sequence for one in registry.since(seen)] == [2]
    assert not registry.merge(replace(engine('e0'), sequence=3, **change), 'test')


def test_a_leaving_or_tried_upstream_is_not_chosen() -> None:
    clock = FakeClock()
    registry = Registry(clock, Signal())
    registry.merge(engine('left', Phase.leaving), 'test')
    registry.merge(engine('tried'), 'test')
    placement = Placement(registry, Books(clock))
    tried = frozenset((UpstreamName('tried'),))
    again = replace(wanted(), slots=0, tried=tried)
    assert placement.choose(again) is None


def test_hubs_that_nobody_names_are_tried_no_more() -> None:
    clock = FakeClock()
    book = HubBook(BoxName('box'), 'a', [Address('s:1')], clock)
    book.learn([Address('h:1')])
    assert book.addresses() == ['h:1', 's:1']
    clock.seconds += NAMED_SECONDS + 1
    book.learn([])
    assert book.addresses() == ['s:1']


def test_counts_of_requests_do_not_grow_with_time() -> None:
    clock = FakeClock()
    budget = RepeatBudget(0.2, 50, 10, clock)
    for _ in range(500):
        clock.seconds += 1
        budget.count(POOL)
    assert len(budget.requests[POOL]) <= 11


def test_nothing_is_kept_for_a_scheduler_that_is_not_there() -> None:
    scheduler = scheduler_of(FakeClock(), 1)
    book = HubBook(BoxName('box'), 'a', [], FakeClock())
    registry = scheduler.placement.registry
    link = PlacingLink('box', book, registry, 'token', scheduler.shares)
    for _ in range(50):
        ticket = link.track(0, UpstreamName('e0'), 10)
        link.start(ticket)
        link.fail(UpstreamName('e0'))
        link.end(ticket)
    assert not link.outgoing.ByteSize()
    assert not link.open


def test_a_hub_that_was_lost_altogether_schedules_again_when_it_is_back() -> None:
    """Boxes agree on one scheduler soon after all hubs had lost power.

    Turnolibero scale-2, seed 362760998182, broke FAIR: boxes that had lost the
    same hub twice kept away from it for 8 s, the others did not, and two
    schedulers admitted a whole capacity each.
    """
    clock = FakeClock()
    seeds = [Address('h1:1'), Address('h2:1')]
    book = HubBook(BoxName('box'), 'a', seeds, clock)
    for address in seeds:
        book.reach(address)
    first = book.scheduler()
    assert first is not None
    for _ in range(2):
        book.distrust(first)
        clock.seconds += 0.5
    assert book.scheduler() != first
    book.lose(first)
    book.reach(first)
    assert book.scheduler() == first


SETTINGS = """
nodeName = "n1"
serves = ["front", "control", "directory"]
ip = "10.0.0.1"
zone = "a"
portRange = [7400, 7415]
seeds = ["10.0.0.1:8785", "10.0.0.2:8785"]
firstStart = true
dataDir = "/data/x"
heartbeatMs = 1200
unknown = 1
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
control = "10.0.0.1:3"
directory = "10.0.0.1:4"
[faultTolerance]
machines = 2
[bounds]
graceS = 8
ttl_max_s = 5
quotaWindowS = 4
retryBudgetRatio = 0.2
retryExtra = 58
budgetWindowS = 10
"""


def test_settings_name_hubs_by_their_own_port(tmp_path: Path) -> None:
    path = tmp_path / 'boot.toml'
    path.write_text(SETTINGS)
    settings = read_settings(path)
    assert settings.entry is not None
    assert settings.hub is not None
    assert settings.entry.seeds == ('10.0.0.1:7400', '10.0.0.2:7400')
    assert settings.hub.listen == '10.0.0.1:7400'
    assert settings.hub.disks_lost == 2


@pytest.mark.parametrize(
    'change',
    [
        ('seeds', 'sids'),
        ('graceS = 8', 'graceS = "x"'),
        ('[listen]', '[listen'),
        ('front = "10.0.0.1:1"', 'front = "nowhere"'),
    ],
)
def test_wrong_settings_end_in_one_clear_error(
    tmp_path: Path,
    change: tuple[str, str],
) -> None:
    path = tmp_path / 'boot.toml'
    path.write_text(SETTINGS.replace(*change))
    with pytest.raises(SettingsError, match=r'boot\.toml'):
        read_settings(path)
