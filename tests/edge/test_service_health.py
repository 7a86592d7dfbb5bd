"""Plain services by what the whole fleet observes of them."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from hitchdeck_core.ids import Address, PoolName, UpstreamName
from hitchdeck_core.wire.spread_pb2 import PlacedFrame, PlacingFrame
from hitchdeck_edge.links.service_exchange import ServiceExchange
from hitchdeck_edge.links.service_messages import (
    decode_report,
    decode_states,
    encode_reports,
    encode_states,
)
from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.scheduling.open_work import OpenWorkEntry
from hitchdeck_edge.scheduling.placement import Placement
from hitchdeck_edge.scheduling.service_calls import (
    MIN_UNANSWERED_SECONDS,
    UNANSWERED_FRACTION,
    CallEnd,
    ServiceCalls,
    unanswered_after,
)
from hitchdeck_edge.scheduling.service_health import (
    HALF_LIFE_SECONDS,
    MAX_UNANSWERED_SECONDS,
    REFRESH_SECONDS,
    RecentCalls,
    ServiceReport,
    ServiceState,
    ServiceTable,
)
from hitchdeck_edge.scheduling.service_view import (
    MAX_AGE_SECONDS,
    RISKY_TRIALS_AFTER_SECONDS,
    ServiceView,
)
from hitchdeck_edge.state.tallies import MAX_UINT32
from hitchdeck_platform.settings import decode_settings
from tests.common.scheduling import FakeClock, scheduler_of, wanted
from tests.edge.test_outside_numbers import settings_fields

APP = PoolName('app')
FIRST = UpstreamName('p0')
SECOND = UpstreamName('p1')


def lost(box: str, ago: float = 0.1) -> tuple[str, ServiceReport]:
    """Return the report of a box whose call was sent some time ago, unanswered."""
    return box, ServiceReport(FIRST, 1, unanswered_ago=ago)


def heard(box: str, ago: float = 0.0) -> tuple[str, ServiceReport]:
    """Return the report of a box that got a response some time ago."""
    return box, ServiceReport(FIRST, 0, 1, 0.02, heard_ago=ago)


def table_with(
    clock: FakeClock, *reports: tuple[str, ServiceReport]
) -> tuple[ServiceTable, bool]:
    """Return a table with reports, and whether the last turned its upstream silent."""
    table = ServiceTable(clock)
    turned = [table.apply(box, report) for box, report in reports]
    return table, turned[-1]


@pytest.mark.parametrize(
    ('reports', 'silent'),
    [
        ([lost('a')], False),
        ([lost('a'), lost('a')], False),
        ([lost('a'), lost('b')], True),
        ([heard('c', 0.2), lost('a'), lost('b')], True),
        # The response came after both calls had been sent.
        ([heard('c'), lost('a'), lost('b')], False),
        ([lost('a', 0.3), heard('c', 0.2), lost('b')], False),
        ([lost('a'), lost('b'), heard('c')], False),
    ],
)
def test_an_upstream_is_silent_if_two_boxes_and_no_other_got_no_response(
    reports: list[tuple[str, ServiceReport]], *, silent: bool
) -> None:
    # Guards against avoiding an upstream for one lost connection, or one that answers.
    table, turned = table_with(FakeClock(), *reports)
    assert (FIRST in table.silent) == silent
    assert turned == (silent and reports[-1][1].heard_ago is None)


def test_silence_ends_with_the_boxes_that_reported_it_and_with_time() -> None:
    clock = FakeClock()
    table, _ = table_with(clock, lost('a'), lost('b'))
    table.drop_box('b')
    assert not table.silent
    table.apply(*lost('b'))
    table.keep({FIRST})
    assert table.silent
    # Nobody tries it, so that there is no further report.
    clock.seconds += MAX_UNANSWERED_SECONDS
    table.keep({FIRST})
    assert not table.silent
    table.keep(set())
    assert not table.records


@pytest.mark.parametrize(
    ('report', 'told'),
    [
        (ServiceReport(FIRST, 1), False),
        (ServiceReport(FIRST, 2), True),
        (ServiceReport(FIRST, 0, succeeded=20, seconds=0.5), False),
        (ServiceReport(FIRST, 0, succeeded=20, seconds=2.0), True),
        (ServiceReport(FIRST, 0, failed=1), False),
        (ServiceReport(FIRST, 0, failed=10), True),
    ],
)
def test_a_box_is_told_only_of_changes_that_matter(
    report: ServiceReport, *, told: bool
) -> None:
    # Guards against a message to each of 80 boxes for each of 100 calls a second.
    clock = FakeClock()
    table, _ = table_with(
        clock, ('a', ServiceReport(FIRST, 0, succeeded=20, seconds=0.4))
    )
    assert [one.upstream for one in table.changes_for('b')] == [FIRST]
    assert not table.changes_for('b')
    table.apply('a', report)
    clock.seconds += 2 * REFRESH_SECONDS
    assert bool(table.changes_for('b')) == told
    assert not table.changes_for('b')


def test_an_upstream_that_fails_fast_does_not_look_fast() -> None:
    # Guards against sending all calls of the fleet to the upstream that fails them.
    recent = RecentCalls()
    recent.add(ServiceReport(FIRST, 0, 20, 2), 0)
    assert recent.mean_seconds(0) == pytest.approx(0.1)
    for second in range(20):
        recent.add(ServiceReport(FIRST, 0, failed=20), second)
    assert recent.mean_seconds(20) == pytest.approx(0.1)


def test_a_box_is_told_the_calls_of_the_others() -> None:
    table, _ = table_with(
        FakeClock(), ('a', ServiceReport(FIRST, 4)), ('b', ServiceReport(FIRST, 3))
    )
    assert [one.running for one in table.changes_for('a')] == [3]
    assert [one.running for one in table.changes_for('c')] == [7]
    table.drop_box('a')
    assert [one.running for one in table.changes_for('c')] == [3]


def test_an_upstream_without_recent_calls_counts_as_good() -> None:
    # Guards against an upstream that was slow once and is then never tried again.
    recent = RecentCalls()
    recent.add(ServiceReport(FIRST, 0, 20, 10, 20), 0)
    assert recent.mean_seconds(1) == pytest.approx(0.5)
    assert recent.failure_rate(1) == pytest.approx(0.5)
    unused_until = 10 * HALF_LIFE_SECONDS
    assert round(recent.mean_seconds(unused_until), 1) == 0
    assert round(recent.failure_rate(unused_until), 1) == 0


@pytest.mark.parametrize(
    ('how', 'report', 'at_once'),
    [
        (CallEnd.succeeded, ServiceReport(FIRST, 0, 1, 0.5, heard_ago=0), 0),
        (CallEnd.refused, ServiceReport(FIRST, 0, failed=1, heard_ago=0), 0),
        (CallEnd.lost, ServiceReport(FIRST, 0, failed=1, unanswered_ago=0.5), 1),
        (CallEnd.abandoned, ServiceReport(FIRST, 0), 0),
    ],
)
def test_a_box_reports_each_call_once(
    how: CallEnd, report: ServiceReport, at_once: int
) -> None:
    clock = FakeClock()
    calls = ServiceCalls(clock)
    sent: list[int] = []
    calls.send_now = lambda: sent.append(1)
    call = calls.begin(FIRST)
    assert calls.take_reports() == [ServiceReport(FIRST, 1)]
    assert not calls.take_reports()
    clock.seconds += 0.5
    calls.end(call, how)
    assert calls.take_reports() == [report]
    assert not calls.take_reports()
    assert len(sent) == at_once


def test_a_call_that_is_answered_late_is_reported_twice_and_in_flight_to_anyone() -> (
    None
):
    clock = FakeClock()
    calls = ServiceCalls(clock)
    call = calls.begin(FIRST)
    clock.seconds += 0.25
    calls.mark_unanswered(call)
    calls.mark_unanswered(call)
    assert calls.take_reports() == [ServiceReport(FIRST, 1, unanswered_ago=0.25)]
    calls.begin_stream({})
    assert calls.take_reports() == [ServiceReport(FIRST, 1)]
    calls.end(call, CallEnd.succeeded)
    assert calls.take_reports()[0].heard_ago == 0
    assert calls.unanswered == 1
    calls.keep(set())
    assert not calls.records


@pytest.mark.parametrize(
    'report',
    [
        ServiceReport(FIRST, 3, 2, 0.25, 1, 0.0, 0.5),
        ServiceReport(FIRST, 0, heard_ago=None, unanswered_ago=0.0),
        ServiceReport(FIRST, 0, heard_ago=MAX_UINT32 / 1000),
    ],
)
def test_reports_and_states_arrive_as_they_were_sent(report: ServiceReport) -> None:
    frame = PlacingFrame(services=encode_reports([report]))
    sent = PlacingFrame.FromString(frame.SerializeToString())
    assert [decode_report(one) for one in sent.services] == [report]
    state = ServiceState(FIRST, 3, 0.25, 0.5, silent=True)
    placed = PlacedFrame(services=encode_states([state]))
    told = PlacedFrame.FromString(placed.SerializeToString())
    assert decode_states(told.services) == [state]


def test_a_report_of_a_box_that_was_alone_for_long_can_be_encoded() -> None:
    messages = encode_reports([ServiceReport(FIRST, 0, unanswered_ago=1e8)])
    assert [one.unanswered_ms for one in messages] == [MAX_UINT32]


def call_query(*, repeatable: bool = True) -> PlacementQuery:
    return replace(wanted(), pool=APP, slots=0, prompt=None, repeatable=repeatable)


def service(name: UpstreamName, domain: str = 'a') -> Upstream:
    return Upstream(name, APP, Address(f'{name}:1'), domain, 6, Phase.serving, 1)


def never() -> float:
    """Return a draw by which no silent service is tried."""
    return 1


def always() -> float:
    """Return a draw by which a silent service is tried whenever one may be."""
    return 0


def placement_with(
    clock: FakeClock, *states: ServiceState, mechanisms: Mechanisms | None = None
) -> Placement:
    """Return the placement of a box with two near services, and the fleet's view."""
    placement = scheduler_of(clock, 0, mechanisms or Mechanisms()).placement
    for name in (FIRST, SECOND):
        placement.registry.merge(service(name), 'test')
    placement.services.view = ServiceView(clock, mechanisms=placement.mechanisms)
    placement.services.view.draw = never
    placement.services.view.update(states)
    return placement


