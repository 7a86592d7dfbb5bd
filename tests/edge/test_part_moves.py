"""An engine takes a cached prompt part from another one where that costs less.

Guards against parts read again because the engine that has them cached is busy, and
against requests that depend on an engine that can't give the part.
"""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import BoxName, UpstreamName
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import Placed
from hitchdeck_edge.dispatch.connections import ConnectionPool
from hitchdeck_edge.dispatch.sender import Sender
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.links.placing import PlacingLink
from hitchdeck_edge.links.placing_messages import encode_decision
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.document import CacheLink
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.upstreams import Phase
from hitchdeck_edge.scheduling.cache_moves import (
    FEW_MOVES,
    MAX_MOVES,
    SILENT_SECONDS,
    ReadCosts,
    Source,
)
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.scheduler import Scheduler, new_scheduler
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.documents import read_document
from hitchdeck_platform.requests import DIALECT
from hitchdeck_platform.settings import read_settings
from tests.common.scheduling import POOL, FakeClock, engine, offer, scheduler_of, wanted
from tests.edge.test_policies import SETTINGS

MOVES = {'moves': True, 'kvTokenBytes': 18_432, 'linkMbps': 550_000}
FIRST, SECOND = UpstreamName('e0'), UpstreamName('e1')
SHARED = 10_000


def asked(subject: str = 's', own: str = 'own') -> PlacementQuery:
    """Return a request with a shared part of ``SHARED`` tokens, and one of its own."""
    parts = (Part(PartId(subject), SHARED), Part(PartId(own), SHARED))
    return replace(wanted(), goal=10, prompt=Prompt(2 * SHARED, 0, parts))


def read_there(scheduler: Scheduler, name: UpstreamName) -> None:
    """Have an engine read the shared part for an earlier request."""
    earlier = asked(own='earlier')
    assert earlier.prompt is not None
    scheduler.placement.prefix_cache.record_prompt(name, earlier.prompt)
    scheduler.add_open(('earlier', 1), name, SHARED, earlier)
    scheduler.start(('earlier', 1), learn=False)
    scheduler.end(('earlier', 1))


def scheduler_with(
    mechanisms: Mechanisms = ALL_MECHANISMS, engines: int = 2, **moves: object
) -> Scheduler:
    """Return a scheduler whose document states that parts can be moved."""
    scheduler = scheduler_of(FakeClock(), engines, mechanisms)
    limits = {'slots': 8, 'kvCapacity': 100_000, **MOVES, **moves}
    offer(scheduler, 100_000, engine=limits)
    return scheduler


def read_at_first(scheduler: Scheduler) -> None:
    """Have ``FIRST`` read the shared part, and keep it busy."""
    read_there(scheduler, FIRST)
    scheduler.add_open(('box', 2), FIRST, 400_000)


def chosen(scheduler: Scheduler, query: PlacementQuery | None = None) -> Choice:
    choice = scheduler.decide(query or asked())
    assert isinstance(choice, Choice)
    return choice


def test_a_part_is_taken_from_the_engine_that_is_busy() -> None:
    scheduler = scheduler_with()
    read_at_first(scheduler)
    choice = chosen(scheduler)
    assert choice.upstream.name == SECOND
    # In time even if the source fails, and the part has to be read after all.
    read_rate = scheduler.placement.speed.read_rate(POOL)
    assert choice.reading == pytest.approx(2 * SHARED / read_rate)
    assert choice.source is not None
    assert choice.source.name == FIRST
    assert choice.moved == SHARED
    assert choice.tokens == SHARED
    assert scheduler.placement.moves.chosen == 1


def test_a_request_is_not_refused_where_the_engine_with_the_part_is_in_time() -> None:
    """Guards against refusing for the time to read all of it if the source fails."""
    scheduler = scheduler_with()
    read_there(scheduler, FIRST)
    rate = scheduler.placement.speed.read_rate(POOL)
    parts = (Part(PartId('s'), SHARED), Part(PartId('mine'), 1000))
    goal = 0.9 * SHARED / rate
    scheduler.add_open(('box', 1), FIRST, int(0.66 * goal * rate))
    scheduler.add_open(('box', 2), SECOND, int(0.33 * goal * rate))
    query = replace(asked(), goal=goal, prompt=Prompt(SHARED + 1000, 0, parts))
    choice = chosen(scheduler, query)
    assert choice.upstream.name == FIRST
    assert choice.source is None


