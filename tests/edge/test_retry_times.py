"""The Retry-After of refused requests."""

from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from hitchdeck_core.ids import AccountName
from hitchdeck_core.wire.spread_pb2 import Placed
from hitchdeck_edge.dispatch.dispatcher import Dispatcher
from hitchdeck_edge.links.placing_messages import decode_refusal, encode_decision
from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.refusals import Refusal, Refused
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.retry_times import (
    MAX_KNOWN,
    MAX_SECONDS,
    MIN_SECONDS,
    RetryTimes,
    usable_seconds,
)
from hitchdeck_edge.scheduling.scheduler import Unplaced
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.scheduling.waiting import WaitingQueue
from tests.common.scheduling import POOL, FakeClock, account, engine, wanted
from tests.edge.test_waiting import (
    NoScheduler,
    context_of,
    full_scheduler,
    patient,
    queue_of,
)

WINDOW = 4


def times(clock: FakeClock, granted: int = 8000) -> RetryTimes:
    """Return times for an account that was granted some tokens in the window."""
    shares = Shares(WINDOW, clock)
    shares.granted.add(account('ann'), granted)
    return RetryTimes(shares, clock)


def over_share(share_used: float) -> Unplaced:
    return Unplaced(Refusal.over_share, share_used, 0.2, 0.1)


def overloaded(queue: float) -> Unplaced:
    choice = Choice(engine('e0'), 1000, queue, reading=0.1)
    return Unplaced(Refusal.overloaded, 0, queue, 0.1, choice=choice)


@pytest.mark.parametrize(
    ('unplaced', 'waited', 'seconds'),
    [
        # A share used 1.25 times ends when a fifth of the grants has left the window.
        (over_share(1.25), 0, 0.8),
        (over_share(2), 0, 2),
        (over_share(100), 0, 3.96),
        # Within the goal of 0.6 s.
        (over_share(1.025), 0, 0.0976),
        # Its answer would be late: it does not return before its goal has passed.
        (over_share(1.025), 0.1, 0.0976),
        (over_share(1.025), 0.45, 0.15),
        (overloaded(0.2), 0.5, 0.1),
        # A room that is there already refused it: nothing changes before a review.
        (overloaded(0.13), 0.6, MIN_SECONDS),
        # A prompt that is late anyway may wait for a quarter of the goal.
        (overloaded(0.75), 0, 0.6),
        (overloaded(0.85), 0, 0.7),
        (overloaded(60), 0, MAX_SECONDS),
    ],
)
def test_the_time_is_when_the_share_or_the_engines_have_room(
    unplaced: Unplaced, waited: float, seconds: float
) -> None:
    query = replace(wanted(), waited=waited)
    told = times(FakeClock()).seconds(query, unplaced)
    assert told == pytest.approx(seconds, abs=1e-3)


@pytest.mark.parametrize(
    'unplaced',
    [Unplaced(Refusal.no_upstream, 0, 0, 0), Unplaced(Refusal.over_share, 0, 0, 0)],
)
def test_nothing_is_told_without_a_prediction(unplaced: Unplaced) -> None:
    assert times(FakeClock()).seconds(wanted(), unplaced) is None


@pytest.mark.parametrize(
    ('unplaced', 'rate'), [(over_share(1.25), 1600), (overloaded(0.75), 2000)]
)
def test_callers_come_back_in_the_order_of_their_refusals(
    unplaced: Unplaced, rate: float
) -> None:
    # Guards against callers that return together and are refused again.
    retry_times = times(FakeClock())
    told = [retry_times.seconds(wanted(), unplaced) for _ in range(4)]
    steps = [after - before for before, after in zip(told, told[1:], strict=False)]
    assert steps == pytest.approx([1000 / rate] * 3)


def test_an_account_does_not_come_back_later_for_the_refusals_of_another() -> None:
    clock = FakeClock()
    retry_times = times(clock)
    retry_times.shares.granted.add(account('bob'), 8000)
    for _ in range(10):
        retry_times.seconds(wanted('ann'), over_share(2))
    assert retry_times.seconds(wanted('bob'), over_share(2)) == pytest.approx(2)


def test_times_that_have_passed_delay_nobody() -> None:
    clock = FakeClock()
    retry_times = times(clock)
    for _ in range(100):
        assert 0 < retry_times.seconds(wanted(), over_share(2)) <= MAX_SECONDS
    clock.seconds += MAX_SECONDS + 1
    retry_times.shares.granted.add(account('ann'), 8000)
    assert retry_times.seconds(wanted(), over_share(2)) == pytest.approx(2)


def test_a_large_request_at_an_idle_scheduler_delays_nobody_for_long() -> None:
    # Guards against a time that is reckoned by the few grants of an idle scheduler:
    # every caller was told 5 s for 100 s after one refusal.
    clock = FakeClock()
    retry_times = times(clock, granted=2000)
    large = wanted(tokens=54_600)
    retry_times.seconds(large, overloaded(0.75))
    clock.seconds += 1
    retry_times.shares.granted.add(account('ann'), 200_000)
    told = retry_times.seconds(wanted(), overloaded(0.75))
    assert told == pytest.approx(0.6, abs=0.1)


