"""The rate limit of cold upstreams holds over all processes together."""

import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.hub.placing import FLEET_SIZE_WINDOW_SECONDS, FleetSize
from hitchdeck_edge.links.records import decode_upstream, encode_upstream
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.cold_budget import ColdBudget
from hitchdeck_edge.state.cold import MAX_COLD_SECONDS, ColdUpstreams
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.evacuations import domain_closer
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.documents import read_document
from tests.common.scheduling import FakeClock, engine, offer, scheduler_of, wanted

NAME = UpstreamName('e0')
RATE = 9.8
OVERRUN = 1.5
SLACK = 5
"""Requests; all boxes together may send ``RATE * OVERRUN + SLACK`` in a second."""


@pytest.mark.parametrize(
    ('reports', 'left'),
    [
        ([(1, 3.0)], 3.0),
        ([(1, 3.0), (2, 0.0)], 0.0),
        ([(2, 0.0), (1, 3.0)], 0.0),
        ([(1, 0.0), (2, 3.0)], 3.0),
        ([(1, 1e9)], MAX_COLD_SECONDS),
    ],
)
def test_the_latest_report_says_how_long_an_upstream_is_cold(
    reports: list[tuple[int, float]], left: float
) -> None:
    cold = ColdUpstreams(FakeClock())
    for sequence, seconds in reports:
        cold.report(NAME, sequence, seconds)
    assert cold.seconds_left(NAME) == pytest.approx(left)
    assert (NAME in cold.cold_now()) is bool(left)


def test_an_assumed_cold_period_outlasts_an_earlier_report() -> None:
    clock = FakeClock()
    cold = ColdUpstreams(clock)
    cold.assume(NAME, 3.0)
    cold.report(NAME, 7, 0.0)
    assert cold.cold_now() == {NAME}
    clock.seconds += 3
    assert not cold.cold_now()


def test_a_relayed_report_says_what_is_left_and_does_not_circulate() -> None:
    clock = FakeClock()
    first, second = (Registry(clock, Signal()) for _ in range(2))
    first.merge(replace(engine('e0'), cold_left=3.0), 'report')
    clock.seconds += 1
    record = encode_upstream(first.since(0)[0], first.cold.seconds_left(NAME))
    assert second.merge(decode_upstream(record), 'hub')
    assert second.cold.seconds_left(NAME) == pytest.approx(2)
    clock.seconds += 1
    seen = first.changes
    back = encode_upstream(second.since(0)[0], second.cold.seconds_left(NAME))
    assert not first.merge(decode_upstream(back), 'hub')
    assert first.changes == seen


def test_a_report_that_only_counts_down_is_not_propagated() -> None:
    clock = FakeClock()
    registry = Registry(clock, Signal())
    registry.merge(replace(engine('e0'), cold_left=3.0), 'report')
    seen = registry.changes
    clock.seconds += 1.2
    later = replace(engine('e0'), sequence=2, cold_left=1.8)
    assert not registry.merge(later, 'report')
    assert registry.changes == seen
    cold_again = replace(engine('e0'), sequence=3, cold_left=3.0)
    assert registry.merge(cold_again, 'report')


def test_upstreams_of_a_reopened_domain_count_as_cold() -> None:
    clock = FakeClock()
    scheduler = scheduler_of(clock, 2)
    registry = scheduler.placement.registry
    offer(scheduler, 1000, coldS=3.0, coldPerS=RATE)
    close = domain_closer(registry, scheduler.documents)
    close(frozenset('a'))
    assert not registry.cold.cold_now()
    close(frozenset())
    assert len(registry.cold.cold_now()) == 2
    assert registry.cold.seconds_left(NAME) == pytest.approx(3)


def test_a_domain_may_be_reopened_before_any_document_came() -> None:
    registry = Registry(FakeClock(), Signal())
    registry.merge(engine('e0'), 'test')
    close = domain_closer(registry, Documents(read_document, Signal()))
    close(frozenset('a'))
    close(frozenset())
    assert not registry.cold.cold_now()


def test_a_scheduler_limits_a_cold_engine_to_its_rate_and_uses_the_other() -> None:
    clock = FakeClock()
    scheduler = scheduler_of(clock, 2)
    offer(scheduler, 10_000_000, coldS=3.0, coldPerS=RATE)
    scheduler.placement.registry.cold.report(NAME, 9, 10.0)
    sent: Counter[str] = Counter()
    for number in range(400):
        clock.seconds += 0.02
        decision = scheduler.place(('box', number), wanted(subject=str(number)))
        assert isinstance(decision, Choice)
        sent[decision.upstream.name] += 1
        scheduler.end(('box', number))
    assert 4 * RATE < sent['e0'] <= 8 * RATE