def leave(scheduler: Scheduler) -> None:
    record = replace(engine(FIRST, Phase.leaving), sequence=2)
    scheduler.placement.registry.merge(record, 'test')


def suspect(scheduler: Scheduler) -> None:
    record = scheduler.placement.registry.records[FIRST]
    scheduler.placement.registry.suspect(record.incarnation)


def eject(scheduler: Scheduler) -> None:
    scheduler.placement.health.record_failure(FIRST, 'test')


def close_domain(scheduler: Scheduler) -> None:
    record = replace(engine(FIRST), domain='closed', sequence=2)
    scheduler.placement.registry.merge(record, 'test')
    scheduler.placement.registry.close_domains(frozenset(('closed',)))


def move_many(scheduler: Scheduler) -> None:
    for number in range(MAX_MOVES):
        scheduler.add_open(('moves', number), SECOND, 0, source=FIRST)


def fall_silent(scheduler: Scheduler) -> None:
    scheduler.add_open(('moves', 1), SECOND, 0, source=FIRST)
    scheduler.now.seconds += SILENT_SECONDS + 0.01  # type: ignore[attr-defined]


def hang(scheduler: Scheduler) -> None:
    query = asked(subject='other')
    assert query.prompt is not None
    scheduler.placement.prefix_cache.record_prompt(FIRST, query.prompt)
    scheduler.now.seconds += SILENT_SECONDS + 0.01  # type: ignore[attr-defined]


def lose_a_move(scheduler: Scheduler) -> None:
    scheduler.add_open(('moves', 1), SECOND, 0, source=FIRST)
    scheduler.end(('moves', 1))
    scheduler.now.seconds += 1  # type: ignore[attr-defined]


def hear_long_ago(scheduler: Scheduler) -> None:
    """Have a move hang whose source gave one event since it began."""
    scheduler.add_open(('moves', 1), SECOND, 0, source=FIRST)
    scheduler.now.seconds += 0.01  # type: ignore[attr-defined]
    scheduler.placement.prefix_cache.record_read(FIRST, None)
    scheduler.now.seconds += SILENT_SECONDS + 0.01  # type: ignore[attr-defined]


def restart(scheduler: Scheduler) -> None:
    scheduler.placement.prefix_cache.keep({SECOND})


@pytest.mark.parametrize(
    'happen',
    [
        leave,
        suspect,
        eject,
        close_domain,
        move_many,
        fall_silent,
        hang,
        lose_a_move,
        hear_long_ago,
        restart,
    ],
)
def test_no_part_is_taken_from_an_engine_that_can_not_give_it(
    happen: Callable[[Scheduler], None],
) -> None:
    scheduler = scheduler_with()
    read_at_first(scheduler)
    happen(scheduler)
    assert chosen(scheduler).source is None


@pytest.mark.parametrize(
    'changes',
    [
        {'areas': frozenset(('far',))},
        {'tried': frozenset((UpstreamName('e2'),)), 'resumes': True},
        {'avoid': frozenset((FIRST,))},
    ],
)
def test_restrictions_of_a_request_hold_for_its_source(
    changes: dict[str, object],
) -> None:
    scheduler = scheduler_with(engines=3)
    scheduler.placement.areas = {'a': 'near', 'b': 'far'}
    far = replace(engine(SECOND), domain='b', sequence=2)
    scheduler.placement.registry.merge(far, 'test')
    read_at_first(scheduler)
    assert chosen(scheduler, replace(asked(), **changes)).source is None


def test_a_part_that_is_queued_but_not_read_yet_is_no_source() -> None:
    scheduler = scheduler_with()
    earlier = asked(own='earlier')
    assert isinstance(scheduler.place(('box', 1), earlier), Choice)
    queued_at = scheduler.open[('box', 1)].entry.upstream
    scheduler.add_open(('box', 2), queued_at, 400_000)
    assert chosen(scheduler).source is None
    scheduler.start(('box', 1), learn=False)
    assert chosen(scheduler).source is not None


@pytest.mark.parametrize('happen', [fall_silent, hang, lose_a_move, hear_long_ago])
def test_a_source_that_gives_first_events_stays_in_use(
    happen: Callable[[Scheduler], None],
) -> None:
    scheduler = scheduler_with()
    read_at_first(scheduler)
    happen(scheduler)
    scheduler.add_open(('box', 3), FIRST, 0)
    scheduler.start(('box', 3), learn=False)
    assert chosen(scheduler).source is not None


