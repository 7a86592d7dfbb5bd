"""An engine takes a cached prompt part from another one where that costs less.

Guards against parts read again because the engine that has them cached is busy, and
against requests that depend on an engine that can't give the part.
"""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest

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
from hitchdeck_edge.scheduling.cache_moves import MAX_MOVES, SILENT_SECONDS, Source
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.scheduler import Scheduler
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.requests import DIALECT
from tests.common.scheduling import POOL, FakeClock, engine, offer, scheduler_of, wanted

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
    assert choice.source is not None
    assert choice.source.name == FIRST
    assert choice.moved == SHARED
    # Its own part is read, and the move costs something.
    assert SHARED < choice.tokens < 1.1 * SHARED
    assert scheduler.placement.moves.chosen == 1


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


def restart(scheduler: Scheduler) -> None:
    scheduler.placement.prefix_cache.keep({SECOND})


@pytest.mark.parametrize(
    'happen',
    [leave, suspect, eject, close_domain, move_many, fall_silent, restart],
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


def test_a_source_that_gives_first_events_stays_in_use() -> None:
    scheduler = scheduler_with()
    read_at_first(scheduler)
    fall_silent(scheduler)
    scheduler.add_open(('box', 3), FIRST, 0)
    scheduler.start(('box', 3), learn=False)
    assert chosen(scheduler).source is not None


def test_the_source_with_the_fewest_moves_is_asked() -> None:
    scheduler = scheduler_with(engines=3)
    read_at_first(scheduler)
    read_there(scheduler, SECOND)
    scheduler.add_open(('box', 3), SECOND, 400_000)
    scheduler.add_open(('moves', 1), UpstreamName('e2'), 0, source=FIRST)
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


@pytest.mark.parametrize(
    ('happen', 'named'),
    [
        (lambda _sender: None, True),
        (ask_for_pause, False),
        (announce_leaving, False),
        (forget, False),
        (switch_off, False),
        (leave, False),
        (suspect, False),
        (eject, False),
        (close_domain, False),
    ],
)
def test_a_box_names_only_a_source_that_it_knows_to_be_usable(
    happen: Callable[[Sender | Scheduler], None], named: bool
) -> None:
    scheduler = scheduler_with()
    clock = scheduler.now
    link = SimpleNamespace(now=clock)
    chooser = Chooser('a', scheduler, cast(PlacingLink, link))
    quarantine = Quarantine(clock, Signal())
    unused = cast(ConnectionPool, None)
    sender = Sender(DIALECT, chooser, unused, quarantine, clock)
    choice = Choice(engine(SECOND), 0, 0, source=engine(FIRST))
    of_scheduler = happen in {leave, suspect, eject, close_domain}
    happen(scheduler if of_scheduler else sender)
    source = sender._cache_source(choice)
    assert (source is not None) == named
    assert sender.moves_sent == int(named)


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
    moving = scheduler_with(engines=4)
    for scheduler in (*schedulers, moving):
        if learns:
            scheduler.placement.learn_engines()
    first, *others = map(placements, schedulers)
    assert all(decisions == first for decisions in others)
    assert not any(one.source for one in first if isinstance(one, Choice))
    assert placements(moving) != first


@pytest.mark.parametrize(
    ('unread', 'expected'),
    [
        # Reads all that it lacks, if the move costs as much.
        (1050, 1050),
        (1101, 1101),
        (2000, 1110),
        (11_000, 1200),
        # Has more cached than the source.
        (500, 500),
    ],
)
def test_the_lower_cost_of_reading_and_moving_counts(
    unread: int, expected: int
) -> None:
    source = Source(engine('e0'), 1000, fixed=100, per_token=0.01)
    assert source.expected([unread]) == [expected]


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
    choice = link._decision(Placed.FromString(message.SerializeToString()))
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