def test_a_request_is_refused_at_once_where_all_engines_are_cold_and_full() -> None:
    clock = FakeClock()
    scheduler = scheduler_of(clock, 1)
    offer(scheduler, 10_000_000, coldS=3.0, coldPerS=RATE)
    scheduler.placement.registry.cold.report(NAME, 9, 10.0)
    clock.seconds += 1
    decisions = [scheduler.place(('box', n), wanted()) for n in range(3)]
    assert decisions[1:] == [Refusal.no_upstream, Refusal.no_upstream]


class AcceptingScheduler:
    """A link to a scheduler that accepts every request."""

    def __init__(self, clock: FakeClock, choice: Choice) -> None:
        self.now = clock
        self.scheduler = 'hub'
        self.choice = choice

    async def place(self, _wanted: PlacementQuery) -> Choice:
        return self.choice


async def test_a_box_asks_the_scheduler_when_it_has_no_candidate_itself() -> None:
    clock = FakeClock()
    local = scheduler_of(clock, 2)
    offer(local, 10_000_000, coldS=3.0, coldPerS=RATE)
    cold = local.placement.registry.cold
    cold.report(NAME, 9, 10.0)
    local.placement.cold_budget.rate_fraction = float
    choice = Choice(engine('e0'), 0, 0)
    chooser = Chooser('a', local, AcceptingScheduler(clock, choice))
    chooser.backpressure.pause(UpstreamName('e1'), 5.0)
    call = replace(wanted(), avoid=frozenset((UpstreamName('e1'),)))
    assert not local.placement.candidates(call)
    context = SimpleNamespace(placement_query=lambda _domain: wanted(), decided_by='')
    assert await chooser.choose(context) == choice


@dataclass
class Decider:
    """One of many processes that place requests without communicating."""

    budget: ColdBudget

    def send(self) -> bool:
        """Send a request to the cold engine if its budget allows."""
        if not self.budget.usable([engine('e0')]):
            return False
        self.budget.spend(engine('e0'))
        return True


def decider(clock: FakeClock, part: float) -> Decider:
    cold = ColdUpstreams(clock)
    cold.report(NAME, 1, MAX_COLD_SECONDS)
    budget = ColdBudget(clock, cold, lambda _pool: RATE)
    budget.rate_fraction = lambda: part
    return Decider(budget)


def max_sends_per_second(times: list[float]) -> int:
    window: deque[float] = deque()
    most = 0
    for at in times:
        window.append(at)
        while window[0] <= at - 1:
            window.popleft()
        most = max(most, len(window))
    return most


def simulate_sends(
    clock: FakeClock,
    deciders: list[Decider],
    demand: Callable[[int], bool],
    seconds: int,
) -> list[float]:
    """Return the send times; each decider tries every 20 ms while there is demand."""
    return list(_sends(clock, deciders, demand, seconds))


def _sends(
    clock: FakeClock,
    deciders: list[Decider],
    demand: Callable[[int], bool],
    seconds: int,
) -> Iterator[float]:
    began = clock.seconds
    for step in range(seconds * 50):
        clock.seconds = began + step / 50
        for one in deciders:
            if demand(step) and one.send():
                yield clock.seconds


@given(
    parts=st.lists(st.integers(1, 60), min_size=1, max_size=4),
    pauses=st.lists(st.integers(1, 150), min_size=1, max_size=6),
)
@settings(max_examples=40, deadline=None)
def test_schedulers_that_share_a_fleet_keep_the_budget_of_one(
    parts: list[int], pauses: list[int]
) -> None:
    clock = FakeClock()
    deciders = [decider(clock, part / sum(parts)) for part in parts]
    on = [number % 2 == 0 for number, pause in enumerate(pauses) for _ in range(pause)]

    def demand(step: int) -> bool:
        return on[step % len(on)]

    times = simulate_sends(clock, deciders, demand, 10)
    assert max_sends_per_second(times) <= RATE * OVERRUN + SLACK


@pytest.mark.parametrize('boxes', [3, 12, 96, 300])
def test_boxes_that_place_alone_keep_the_budget_of_one(boxes: int) -> None:
    random.seed(7)
    clock = FakeClock()
    deciders = [decider(clock, 1 / boxes) for _ in range(boxes)]
    times = simulate_sends(clock, deciders, lambda step: step % 150 < 100, 20)
    assert times
    assert max_sends_per_second(times) <= RATE * OVERRUN + SLACK


def test_disconnected_boxes_count_toward_the_fleet_size_for_a_while() -> None:
    clock = FakeClock()
    counts = [96]
    fleet = FleetSize(lambda: counts[0], clock)
    assert fleet.largest() == 96
    counts[0] = 40
    assert fleet.largest() == 96
    clock.seconds += FLEET_SIZE_WINDOW_SECONDS + 1
    assert fleet.largest() == 40