def chosen(placement: Placement, query: PlacementQuery | None = None) -> set[str]:
    """Return the upstreams that get any of several calls."""
    one = query or call_query()
    choices = [placement.choose(one) for _ in range(20)]
    return {choice.upstream.name for choice in choices if isinstance(choice, Choice)}


SLOW = ServiceState(FIRST, seconds=0.06)
QUICK = ServiceState(SECOND, seconds=0.02)


@pytest.mark.parametrize(
    ('states', 'names'),
    [
        ([], {FIRST, SECOND}),
        ([ServiceState(FIRST, silent=True)], {SECOND}),
        ([SLOW, QUICK], {SECOND}),
        ([replace(SLOW, seconds=0.02), QUICK], {FIRST, SECOND}),
        ([replace(QUICK, upstream=FIRST, failure_rate=0.5), QUICK], {SECOND}),
        # Failing fast is not being fast.
        ([ServiceState(FIRST, failure_rate=1), replace(QUICK, seconds=0.06)], {SECOND}),
        # The calls of all boxes count, in relation to the 6 places.
        ([replace(QUICK, upstream=FIRST, running=2), QUICK], {SECOND}),
        ([replace(SLOW, running=0), replace(QUICK, running=9)], {SECOND}),
        ([replace(SLOW, running=0), replace(QUICK, running=15)], {FIRST}),
        # If nobody responds, any may.
        (
            [ServiceState(FIRST, silent=True), ServiceState(SECOND, silent=True)],
            {FIRST, SECOND},
        ),
    ],
)
def test_silent_slow_and_failing_services_are_avoided(
    states: list[ServiceState], names: set[str]
) -> None:
    assert chosen(placement_with(FakeClock(), *states)) == names


