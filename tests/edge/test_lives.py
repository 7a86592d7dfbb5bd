"""An upstream that restarts under its name is a new incarnation.

It holds nothing of the earlier incarnation, and numbers its reports from the start
again.  Guards against taking it for the earlier one: its first reports looked older
than the known ones, its address stayed the previous one, and after a departure all its
reports were ignored.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.hub.liveness import Liveness
from hitchdeck_edge.links.records import decode_upstream as decode_record
from hitchdeck_edge.links.records import encode_upstream
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.open_work import OpenWorkTable
from hitchdeck_edge.scheduling.placement import Placement
from hitchdeck_edge.state.registry import GONE_RETENTION_SECONDS, Registry
from hitchdeck_platform.hub_api import decode_upstream
from standins.platform_site import Site, running_site
from standins.platform_worker import Worker
from standins.worker_faults import Fault
from tests.common.scheduling import FakeClock, prompt

NAME = 'e0'
POOL = PoolName('llm')
PERIOD = 1.2
FIRST_START_MS = 1_700_000_000_000
SECOND_START_MS = FIRST_START_MS + 9_000
OLD = '10.0.0.1:80'
NEW = '10.0.0.2:80'


def report(
    born: int | None, sequence: int, address: str = OLD, **more: object
) -> Upstream:
    """Return a report as a hub receives it."""
    start = {} if born is None else {'born': born}
    body = {
        'service': POOL,
        'address': address,
        'slots': 4,
        'state': 'ready',
        'sequence': sequence,
        **start,
        **more,
    }
    return decode_upstream(NAME, body)


class Hub:
    """The part of a hub that receives reports of upstreams."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.registry = Registry(self.clock, Signal())
        self.liveness = Liveness(self.registry, self.clock, PERIOD)
        self.placement = Placement(self.registry, OpenWorkTable(self.clock))

    def receive(self, *reports: Upstream) -> None:
        for one in reports:
            self.liveness.report(one)

    def used(self) -> list[str]:
        return [one.address for one in self.registry.serving(POOL)]

    def names(self) -> list[UpstreamName]:
        return [one.name for one in self.registry.serving(POOL)]


class Case(NamedTuple):
    """Reports that a hub receives, and the addresses that get new requests then."""

    heard: tuple[Upstream, ...]
    used: list[str]


@pytest.mark.parametrize(
    'case',
    [
        Case((report(FIRST_START_MS, 50), report(SECOND_START_MS, 1, NEW)), [NEW]),
        # A late report of the earlier incarnation is ignored, whatever its state.
        Case((report(SECOND_START_MS, 1, NEW), report(FIRST_START_MS, 51)), [NEW]),
        Case(
            (
                report(SECOND_START_MS, 1, NEW),
                report(FIRST_START_MS, 51, state='draining'),
            ),
            [NEW],
        ),
        Case(
            (
                report(FIRST_START_MS, 50),
                report(SECOND_START_MS, 1, NEW),
                report(FIRST_START_MS, 51),
            ),
            [NEW],
        ),
        Case(
            (
                report(SECOND_START_MS, 2, NEW, state='draining'),
                report(FIRST_START_MS, 51),
            ),
            [],
        ),
        # The drain of the earlier incarnation does not apply to the later one.
        Case(
            (
                report(FIRST_START_MS, 50, state='draining'),
                report(SECOND_START_MS, 1, NEW),
            ),
            [NEW],
        ),
        # A process that restarts at its old address.
        Case((report(FIRST_START_MS, 50), report(SECOND_START_MS, 1)), [OLD]),
        # Upstreams that do not report their start time.
        Case((report(None, 5), report(None, 4, NEW)), [OLD]),
        Case((report(None, 5), report(SECOND_START_MS, 1, NEW)), [NEW]),
    ],
)
def test_the_later_incarnation_wins_whatever_its_sequence(case: Case) -> None:
    hub = Hub()
    hub.receive(*case.heard)
    assert hub.used() == case.used


def test_a_departure_applies_to_the_incarnation_that_left() -> None:
    hub = Hub()
    hub.receive(report(FIRST_START_MS, 50))
    hub.liveness.end(NAME)
    hub.receive(report(FIRST_START_MS, 51))
    assert not hub.used()
    hub.receive(report(SECOND_START_MS, 1, NEW))
    assert hub.used() == [NEW]


@pytest.mark.parametrize(
    ('born', 'used'),
    [
        (0, []),
        (SECOND_START_MS, []),
        (FIRST_START_MS, [NEW]),
        (SECOND_START_MS + 1, []),
    ],
)
def test_a_departure_that_names_an_incarnation_ends_that_one(
    born: int, used: list[str]
) -> None:
    hub = Hub()
    hub.receive(report(FIRST_START_MS, 50), report(SECOND_START_MS, 1, NEW))
    hub.liveness.end(NAME, born)
    hub.receive(report(SECOND_START_MS, 2, NEW))
    assert hub.used() == used


def test_a_seemingly_earlier_incarnation_can_depart() -> None:
    hub = Hub()
    hub.receive(report(SECOND_START_MS, 50))
    report_periodically(hub, SETTLED_SECONDS + PERIOD, FIRST_START_MS, NEW)
    assert hub.used() == [NEW]
    hub.liveness.end(NAME, FIRST_START_MS)
    assert not hub.used()


def learn_prefixes(hub: Hub, name: UpstreamName) -> None:
    hub.placement.prefix_cache.record_prompt(name, prompt())


