"""Switches of the queueing limits where requests may wait."""

from dataclasses import replace

import pytest

from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.queue_limit import max_queue_seconds
from tests.common.scheduling import (
    FakeClock,
    engine,
    offer,
    scheduler_of,
    wanted,
)
from tests.edge.test_waiting import (
    ENGINE,
    FULL,
    GOAL,
    full_scheduler,
    patient,
    queue_of,
)


@pytest.mark.parametrize(
    ('late_retries', 'served'), [(True, True), (False, False)], ids=['on', 'off']
)
def test_a_retry_may_be_late_rather_than_refused_again(
    *, late_retries: bool, served: bool
) -> None:
    # Guards against a retry, the last that its caller makes, which is refused just
    # before its goal although one that comes just after it is served.
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    scheduler.mechanisms = Mechanisms(late_retries=late_retries)
    queue = queue_of(scheduler, clock)
    short = patient(longest=0.01)
    assert queue.place(('box', 1), short) is Refusal.overloaded
    clock.seconds += 0.55
    scheduler.add_open(FULL, ENGINE, 4_000)
    decision = queue.place(('box', 2), short)
    assert isinstance(decision, Choice) is served


@pytest.mark.parametrize(
    ('longest', 'goal_first', 'placed'),
    [(GOAL, True, 'e1'), (GOAL, False, 'e0'), (0, True, 'e0')],
    ids=['on', 'off', 'no-waits'],
)
def test_a_long_prompt_goes_where_it_is_in_time(
    longest: float, *, goal_first: bool, placed: str
) -> None:
    # Guards against a long prompt that is sent to the engine which has its shared part,
    # and is late there, beside an idle engine that would read all of it in time.
    scheduler = scheduler_of(FakeClock(), 2)
    scheduler.mechanisms = Mechanisms(goal_first=goal_first)
    shared, own = Part(PartId('s'), 2_000), Part(PartId('own'), 19_000)
    query = replace(patient(longest=longest), prompt=Prompt(21_000, 0, (shared, own)))
    scheduler.placement.prefix_cache.record_prompt(ENGINE, Prompt(2_000, 0, (shared,)))
    scheduler.add_open(FULL, ENGINE, 5_400)
    found = scheduler.attempt(query)
    assert isinstance(found, Choice)
    assert found.upstream.name == placed


@pytest.mark.parametrize(
    ('reading', 'share_used', 'longest', 'even'),
    [
        (0, 0.8, 0.6, 0.6),
        (0, 1.6, 0.15, 0.15),
        (0.3, 1.6, 0.075, 0.15),
        (0.45, 1.6, 0.0375, 0.15),
        (0.45, 0.8, 0.15, 0.15),
        (0.45, 3.2, 0.009375, 0.0375),
        # A prompt that is late anyway may wait for a part of a quarter of its goal.
        (0.7, 1.6, 0.0375, 0.0375),
    ],
)
def test_beyond_the_share_prompts_of_all_sizes_may_queue_alike(
    reading: float, share_used: float, longest: float, even: float
) -> None:
    # Guards against the largest prompts of an account getting none of its share: short
    # ones keep every queue longer than what was left to them.
    choice = Choice(engine('e0'), 100, 0, reading=reading)
    limits = [
        max_queue_seconds(wanted(), choice, share_used, yielding=False, even_sizes=one)
        for one in (False, True)
    ]
    assert limits == pytest.approx([longest, even])


@pytest.mark.parametrize(
    'name', ['even_sizes', 'goal_first', 'late_retries', 'prediction_review']
)
def test_without_waits_a_mechanism_changes_no_decision(name: str) -> None:
    clock = FakeClock()
    on, off = (scheduler_of(clock, 2) for _ in range(2))
    off.mechanisms = Mechanisms(**{name: False})
    queues = [queue_of(on, clock), queue_of(off, clock)]
    for one in (on, off):
        offer(one, 4000)
    for number in range(200):
        clock.seconds += 0.01
        tokens = 20_000 if number % 5 == 0 else 2000
        query = wanted('big' if number % 3 else 'ann', str(number % 7), tokens)
        first, second = (one.place(('box', number), query) for one in queues)
        assert first == second
        assert [one.review() for one in queues] == [[], []]