def test_the_own_calls_of_a_box_count_beside_those_of_the_others() -> None:
    placement = placement_with(
        FakeClock(),
        replace(QUICK, upstream=FIRST, running=2),
        replace(QUICK, running=3),
    )
    assert chosen(placement) == {FIRST}
    for _ in range(2):
        OpenWorkEntry(placement.open_work, FIRST, 0)
    # What hubs relay of the other boxes is not counted a second time.
    placement.open_work.others.running[SECOND] = 9
    assert chosen(placement) == {SECOND}


def test_a_summary_of_a_scheduler_that_is_gone_is_not_used() -> None:
    clock = FakeClock()
    placement = placement_with(clock, ServiceState(FIRST, silent=True), QUICK)
    assert chosen(placement) == {SECOND}
    clock.seconds += MAX_AGE_SECONDS + 0.1
    assert chosen(placement) == {FIRST, SECOND}
    assert placement.services.view is not None
    # The stream is open, but the scheduler had nothing to tell.
    placement.services.view.connected = True
    assert chosen(placement) == {SECOND}
    placement.services.view.connected = False
    assert chosen(placement) == {FIRST, SECOND}
    placement.services.view.update([])
    assert chosen(placement) == {SECOND}
    placement.services.view.clear()
    assert chosen(placement) == {FIRST, SECOND}


def without_view(clock: FakeClock) -> Placement:
    placement = placement_with(clock, ServiceState(FIRST, silent=True))
    placement.services.view = None
    return placement


def switched_off(clock: FakeClock) -> Placement:
    mechanisms = Mechanisms(service_health=False)
    states = (ServiceState(FIRST, silent=True), SLOW, QUICK)
    return placement_with(clock, *states, mechanisms=mechanisms)