def test_a_retry_keeps_its_place() -> None:
    # Guards against retries that are too early and delay other requests.
    retry_times = times(FakeClock())
    first = retry_times.seconds(wanted(), over_share(1.25))
    again = replace(wanted(), waited=0.1, returned=True)
    told = [retry_times.seconds(again, over_share(1.25)) for _ in range(3)]
    assert len(set(told)) == 1
    assert told[0] == pytest.approx(first + 1000 / 1600)


def test_an_account_with_the_name_of_a_pool_waits_for_its_share_only() -> None:
    retry_times = times(FakeClock())
    retry_times.shares.granted.add(AccountName(POOL), 8000)
    for _ in range(5):
        retry_times.seconds(wanted(), overloaded(0.75))
    told = retry_times.seconds(wanted(POOL), over_share(1.25))
    assert told == pytest.approx(0.8)


def test_the_accounts_that_are_remembered_are_bounded() -> None:
    clock = FakeClock()
    retry_times = times(clock)
    for number in range(MAX_KNOWN + 1):
        name = AccountName(str(number))
        retry_times.shares.granted.add(name, 1000)
        retry_times.seconds(wanted(name), over_share(2))
    assert len(retry_times.backlogs) == MAX_KNOWN


@pytest.mark.parametrize(
    ('seconds', 'left', 'part', 'told'),
    [
        (1, 15, 0.5, 1),
        (9, 15, 0, 2.5),
        (9, 15, 1, 5),
        (1, 0.1, 0.5, MIN_SECONDS),
        (0, 15, 0.5, 0),
    ],
)
def test_a_caller_is_told_no_more_than_it_can_use(
    seconds: float, left: float, part: float, told: float
) -> None:
    # Guards against callers that can't wait as long as predicted and return together.
    assert usable_seconds(seconds, left, part) == told


@pytest.mark.parametrize('reason', [Refusal.over_share, Refusal.overloaded])
def test_a_predicted_time_reaches_the_box(reason: Refusal) -> None:
    message = encode_decision(1, Refused(reason, 1.25))
    assert decode_refusal(Placed.FromString(message.SerializeToString())) == Refused(
        reason, 1.25
    )


def test_a_scheduler_without_predictions_is_understood() -> None:
    # Guards against a box that takes a missing time for one of 0 s.
    message = encode_decision(1, Refusal.over_share)
    assert message == Placed(id=1, decision=message.decision)
    assert decode_refusal(message) is Refusal.over_share


@pytest.mark.parametrize(
    ('query', 'predicts'),
    [(wanted(), True), (patient(longest=0.01), False)],
    ids=['no-wait', 'switched-off'],
)
def test_without_waits_or_the_mechanism_the_usual_time_is_told(
    query: PlacementQuery, *, predicts: bool
) -> None:
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    scheduler.shares.granted.add(account('ann'), 8000)
    scheduler.mechanisms = Mechanisms(predicted_retry=predicts)
    queue = queue_of(scheduler, clock)
    queue.retry_times = RetryTimes(scheduler.shares, clock)
    assert queue.place(('box', 1), query) is Refusal.overloaded


def refusing_queue(clock: FakeClock) -> WaitingQueue:
    scheduler = full_scheduler(clock)
    scheduler.shares.granted.add(account('ann'), 8000)
    queue = queue_of(scheduler, clock)
    queue.retry_times = RetryTimes(scheduler.shares, clock)
    return queue


def test_a_request_that_can_not_wait_is_told_when_to_return() -> None:
    queue = refusing_queue(FakeClock())
    refused = queue.place(('box', 1), patient(longest=0.01))
    assert refused == Refused(Refusal.overloaded, pytest.approx(0.851))


async def test_a_box_that_decides_alone_predicts_too() -> None:
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    scheduler.shares.granted.add(account('ann'), 8000)
    chooser = Chooser('a', scheduler, NoScheduler(clock), goal_wait=0.01)
    context = context_of(clock)
    assert await chooser.choose(context) is Refusal.overloaded
    assert context.retry_after == pytest.approx(0.851)


@pytest.mark.parametrize(
    ('predicted', 'left', 'least', 'most'),
    [(1.5, 15, 1.5, 1.5), (4, 6, 1, 2), (0, 6, 0, 0)],
)
async def test_a_box_tells_a_third_of_the_time_left_at_most(
    predicted: float, left: float, least: float, most: float
) -> None:
    # Guards against a time that the caller can't wait for; 0 stands for the usual one.
    clock = FakeClock()
    chooser = SimpleNamespace(backoff_left=lambda _pool: 0)
    dispatcher = Dispatcher(Mock(), chooser, Mock(), Mock(), clock)
    active = Mock(last_attempt=None)
    active.context.retry_after = predicted
    active.context.deadline = clock.seconds + left
    await dispatcher._fail(active, Refusal.over_share)
    (refusal, told), _ = active.response.fail.call_args
    assert refusal is Refusal.over_share
    assert least <= told <= most
