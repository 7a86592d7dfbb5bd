"""Registries that exchange records of upstreams settle, whatever the order.

Two hubs that differed in nothing but a suspicion used to send each other the record for
ever: whichever value came last won, at an unchanged sequence.
"""

from dataclasses import dataclass, field
from functools import partial
from itertools import permutations, product
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_core.ids import InstanceName, LifeId, PoolName, UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.hub.liveness import Liveness
from hitchdeck_edge.links.records import (
    decode_suspicion,
    decode_upstreams,
    encode_suspicion,
    encode_upstream,
)
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.doors import decode_upstream
from tests.common.scheduling import FakeClock

HUBS = 3
BOXES = 2
PERIOD = 1.2
SILENCE_SECONDS = 4 * PERIOD
POOL = PoolName('llm')
INSTANCES = ('e0', 'e1', 'e2')
ADDRESSES = ('10.0.0.1:80', '10.0.0.2:80')
BORN = (0, 1_700_000_000_000, 1_700_000_009_000)

View = set[tuple[UpstreamName, str, Phase, bool]]


def report(instance: str, sequence: int, **more: object) -> Upstream:
    """Return a report as it comes to a hub's door."""
    body = {
        'service': POOL,
        'address': ADDRESSES[0],
        'slots': 4,
        'state': 'ready',
        'sequence': sequence,
        **more,
    }
    return decode_upstream(instance, body)


def view_of(registry: Registry) -> View:
    """Return what decides where requests are sent."""
    return {
        (one.name, one.address, one.phase, one.silent)
        for one in registry.records.values()
        if one.phase is not Phase.gone
    }


@dataclass
class Fleet:
    """Hubs that exchange records with each other, and tell boxes."""

    clock: FakeClock = field(default_factory=FakeClock)
    hubs: list[Liveness] = field(init=False)
    registries: list[Registry] = field(init=False)
    links: list[tuple[int, int]] = field(init=False)
    sent: dict[tuple[int, int], int] = field(default_factory=dict)
    records_sent: int = 0

    def __post_init__(self) -> None:
        self.registries = [
            Registry(self.clock, Signal(), hears_reports=number < HUBS)
            for number in range(HUBS + BOXES)
        ]
        self.hubs = [
            Liveness(one, self.clock, PERIOD) for one in self.registries[:HUBS]
        ]
        to_boxes = product(range(HUBS), range(HUBS, HUBS + BOXES))
        self.links = [*permutations(range(HUBS), 2), *to_boxes]

    def deliver(self, link: tuple[int, int], *, again: bool = False) -> None:
        """Send what the receiver lacks; ``again`` sends everything, as at first."""
        sender, receiver = link
        source = self.registries[sender]
        fresh = source.since(0 if again else self.sent_to(link))
        self.sent[link] = source.changes
        if not again:
            self.records_sent += len(fresh)
        for record in decode_upstreams(map(encode_upstream, fresh)):
            self.registries[receiver].merge(record, 'test')

    def sent_to(self, link: tuple[int, int]) -> int:
        return self.sent.get(link, 0)

    def has_news(self, link: tuple[int, int]) -> bool:
        return self.sent_to(link) < self.registries[link[0]].changes

    def settle(self, random: Random, most: int) -> None:
        """Deliver in any order until nobody has news, or too much was sent."""
        while any(map(self.has_news, self.links)):
            self.deliver(random.choice(list(filter(self.has_news, self.links))))
            assert self.records_sent <= most

    def exchange(self) -> bool:
        """Deliver over all links at the same moment; tell whether anything was."""
        frames: list[tuple[int, list[Upstream]]] = []
        for link in self.links:
            sender, receiver = link
            frames.append((receiver, self.registries[sender].since(self.sent_to(link))))
            self.sent[link] = self.registries[sender].changes
        for receiver, fresh in frames:
            self.records_sent += len(fresh)
            for record in decode_upstreams(map(encode_upstream, fresh)):
                self.registries[receiver].merge(record, 'test')
        return any(fresh for _, fresh in frames)


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


class Play:
    """Applies drawn events to a fleet."""

    def __init__(self) -> None:
        self.fleet = Fleet()
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
        self.fleet.clock.seconds += SILENCE_SECONDS * extra / 4
        registry.silence(SILENCE_SECONDS)

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
    known = registry.newest_life(InstanceName(instance))
    registry.suspect(LifeId(known.name if known else instance))


@given(EVENTS, st.integers(0, 2**16))
def test_all_end_alike_after_a_bounded_number_of_records(
    events: list[Event], seed: int
) -> None:
    play = Play()
    for event in events:
        play.apply(event)
    fleet = play.fleet
    # Each event changes a record and the one that held its address; each hub may
    # suspect the holder of an address once for each incarnation that moves there.
    incarnations = len(INSTANCES) * len(BORN) * len(ADDRESSES)
    changes = 2 * len(events) + HUBS * incarnations
    fleet.settle(Random(seed), changes * len(fleet.links))
    first, *others = [view_of(one) for one in fleet.registries]
    assert all(other == first for other in others)


def test_a_suspicion_is_not_passed_back_and_forth() -> None:
    fleet = Fleet()
    fleet.hubs[0].report(report('e0', 1))
    fleet.settle(Random(0), 2 * len(fleet.links))
    fleet.registries[0].suspect(LifeId('e0'))
    fleet.exchange()
    # Another hub hears of the upstream while the suspicion is on its way.
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
    fleet = Fleet()
    fleet.hubs[reporter].report(report('e0', 1))
    fleet.settle(Random(0), 2 * len(fleet.links))
    # Unchanged reports are not passed on: the others still know the first one.
    fleet.hubs[reporter].report(report('e0', 2))
    fleet.registries[suspecting].suspect(LifeId('e0'))
    fleet.exchange()
    fleet.hubs[reporter].report(report('e0', 3))
    for _ in range(2):
        fleet.exchange()
    silent = [one.serving(POOL)[0].silent for one in fleet.registries]
    assert not any(silent)


def test_hubs_that_are_cut_off_from_each_other_clear_suspicions_through_boxes() -> None:
    fleet = Fleet()
    fleet.hubs[0].report(report('e0', 1))
    fleet.settle(Random(0), 2 * len(fleet.links))
    fleet.links = list(product(range(HUBS), range(HUBS, HUBS + BOXES)))
    fleet.hubs[0].report(report('e0', 2))
    fleet.registries[1].suspect(LifeId('e0'))
    fleet.exchange()
    boxes = fleet.registries[HUBS:]
    assert all(box.serving(POOL)[0].silent for box in boxes)
    for suspicion in boxes[0].suspicions_since(0):
        fleet.registries[0].merge_suspicion(
            decode_suspicion(encode_suspicion(suspicion))
        )
    fleet.exchange()
    assert not any(box.serving(POOL)[0].silent for box in boxes)