@pytest.mark.parametrize('make', [without_view, switched_off])
def test_without_the_setting_or_the_mechanism_choices_are_as_before(
    make: Callable[[FakeClock], Placement],
) -> None:
    placement = make(FakeClock())
    placement.health.record(FIRST).seconds = 0.1
    placement.health.record(SECOND).seconds = 0.1
    assert chosen(placement) == {FIRST, SECOND}
    placement.health.record(SECOND).seconds = 0.2
    assert chosen(placement) == {FIRST}


@pytest.mark.parametrize(
    ('repeatable', 'draw', 'after', 'tries'),
    [
        # 2 trials a second are likely to be due after one second, but not at once.
        (True, 0.8, 0.1, False),
        (True, 0.8, 1.0, True),
        # Calls that must not repeat begin later, and try a twentieth as often.
        (False, 0.0, RISKY_TRIALS_AFTER_SECONDS, False),
        (False, 0.5, RISKY_TRIALS_AFTER_SECONDS + 5.0, False),
        (False, 0.5, RISKY_TRIALS_AFTER_SECONDS + 10.0, True),
    ],
)
def test_a_silent_service_is_tried_by_few(
    repeatable: bool, draw: float, after: float, tries: bool
) -> None:
    clock = FakeClock()
    placement = placement_with(clock, ServiceState(FIRST, silent=True))
    view = placement.services.view
    assert view is not None
    view.draw = lambda: draw
    clock.seconds += after
    view.updated_at = clock.seconds
    choice = placement.choose(call_query(repeatable=repeatable))
    assert choice is not None
    assert (choice.upstream.name == FIRST) == tries
    assert (view.trials, view.avoided) == (int(tries), int(not tries))
    # Right after a trial none is due.
    assert chosen(placement, call_query(repeatable=repeatable)) == {SECOND}


def test_the_second_attempt_of_a_call_never_tries_a_silent_service() -> None:
    clock = FakeClock()
    placement = placement_with(clock, ServiceState(FIRST, silent=True))
    assert placement.services.view is not None
    placement.services.view.draw = always
    clock.seconds += 1
    second = replace(call_query(), tried=frozenset((UpstreamName('other'),)))
    assert chosen(placement, second) == {SECOND}


def test_a_box_uses_a_service_that_responded_to_it() -> None:
    placement = placement_with(FakeClock(), ServiceState(FIRST, silent=True))
    assert placement.services.view is not None
    placement.services.view.note_response(FIRST)
    assert chosen(placement) == {FIRST, SECOND}


@pytest.mark.parametrize(('domain', 'most'), [('a', 3), ('c', 2)])
def test_a_box_compares_the_near_services_with_one_other(
    domain: str, most: int
) -> None:
    # Guards against all boxes choosing the same upstream by the same summary.
    view = ServiceView(FakeClock())
    names = [UpstreamName(f'p{number}') for number in range(6)]
    places = [service(one, 'a' if one in names[:2] else 'b') for one in names]
    query = replace(call_query(), domain=domain)
    assert view.compared(places, query) == places
    view.update([ServiceState(one, seconds=0.02) for one in names])
    compared = view.compared(places, query)
    assert len(compared) == most
    assert domain == 'c' or set(places[:2]) <= set(compared)


def test_the_next_scheduler_learns_which_upstreams_are_silent() -> None:
    # Guards against losing two more calls to a crashed upstream at each takeover.
    clock = FakeClock()
    table = ServiceTable(clock)
    for box in ('a', 'b'):
        exchange = ServiceExchange(ServiceCalls(clock), ServiceView(clock))
        exchange.view.update([ServiceState(FIRST, silent=True)])
        clock.seconds += 1
        exchange.begin_stream()
        assert not exchange.view.is_silent(FIRST)
        for report in exchange.calls.take_reports():
            table.apply(box, report)
    assert table.silent == {FIRST}
    table.apply(*heard('c'))
    assert not table.silent


def test_a_call_without_a_goal_in_reach_is_not_unanswered_at_once() -> None:
    assert unanswered_after(0) == MIN_UNANSWERED_SECONDS
    assert unanswered_after(1) == pytest.approx(UNANSWERED_FRACTION)


def test_boxes_share_where_settings_state_limits() -> None:
    fields = settings_fields()
    for given, shares in ((fields, False), ({**fields, 'limits': {}}, True)):
        settings = decode_settings(given)
        assert settings.entry is not None
        assert settings.hub is not None
        assert settings.entry.share_service_health == shares
        assert settings.hub.share_service_health == shares
