"""Engines that lose some answers keep getting requests; crashed ones do not."""

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.health import FIRST_EJECTION_SECONDS
from hitchdeck_edge.scheduling.scheduler import Scheduler
from tests.common.scheduling import FakeClock, scheduler_of, wanted

FLAKY = UpstreamName('e0')
SOUND = UpstreamName('e1')
STEP_SECONDS = 0.05
"""Time between two requests to an engine."""


def usable(scheduler: Scheduler) -> set[str]:
    return {one.name for one in scheduler.placement.candidates(wanted())}


def chosen_by(decision: Choice | Refusal) -> UpstreamName:
    """Return the engine of a decision that is not a refusal."""
    assert isinstance(decision, Choice)
    return decision.upstream.name


def lose(scheduler: Scheduler, number: int) -> None:
    """Open a request at the flaky engine and report its answer as lost."""
    scheduler.add_open(('box', number), FLAKY, 10)
    scheduler.placement.health.record_failure(FLAKY, 'answer lost')
    scheduler.end(('box', number))


def serve(scheduler: Scheduler, number: int) -> None:
    """Open a request at the flaky engine and report its first event."""
    scheduler.add_open(('box', number), FLAKY, 10)
    scheduler.start(('box', number))
    scheduler.end(('box', number))


def test_a_first_event_ends_the_ejection_of_an_engine() -> None:
    # Guards against engines that lose two of five answers being unused for seconds: in
    # a fleet with 60% of such engines, half of all requests were refused.
    scheduler = scheduler_of(FakeClock(), 2)
    lose(scheduler, 1)
    assert usable(scheduler) == {SOUND}
    serve(scheduler, 2)
    assert usable(scheduler) == {FLAKY, SOUND}


def test_ejections_do_not_grow_while_an_engine_serves_other_requests() -> None:
    # Guards against the scheduler counting failures as consecutive that are not.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 2)
    for number in range(20):
        lose(scheduler, 2 * number)
        serve(scheduler, 2 * number + 1)
        clock.seconds += STEP_SECONDS
    lose(scheduler, 100)
    clock.seconds += FIRST_EJECTION_SECONDS + 0.001
    assert FLAKY in usable(scheduler)


@pytest.mark.parametrize('failures', [2, 3, 4])
def test_an_engine_without_any_sign_of_life_stays_ejected(failures: int) -> None:
    # Guards against a crashed engine getting requests because others are served.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 2)
    for number in range(failures):
        lose(scheduler, number)
    scheduler.add_open(('box', 100), SOUND, 10)
    scheduler.start(('box', 100))
    clock.seconds += FIRST_EJECTION_SECONDS + 0.001
    assert usable(scheduler) == {SOUND}


def test_a_sound_engine_is_preferred_to_a_flaky_one_of_equal_load() -> None:
    # Guards against resumed streams and lost answers where a sound engine has room.
    scheduler = scheduler_of(FakeClock(), 2)
    for number in range(10):
        lose(scheduler, 2 * number)
        serve(scheduler, 2 * number + 1)
    decisions = (scheduler.decide(wanted(subject=str(one))) for one in range(20))
    assert {chosen_by(decision) for decision in decisions} == {SOUND}


def test_a_flaky_engine_is_used_where_the_sound_one_has_a_long_queue() -> None:
    # Guards against requests being refused beside engines that serve most of theirs.
    scheduler = scheduler_of(FakeClock(), 2)
    lose(scheduler, 1)
    serve(scheduler, 2)
    scheduler.add_open(('box', 3), SOUND, 40_000)
    assert chosen_by(scheduler.decide(wanted())) == FLAKY
