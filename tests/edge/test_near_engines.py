"""Placement of prompts within and across the failure domains of engines."""

from dataclasses import replace

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.scheduling.cost_weights import NEAR_WAIT_FRACTION
from hitchdeck_edge.scheduling.engine_speed import DEFAULT_READ_RATE
from hitchdeck_edge.scheduling.scheduler import Scheduler
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.documents import read_document
from tests.common.scheduling import FakeClock, engine, offer, wanted

DOMAINS = ('a', 'b', 'c')
ENGINES = 4
SUBJECTS = [str(number) for number in range(30)]


def fleet() -> Scheduler:
    """Return a scheduler with ``ENGINES`` engines in each of three domains."""
    clock = FakeClock()
    registry = Registry(clock, Signal())
    for domain in DOMAINS:
        for number in range(ENGINES):
            one = replace(engine(f'{domain}{number}'), domain=domain)
            registry.merge(one, 'test')
    documents = Documents(read_document, Signal())
    return Scheduler(documents, registry, Shares(4, clock), clock)


def place(scheduler: Scheduler, one: PlacementQuery, number: int = 0) -> Choice:
    """Place a request that completes at once, so that no queue grows."""
    decision = scheduler.place(('box', number), one)
    assert isinstance(decision, Choice)
    scheduler.end(('box', number))
    return decision


def query_from(subject: str, domain: str) -> PlacementQuery:
    return replace(wanted(subject=subject), domain=domain)


@pytest.mark.parametrize('domain', DOMAINS)
@pytest.mark.parametrize('tokens', [1000, 4000])
def test_a_flood_of_one_domain_is_spread_over_all_domains(
    domain: str, tokens: int
) -> None:
    """Guards against a flood that fills the engines of one domain while others idle."""
    scheduler = fleet()
    for number in range(4 * len(SUBJECTS)):
        one = replace(wanted(subject=str(number), tokens=tokens), domain=domain)
        scheduler.place(('box', number), replace(one, body_bytes=9000))
    waits = {
        name: scheduler.placement.open_work.waiting(name)
        for name in scheduler.placement.registry.names()
    }
    # A near engine is preferred up to this wait before others are used.
    slack = NEAR_WAIT_FRACTION * 0.6 * DEFAULT_READ_RATE + 2 * tokens
    assert max(waits.values()) - min(waits.values()) <= slack
    assert all(waits.values())


@pytest.mark.parametrize('domain', DOMAINS)
def test_a_new_prompt_stays_nearby_while_there_is_room(domain: str) -> None:
    scheduler = fleet()
    placed = [place(scheduler, query_from(one, domain)).upstream for one in SUBJECTS]
    assert {one.domain for one in placed} == {domain}
    assert len({one.name for one in placed}) == ENGINES


@pytest.mark.parametrize(('body_bytes', 'stays'), [(200, False), (40_000, True)])
def test_larger_bodies_accept_a_longer_wait_nearby(
    body_bytes: int, stays: bool
) -> None:
    scheduler = fleet()
    one = replace(query_from('known', 'a'), body_bytes=body_bytes)
    assert one.prompt is not None
    for name in scheduler.placement.registry.names():
        scheduler.placement.prefix_cache.record_prompt(name, one.prompt)
        if name.startswith('a'):
            scheduler.add_open((name, 0), name, 1500)
    assert (place(scheduler, one).upstream.domain == 'a') is stays


@pytest.mark.parametrize('domain', DOMAINS)
def test_a_prompt_cached_elsewhere_is_not_computed_again(domain: str) -> None:
    scheduler = fleet()
    for subject in SUBJECTS:
        first = place(scheduler, query_from(subject, 'a'))
        assert place(scheduler, query_from(subject, domain)).upstream == first.upstream


@pytest.mark.parametrize('had', [0, 40])
def test_a_request_goes_elsewhere_rather_than_be_refused(had: int) -> None:
    """Guards against refusing a request for a wait too short to choose a far engine."""
    scheduler = fleet()
    offer(scheduler, 40_000)
    for number in range(had):
        others = ('ann', 'bob')
        for name in others:
            one = replace(wanted(name, subject=str(number), tokens=2000), domain='c')
            scheduler.place((name, number), one)
            scheduler.end((name, number))
    one = replace(wanted('ann', subject='known'), domain='a', body_bytes=40_000)
    assert one.prompt is not None
    for name in scheduler.placement.registry.names():
        scheduler.placement.prefix_cache.record_prompt(name, one.prompt)
        if name.startswith('a'):
            scheduler.add_open((name, 0), name, 2500)
    assert isinstance(scheduler.place(('box', 0), one), Choice)


def test_a_full_domain_is_left_for_one_with_room() -> None:
    scheduler = fleet()
    for number in range(ENGINES):
        for run in range(40):
            name = UpstreamName(f'a{number}')
            scheduler.add_open((name, run), name, 5000)
    assert place(scheduler, query_from('new', 'a')).upstream.domain != 'a'