def test_the_source_with_the_fewest_moves_is_asked() -> None:
    scheduler = scheduler_with(engines=3)
    read_at_first(scheduler)
    read_there(scheduler, SECOND)
    scheduler.add_open(('box', 3), SECOND, 400_000)
    for number in range(FEW_MOVES + 1):
        scheduler.add_open(('moves', number), UpstreamName('e2'), 0, source=FIRST)
    choice = chosen(scheduler)
    assert choice.source is not None
    assert choice.source.name == SECOND


@pytest.mark.parametrize('close', ['start', 'end'])
def test_a_move_counts_until_the_first_event_or_the_end(close: str) -> None:
    scheduler = scheduler_with()
    read_at_first(scheduler)
    assert isinstance(scheduler.place(('box', 3), asked()), Choice)
    in_flight = scheduler.placement.moves.in_flight
    assert in_flight.count(FIRST) == 1
    getattr(scheduler, close)(('box', 3))
    assert in_flight.count(FIRST) == 0
    assert not in_flight.begun


def ask_for_pause(sender: Sender) -> None:
    sender.backpressure.pause(FIRST, 1)


def announce_leaving(sender: Sender) -> None:
    sender.backpressure.mark_leaving(FIRST)


def forget(sender: Sender) -> None:
    sender.placement.registry.records.pop(FIRST)


def switch_off(sender: Sender) -> None:
    sender.placement.mechanisms = Mechanisms(cache_moves=False)


def sender_of(scheduler: Scheduler) -> Sender:
    """Return the sender of a box that decides by this scheduler."""
    clock = scheduler.now
    link = cast(PlacingLink, SimpleNamespace(now=clock, services=None))
    chooser = Chooser('a', scheduler, link)
    unused = cast(ConnectionPool, None)
    return Sender(DIALECT, chooser, unused, Quarantine(clock, Signal()), clock)


@pytest.mark.parametrize(
    'happen', [ask_for_pause, announce_leaving, forget, switch_off]
)
def test_a_box_names_no_source_that_told_it_to_stay_away(
    happen: Callable[[Sender], None],
) -> None:
    sender = sender_of(scheduler_with())
    choice = Choice(engine(SECOND), 0, 0, source=engine(FIRST))
    assert sender.cache_sources.find(choice) == engine(FIRST)
    happen(sender)
    assert sender.cache_sources.find(choice) is None
    assert sender.cache_sources.sent == 1


@pytest.mark.parametrize('happen', [leave, suspect, eject, close_domain])
def test_a_box_names_no_source_that_it_knows_to_be_unusable(
    happen: Callable[[Scheduler], None],
) -> None:
    scheduler = scheduler_with()
    sender = sender_of(scheduler)
    happen(scheduler)
    choice = Choice(engine(SECOND), 0, 0, source=engine(FIRST))
    assert sender.cache_sources.find(choice) is None
    assert sender.cache_sources.dropped == 1


@pytest.mark.parametrize('moves', [False, True])
def test_engine_speeds_are_not_learned_from_requests_that_move(moves: bool) -> None:
    scheduler = scheduler_with()
    source = FIRST if moves else None
    scheduler.add_open(('box', 1), SECOND, SHARED, asked(), source)
    scheduler.now.seconds += 100  # type: ignore[attr-defined]
    scheduler.start(('box', 1))
    assert (scheduler.placement.health.slowness(SECOND) > 1) != moves
    # How long it runs has nothing to do with the move.
    before = scheduler.placement.speed.mean_run_seconds(POOL)
    scheduler.end(('box', 1))
    assert scheduler.placement.speed.mean_run_seconds(POOL) > before


def placements(scheduler: Scheduler) -> list[Choice | object]:
    """Return decisions on requests of few subjects, with ends and first events."""
    random = Random(5)
    decisions: list[Choice | object] = []
    for number in range(300):
        scheduler.now.seconds += 0.01  # type: ignore[attr-defined]
        query = replace(asked(f's{random.randrange(6)}'), goal=random.uniform(0.5, 3))
        decisions.append(scheduler.place(('box', number), query))
        scheduler.start(('box', random.randrange(number + 1)))
        scheduler.end(('box', random.randrange(number + 1)))
    return decisions


# Numbers of the engines that the code before moves chose for the first of these
# requests; "-" for a refusal.  Without and with learned speeds of engines.
BEFORE = (
    '03230301220322110000002-32-20203-2302-232--30100----0--23---'
    '030---3-----11--33001-3--32---2-20-210111-332----01---------',
    '0323030122032-1-0000002-32-20203-2302-232--30100----0--23---'
    '-30---3-----11--3-0-1-3--3-------0-210111033-23-------------',
)


