"""Engine choice in one loop costs each engine as the plain form does."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from hitchdeck_core.hashing import first_ranked, ranked
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.cost_weights import (
    FAILURE_TOKENS,
    FULL_TOKENS,
    REREAD_WEIGHT,
    RUNNING_TOKENS,
    near_tokens,
)
from hitchdeck_edge.scheduling.placement import Placement
from tests.common.scheduling import POOL, FakeClock, engine, scheduler_of, wanted

ENGINES = 30


def plain_cost(
    placement: Placement,
    upstream: Upstream,
    prompt: Prompt,
    query: PlacementQuery,
    tokens: int,
) -> float:
    """Return the cost of one engine, one term after another."""
    name = upstream.name
    mechanisms = placement.mechanisms
    reread = max(0, tokens - prompt.parts[-1].tokens) if prompt.parts else 0
    running = placement.open_work.running(name)
    waiting = placement.open_work.waiting(name)
    cost = float(waiting + RUNNING_TOKENS * running + tokens)
    if mechanisms.reading_again:
        cost += REREAD_WEIGHT * reread
    if running >= query.slots:
        cost += FULL_TOKENS
    if mechanisms.slowness:
        cost *= placement.health.slowness(name)
    cost += FAILURE_TOKENS * placement.health.failure_rate(name)
    if mechanisms.near_first and upstream.domain == query.domain:
        wait = waiting + RUNNING_TOKENS * running
        read_rate = placement.speed.read_rate(query.pool)
        cost -= near_tokens(query, prompt, wait, read_rate)
    return cost


def loaded_placement(draw: random.Random, mechanisms: Mechanisms) -> Placement:
    """Return a placement that knows load, failures and latencies of some engines."""
    placement = scheduler_of(FakeClock(), 0, mechanisms).placement
    work = placement.open_work
    work.assumed_boxes = draw.choice([1, 1, 3])
    placement.speed.tokens[POOL] = draw.uniform(1000, 90_000)
    placement.speed.seconds[POOL] = 1
    for number in range(ENGINES):
        one = replace(engine(f'e{number}'), domain=draw.choice('ab'))
        placement.registry.merge(one, 'test')
        counts: list[Counter[UpstreamName]] = [
            work.own.waiting,
            work.own.running,
            work.others.waiting,
            work.others.running,
        ]
        for count in counts:
            if draw.randrange(10) < 6:
                count[one.name] = draw.randint(-2, 12) * draw.choice([1, 500])
        if draw.randrange(2):
            placement.health.measure_slowness(one.name, draw.uniform(1, 4))
        if draw.randrange(10) < 3:
            placement.health.record_error(one.name)
    return placement


def drawn_prompt(draw: random.Random) -> Prompt:
    lengths = [draw.randint(0, 5000) for _ in range(draw.randint(0, 3))]
    parts = tuple(
        Part(PartId(f'p{number}'), length) for number, length in enumerate(lengths)
    )
    return Prompt(sum(lengths) + draw.randint(0, 100), draw.randint(0, 900), parts)


@pytest.mark.parametrize(
    'mechanisms',
    [
        ALL_MECHANISMS,
        replace(ALL_MECHANISMS, near_first=False),
        replace(ALL_MECHANISMS, reading_again=False),
        replace(ALL_MECHANISMS, slowness=False),
    ],
)
def test_costs_are_those_of_the_plain_form(mechanisms: Mechanisms) -> None:
    """A term that is left out would change choices without an error."""
    draw = random.Random(5)
    for _ in range(40):
        placement = loaded_placement(draw, mechanisms)
        engines = placement.registry.serving(POOL)
        prompt = drawn_prompt(draw)
        domain = draw.choice(['a', 'b', ''])
        query = replace(wanted(), prompt=prompt, domain=domain, goal=draw.random())
        unread = [draw.randint(0, prompt.tokens) for _ in engines]
        works = placement._read_costs(query, prompt).lowest(unread)
        found = placement._engine_costs(engines, prompt, query, works)
        assert found == [
            plain_cost(placement, one, prompt, query, tokens)
            for one, tokens in zip(engines, unread, strict=True)
        ]


@pytest.mark.parametrize('count', [1, 2, 9])
def test_the_first_ranked_member_is_that_of_the_whole_order(count: int) -> None:
    names = [f'e{number}' for number in range(count)]
    for number in range(50):
        assert first_ranked(f'k{number}', names) == ranked(f'k{number}', names)[0]