def learn_failures(hub: Hub, name: UpstreamName) -> None:
    hub.placement.health.record_failure(name, 'test')


def learn_slowness(hub: Hub, name: UpstreamName) -> None:
    hub.placement.health.measure_slowness(name, 4.0)


def learn_load(hub: Hub, name: UpstreamName) -> None:
    hub.placement.open_work.own.running[name] += 3
    hub.placement.open_work.own.waiting[name] += 900


Learn = Callable[[Hub, UpstreamName], None]


@pytest.mark.parametrize(
    'learn',
    [learn_prefixes, learn_failures, learn_slowness, learn_load],
)
def test_nothing_learned_of_an_incarnation_applies_to_the_next(learn: Learn) -> None:
    hub = Hub()
    hub.receive(report(FIRST_START_MS, 50))
    before = hub.names()[0]
    learn(hub, before)
    hub.receive(report(SECOND_START_MS, 1))
    after = hub.names()[0]
    placement = hub.placement
    assert placement.prefix_cache.uncached(after, prompt()) == prompt().tokens
    assert not placement.health.is_ejected(after)
    assert placement.health.slowness(after) == 1
    assert placement.open_work.running(after) == 0
    assert placement.open_work.waiting(after) == 0


@given(
    st.permutations(
        [
            report(FIRST_START_MS, 3),
            report(FIRST_START_MS, 4, state='draining'),
            report(SECOND_START_MS, 1, NEW),
            report(SECOND_START_MS, 2, NEW),
            report(FIRST_START_MS, 5),
        ],
    ),
    st.lists(st.integers(0, 4), max_size=6),
)
def test_processes_that_receive_both_incarnations_converge(
    order: list[Upstream],
    again: list[int],
) -> None:
    registry = Registry(FakeClock(), Signal())
    heard = order + [order[place] for place in again]
    for one in heard:
        # The encoding in which hubs send records to boxes.
        registry.merge(decode_record(encode_upstream(one)), 'test')
    assert [one.address for one in registry.serving(POOL)] == [NEW]
    assert registry.serving(POOL)[0].sequence == 2


async def test_requests_do_not_wait_for_an_incarnation_replaced_elsewhere(
    tmp_path: Path,
) -> None:
    async with running_site(tmp_path) as site:
        for worker in site.workers:
            worker.misbehave(Fault.hang, 1)
        asked = asyncio.create_task(site.ask_model('/s/x', 'r1', Deadline_Ms='9000'))
        before = await holder_of(site, 'r1')
        before.ended = True
        for worker in site.workers:
            worker.misbehave(Fault.none, 0)
        await site.start_worker(before.name, 'llm', born=SECOND_START_MS)
        reply = await asked
    assert reply.code == 200
    assert sum(worker.ran.count('r1') for worker in site.workers) == 2


async def holder_of(site: Site, attempt: str) -> Worker:
    async with asyncio.timeout(10):
        while True:
            for worker in site.workers:
                if attempt in worker.ran:
                    return worker
            await asyncio.sleep(0.01)


async def test_an_incarnation_is_used_under_its_reported_instance(
    tmp_path: Path,
) -> None:
    async with running_site(tmp_path) as site:
        for worker in list(site.workers):
            await worker.end()
            await site.start_worker(worker.name, worker.pool, born=SECOND_START_MS)
        await site.settle()
        reply = await site.ask('/u/x', 'r1')
    seen = [one for worker in site.workers for one in worker.seen]
    assert reply.code == 200
    assert [one.headers['expect-instance'] for one in seen] in (['p1'], ['p2'])


SETTLED_SECONDS = 12.0
"""Longer than the time after which a start time that went back is accepted."""


def report_periodically(hub: Hub, seconds: float, born: int, address: str) -> None:
    """Let one incarnation report every period while the others are silent."""
    sequence = 1
    until = hub.clock.seconds + seconds
    while hub.clock.seconds < until:
        hub.receive(report(born, sequence, address))
        hub.registry.mark_unresponsive(4 * PERIOD)
        hub.clock.seconds += PERIOD
        sequence += 1


def test_a_seemingly_earlier_incarnation_counts_once_the_later_is_silent() -> None:
    # The clock of the machine was set back between the two starts.
    hub = Hub()
    hub.receive(report(SECOND_START_MS, 50))
    report_periodically(hub, PERIOD, FIRST_START_MS, NEW)
    assert hub.used() == [OLD]
    report_periodically(hub, SETTLED_SECONDS, FIRST_START_MS, NEW)
    assert hub.used() == [NEW]


def test_a_seemingly_earlier_incarnation_is_ignored_beside_a_later_one() -> None:
    hub = Hub()
    for sequence in range(20):
        hub.receive(
            report(SECOND_START_MS, sequence, NEW),
            report(FIRST_START_MS, sequence, OLD),
        )
        hub.registry.mark_unresponsive(4 * PERIOD)
        hub.clock.seconds += PERIOD
    assert hub.used() == [NEW]


def test_an_upstream_expires_with_its_last_incarnation() -> None:
    hub = Hub()
    hub.receive(report(FIRST_START_MS, 50), report(SECOND_START_MS, 1, NEW))
    hub.liveness.end(NAME)
    hub.clock.seconds += GONE_RETENTION_SECONDS + 1
    hub.placement.forget_gone()
    assert not hub.registry.records
    assert not hub.registry.latest
