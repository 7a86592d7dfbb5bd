"""Refusals beside engines with room are counted and name the limit that binds."""

from dataclasses import replace

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.queue_limit import (
    Cause,
    cause_of_refusal,
    has_room,
)
from hitchdeck_edge.scheduling.scheduler import Scheduler
from hitchdeck_edge.serving.metrics import EntryMetrics
from tests.common.scheduling import FakeClock, engine, offer, scheduler_of, wanted

GOAL = 0.6
ENGINE = UpstreamName('e0')


@pytest.mark.parametrize(
    ('queue', 'reading', 'fits', 'waited', 'cause'),
    [
        (0.3, 0.1, True, 0, Cause.share),
        (0.55, 0.1, True, 0, Cause.queue),
        (0.55, 0.1, False, 0, Cause.places),
        (0.3, 0.7, True, 0, Cause.reading),
        (0.3, 0.1, True, 0.3, Cause.time_left),
    ],
)
def test_a_refusal_names_the_limit_that_binds(
    queue: float, reading: float, *, fits: bool, waited: float, cause: Cause
) -> None:
    choice = Choice(engine('e0'), 1000, queue, reading=reading, fits=fits)
    assert cause_of_refusal(replace(wanted(), waited=waited), choice) is cause


def test_a_refusal_without_an_upstream_names_it() -> None:
    assert cause_of_refusal(wanted(), None) is Cause.no_upstream


@pytest.mark.parametrize(
    ('running', 'room'),
    [
        ([], False),
        ([0, 0], True),
        ([3, 4], True),
        ([4, 4], False),
        ([9, 0, 0, 0], False),
    ],
)
def test_room_is_half_of_the_slots_and_no_engine_with_a_queue(
    running: list[int], *, room: bool
) -> None:
    assert has_room(running, 8) is room


def beyond_its_share(scheduler: Scheduler) -> None:
    offer(scheduler, 100)
    for number in range(30):
        scheduler.shares.ask(wanted('other'))
        scheduler.place(('box', number), replace(wanted(), resumes=True))
        scheduler.end(('box', number))
    scheduler.add_open(('box', 1), ENGINE, 2000)


@pytest.mark.parametrize(('open_requests', 'counted'), [(1, 1), (6, 0)])
def test_refusals_are_counted_only_beside_room(
    open_requests: int, counted: int
) -> None:
    # Guards against refusals for a share, beside idle engines, that nobody sees.
    scheduler = scheduler_of(FakeClock(), 1)
    beyond_its_share(scheduler)
    for number in range(1, open_requests):
        scheduler.add_open(('other', number), ENGINE, 0)
    assert scheduler.decide(wanted()) is Refusal.over_share
    assert scheduler.refused_beside_room['share'] == counted


def test_the_metrics_page_shows_the_causes() -> None:
    metrics = EntryMetrics(FakeClock())
    metrics.refused_beside_room = {'share': 2}
    line = 'hitchdeck_refused_beside_room_total{cause="share"} 2'
    assert line in metrics.render().splitlines()
