"""Registries that exchange records of upstreams converge in any order of messages.

Guards against two hubs that differ only in a suspicion and send each other the record
forever, because the last value received wins at an unchanged sequence number.
"""

from functools import partial
from itertools import product
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.settling import PERIOD, POOL, Fleet, report, view_of
from hitchdeck_core.ids import InstanceName, UpstreamIncarnation, UpstreamName
from hitchdeck_edge.hub.liveness import Liveness
from hitchdeck_edge.links.records import decode_suspicion, encode_suspicion
from hitchdeck_edge.state.registry import Registry
from tests.common.scheduling import FakeClock

HUBS = 3
BOXES = 2
SILENCE_SECONDS = 4 * PERIOD
INSTANCES = ('e0', 'e1', 'e2')
ADDRESSES = ('10.0.0.1:80', '10.0.0.2:80')
BORN = (0, 1_700_000_000_000, 1_700_000_009_000)


def fleet_of() -> Fleet:
    return Fleet(FakeClock(), HUBS, BOXES)


Event = tuple[str, int, int, int]

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                'report',
                'late',
                'heard',
                'suspect',
                'silence',
                'leave',
                'move',
                'deliver',
            ]
        ),
        st.integers(0, HUBS - 1),
        st.integers(0, len(INSTANCES) - 1),
        st.integers(0, 5),
    ),
    max_size=30,
)


class EventRunner:
    """Applies generated events to a fleet."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.fleet = Fleet(self.clock, HUBS, BOXES)
        self.sequences = dict.fromkeys(INSTANCES, 0)

    def apply(self, event: Event) -> None:
        kind, hub, number, extra = event
        instance = INSTANCES[number]
        heard = self.fleet.hubs[hub]
        apply = {
            'silence': partial(self.silence, heard.registry, extra),
            'suspect': partial(suspect, heard.registry, instance),
            'heard': partial(heard.registry.hear, UpstreamName(instance)),
            'leave': partial(heard.end, InstanceName(instance)),
            'deliver': partial(self.deliver, hub + extra, again=extra == 0),
        }
        apply.get(kind, partial(self.report, heard, kind, number, extra))()

    def silence(self, registry: Registry, extra: int) -> None:
        self.clock.seconds += SILENCE_SECONDS * extra / 4
        registry.mark_unresponsive(SILENCE_SECONDS)

    def deliver(self, number: int, *, again: bool) -> None:
        links = self.fleet.links
        self.fleet.deliver(links[number % len(links)], again=again)

    def report(self, hub: Liveness, kind: str, number: int, extra: int) -> None:
        instance = INSTANCES[number]
        late = extra if kind == 'late' else 0
        self.sequences[instance] += int(late == 0)
        sequence = max(1, self.sequences[instance] - late)
        moved = int(kind == 'move')
        address = ADDRESSES[(number + moved) % len(ADDRESSES)]
        born = BORN[extra % len(BORN)] if moved else BORN[0]
        more = {'born': born} if born else {}
        hub.report(report(instance, sequence, address=address, **more))


def suspect(registry: Registry, instance: str) -> None:
    known = registry.latest_incarnation(InstanceName(instance))
    registry.suspect(UpstreamIncarnation(known.name if known else instance))


@given(EVENTS, st.integers(0, 2**16))
def test_all_registries_converge_after_a_bounded_number_of_records(
    events: list[Event], seed: int
) -> None:
    runner = EventRunner()
    for event in events:
        runner.apply(event)
    fleet = runner.fleet
    # Each event changes a record and the previous holder of its address; each hub may
    # suspect the holder of an address once for each incarnation that moves there.
    incarnations = len(INSTANCES) * len(BORN) * len(ADDRESSES)
    changes = 2 * len(events) + HUBS * incarnations
    assert fleet.settle(Random(seed), changes * len(fleet.links))
    first, *others = [view_of(one) for one in fleet.registries]
    assert all(other == first for other in others)


def test_a_suspicion_is_not_passed_back_and_forth() -> None:
    fleet = fleet_of()
    fleet.hubs[0].report(report('e0', 1))
    assert fleet.settle(Random(0), 2 * len(fleet.links))
    fleet.registries[0].suspect(UpstreamIncarnation('e0'))
    fleet.exchange()
    # Another hub hears from the upstream while the suspicion is in flight.
    fleet.registries[1].hear(UpstreamName('e0'))
    rounds = 0
    while fleet.exchange():
        rounds += 1
        assert rounds <= HUBS
    views = [view_of(one) for one in fleet.registries]
    assert views == [views[0]] * len(views)


@pytest.mark.parametrize('reporter', range(HUBS))
@pytest.mark.parametrize('suspecting', range(HUBS))
def test_a_fresh_report_clears_a_suspicion_within_two_exchanges(
    suspecting: int, reporter: int
) -> None:
    fleet = fleet_of()
    fleet.hubs[reporter].report(report('e0', 1))
    assert fleet.settle(Random(0), 2 * len(fleet.links))
    # Unchanged reports are not propagated: the other hubs keep the first one.
    fleet.hubs[reporter].report(report('e0', 2))
    fleet.registries[suspecting].suspect(UpstreamIncarnation('e0'))
    fleet.exchange()
    fleet.hubs[reporter].report(report('e0', 3))
    for _ in range(2):
        fleet.exchange()
    silent = [one.serving(POOL)[0].unresponsive for one in fleet.registries]
    assert not any(silent)


def test_hubs_that_are_cut_off_from_each_other_clear_suspicions_through_boxes() -> None:
    fleet = fleet_of()
    fleet.hubs[0].report(report('e0', 1))
    assert fleet.settle(Random(0), 2 * len(fleet.links))
    fleet.links = list(product(range(HUBS), range(HUBS, HUBS + BOXES)))
    fleet.hubs[0].report(report('e0', 2))
    fleet.registries[1].suspect(UpstreamIncarnation('e0'))
    fleet.exchange()
    boxes = fleet.registries[HUBS:]
    assert all(box.serving(POOL)[0].unresponsive for box in boxes)
    for suspicion in boxes[0].suspicions_since(0):
        fleet.registries[0].merge_suspicion(
            decode_suspicion(encode_suspicion(suspicion))
        )
    fleet.exchange()
    assert not any(box.serving(POOL)[0].unresponsive for box in boxes)
