"""Each placement mechanism can be switched off, and then has no effect."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.scheduler import Scheduler
from hitchdeck_edge.settings import EntrySettings
from tests.common.scheduling import FakeClock, engine, offer, scheduler_of, wanted

FIRST = UpstreamName('e0')


def scheduler_with(mechanisms: Mechanisms) -> Scheduler:
    """Return a scheduler with a near engine e0 and a far one e1."""
    scheduler = scheduler_of(FakeClock(), 2, mechanisms)
    far = replace(engine('e1'), domain='b', sequence=2)
    scheduler.placement.registry.merge(far, 'test')
    return scheduler


def outcome_of(scheduler: Scheduler, one: PlacementQuery) -> str:
    """Return the engine chosen for a request, or the reason of its refusal."""
    decision = scheduler.decide(one)
    if isinstance(decision, Refusal):
        return decision.name
    return decision.upstream.name


def long_query(scheduler: Scheduler) -> PlacementQuery:
    """Return a long request whose subject is assumed to be cached at e0."""
    subjects = (wanted(subject=str(number), tokens=20_000) for number in range(100))
    return next(one for one in subjects if outcome_of(scheduler, one) == FIRST)


def flooded(scheduler: Scheduler) -> str:
    offer(scheduler, 100)
    for number in range(30):
        scheduler.shares.ask(wanted('other'))
        scheduler.place(('box', number), replace(wanted(), resumes=True))
        scheduler.end(('box', number))
    scheduler.add_open(('box', 1), FIRST, 2000)
    scheduler.add_open(('box', 2), UpstreamName('e1'), 2000)
    return _placed_or_refused(scheduler)


def nearest(scheduler: Scheduler) -> str:
    scheduler.add_open(('box', 1), FIRST, 100)
    return outcome_of(scheduler, wanted(tokens=10))


def failed(scheduler: Scheduler) -> str:
    one = long_query(scheduler)
    scheduler.placement.health.record_failure(FIRST, 'test')
    return outcome_of(scheduler, one)


def slow(scheduler: Scheduler) -> str:
    one = long_query(scheduler)
    scheduler.placement.health.record(FIRST).slowness = 30
    return outcome_of(scheduler, one)


def crowded(scheduler: Scheduler) -> str:
    for number in range(60):
        scheduler.add_open(('box', number), UpstreamName(f'e{number % 2}'), 0)
    return _placed_or_refused(scheduler)


def cached(scheduler: Scheduler) -> str:
    one = long_query(scheduler)
    assert one.prompt is not None
    scheduler.placement.prefix_cache.record_prompt(UpstreamName('e1'), one.prompt)
    return outcome_of(scheduler, one)


def busy_with_the_subject(scheduler: Scheduler) -> str:
    one = long_query(scheduler)
    scheduler.add_open(('box', 1), FIRST, 40_000)
    return outcome_of(scheduler, one)


def worth_the_wait(scheduler: Scheduler) -> str:
    one = long_query(scheduler)
    scheduler.add_open(('box', 1), FIRST, 12_000)
    return outcome_of(scheduler, one)


def source_of_a_busy_subject(scheduler: Scheduler) -> str:
    stated = {'moves': True, 'kvTokenBytes': 18_432, 'linkMbps': 550_000}
    limits = {'slots': 8, 'kvCapacity': 100_000, **stated}
    offer(scheduler, 10_000_000, engine=limits)
    one = replace(long_query(scheduler), goal=10)
    scheduler.place(('box', 1), one)
    scheduler.start(('box', 1))
    scheduler.add_open(('box', 2), FIRST, 400_000)
    decision = scheduler.decide(one)
    assert isinstance(decision, Choice)
    return decision.source.name if decision.source else 'none'


def _placed_or_refused(scheduler: Scheduler) -> str:
    decision = scheduler.decide(wanted())
    return decision.name if isinstance(decision, Refusal) else 'placed'


@pytest.mark.parametrize(
    ('name', 'play', 'with_it', 'without'),
    [
        ('shares', flooded, 'over_share', 'placed'),
        ('near_first', nearest, 'e0', 'e1'),
        ('ejection', failed, 'e1', 'e0'),
        ('slowness', slow, 'e1', 'e0'),
        ('places', crowded, 'overloaded', 'placed'),
        ('prefix_memory', cached, 'e1', 'e0'),
        ('another_engine', busy_with_the_subject, 'e1', 'overloaded'),
        ('cache_moves', source_of_a_busy_subject, 'e0', 'none'),
        ('reading_again', worth_the_wait, 'e0', 'e1'),
    ],
)
def test_a_mechanism_decides_only_while_it_is_on(
    name: str,
    play: Callable[[Scheduler], str],
    with_it: str,
    without: str,
) -> None:
    assert play(scheduler_with(Mechanisms())) == with_it
    assert play(scheduler_with(Mechanisms(**{name: False}))) == without


def test_a_mechanism_that_does_not_exist_is_an_error() -> None:
    with pytest.raises(TypeError, match='unknown'):
        Mechanisms(unknown=False)  # type: ignore[call-arg]


def test_a_mechanism_is_on_or_off_and_nothing_else() -> None:
    with pytest.raises(ValueError, match='maybe'):
        Mechanisms(shares='maybe')  # type: ignore[arg-type]


@pytest.mark.parametrize(('heeded', 'stated'), [(True, 0.4), (False, 0)])
def test_limits_are_heeded_only_while_the_mechanism_is_on(
    heeded: bool, stated: float
) -> None:
    address = '127.0.0.1:1'
    settings = EntrySettings(
        box='b',
        domain='a',
        listen=address,
        ready_listen=address,
        capacity=0.4,
        mechanisms=Mechanisms(box_resources=heeded),
    )
    assert settings.capacity == stated
