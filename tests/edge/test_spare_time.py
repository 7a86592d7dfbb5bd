"""How much of an account's excess the engines get."""

from dataclasses import replace

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.scheduling.queue_limit import max_queue_seconds
from hitchdeck_edge.scheduling.spare_time import SPARE_WAIT_FRACTION, UPDATE_SECONDS
from tests.common.scheduling import POOL, FakeClock, engine, scheduler_of, wanted

GOAL = 0.6
TOKENS_PER_SECOND = 40_000


@pytest.mark.parametrize(('part', 'left'), [(0.5, True), (0.99, True), (1.1, False)])
def test_engines_have_time_to_spare_up_to_a_part_of_the_goal(
    part: float, left: bool
) -> None:
    # Guards against excess that delays accounts within their share at busy engines.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 2)
    wait = part * SPARE_WAIT_FRACTION * GOAL
    for name in ('e0', 'e1'):
        tokens = int(wait * TOKENS_PER_SECOND) - 40
        scheduler.add_open(('box', hash(name)), UpstreamName(name), tokens)
    assert scheduler.spare_time.is_left(POOL, GOAL) is left


def test_the_mean_wait_is_worked_out_anew_after_a_while() -> None:
    # Guards against a limit by a load that has ended.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 1)
    scheduler.add_open(('box', 1), UpstreamName('e0'), 40_000)
    assert not scheduler.spare_time.is_left(POOL, GOAL)
    scheduler.end(('box', 1))
    clock.seconds += 2 * UPDATE_SECONDS
    assert scheduler.spare_time.is_left(POOL, GOAL)


def test_busy_engines_get_no_more_excess_than_without_the_queue() -> None:
    # Guards against a softer limit for requests that may wait where nothing is idle.
    choice = Choice(engine('e0'), 1000, 0.1, 0.1)
    patient = replace(wanted(), longest_wait=0.2)
    busy = max_queue_seconds(patient, choice, 2, spare=False)
    assert busy == max_queue_seconds(wanted(), choice, 2)
    assert busy < max_queue_seconds(patient, choice, 2, spare=True)