@pytest.mark.parametrize('learns', [False, True])
def test_without_the_setting_or_the_document_decisions_are_as_before(
    learns: bool,
) -> None:
    off = Mechanisms(cache_moves=False)
    schedulers = [
        scheduler_with(off, 4),
        scheduler_with(engines=4, moves=False),
        scheduler_with(engines=4, kvTokenBytes=0),
        scheduler_with(engines=4, linkMbps=0),
    ]
    # Without the weight of rereading, the same load moves parts.
    moving = scheduler_with(Mechanisms(reading_again=False), 4)
    for scheduler in (*schedulers, moving):
        if learns:
            scheduler.placement.learn_engines()
    first, *others = map(placements, schedulers)
    assert all(decisions == first for decisions in others)
    chosen_names = ''.join(
        one.upstream.name[1] if isinstance(one, Choice) else '-' for one in first
    )
    assert chosen_names.startswith(BEFORE[learns])
    assert not any(one.source for one in first if isinstance(one, Choice))
    assert placements(moving) != first


@pytest.mark.parametrize(
    ('unread', 'cost', 'left'),
    [
        # Has more cached than the source.
        (900, 900, 900),
        (1000, 1000, 1000),
        # The set-up would take longer than to read 101 tokens.
        (1009, 1090, 1009),
        (1101, 2010, 1101),
        (1102, 2019.02, 1000),
        (11_000, 91_200, 1000),
    ],
)
def test_the_lower_cost_of_reading_and_moving_counts(
    unread: int, cost: float, left: int
) -> None:
    costs = ReadCosts(own=1000, weight=9, read_rate=1)
    costs.source = Source(engine('e0'), 1000, fixed=100, per_token=0.01)
    assert costs.lowest([unread]) == pytest.approx([cost])
    assert costs.left(unread) == left


@pytest.mark.parametrize(
    ('decided', 'known', 'used'),
    [
        ('e1', 'e1', 'e1'),
        ('', 'e1', None),
        # The scheduler knows an engine that the box does not.
        ('e1', 'e2', None),
    ],
)
def test_the_source_of_a_choice_reaches_a_box_that_knows_it(
    decided: str, known: str, used: str | None
) -> None:
    clock = FakeClock()
    registry = Registry(clock, Signal())
    registry.merge(engine('e0'), 'test')
    registry.merge(engine(known), 'test')
    source = engine(decided) if decided else None
    message = encode_decision(3, Choice(engine('e0'), 10, 0, source=source))
    hubs = KnownHubs(BoxName('box'), 'a', [], clock)
    link = PlacingLink('box', hubs, registry, 'token', Shares(4, clock))
    placed = Placed.FromString(message.SerializeToString())
    choice = link._decision(placed, wanted())
    assert isinstance(choice, Choice)
    assert (choice.source.name if choice.source else None) == used


@pytest.mark.parametrize(
    ('changes', 'link'),
    [
        ({}, CacheLink(18_432, 550_000 * 125_000)),
        ({'moves': False}, None),
        ({'linkMbps': 0}, None),
        ({'kvTokenBytes': 0}, None),
    ],
)
def test_parts_move_where_the_document_states_all_of_it(
    changes: dict[str, object], link: CacheLink | None
) -> None:
    scheduler = scheduler_with(**changes)
    assert scheduler.placement.moves.link_of(POOL) == link


def test_a_document_without_the_fields_moves_nothing() -> None:
    scheduler = scheduler_of(FakeClock(), 2)
    offer(scheduler, 100_000)
    assert scheduler.placement.moves.link_of(POOL) is None


@pytest.mark.parametrize(
    ('text', 'moves'),
    [('', True), ('moveCache = true\n', True), ('moveCache = false\n', False)],
)
def test_a_process_moves_parts_unless_its_settings_say_no(
    tmp_path: Path, text: str, moves: bool
) -> None:
    path = tmp_path / 'boot.toml'
    path.write_text(text + SETTINGS)
    settings = read_settings(path)
    assert settings.hub is not None
    assert settings.entry is not None
    for one in (settings.hub, settings.entry):
        registry = Registry(boot_seconds, Signal())
        documents = Documents(read_document, Signal())
        scheduler = new_scheduler(one, documents, registry)
        assert scheduler.placement.mechanisms.cache_moves is moves
