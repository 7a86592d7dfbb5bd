"""What one request costs the scheduler: ``python -m bench.placing_cost``.

Places requests of three parts over engines on paper, notes their first events
and ends, and prints microseconds of processor time a request by the number of
engines, and the ratio to the first number.
"""

import random
import time

import fire

from bench.common import append_row, listed
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import (
    AccountName,
    Address,
    PoolName,
    RequestId,
    UpstreamName,
)
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.document import (
    Document,
    DocumentVersion,
    Engine,
    Limits,
    Pool,
)
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.scheduling.scheduler import Scheduler
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.documents import read_document

POOL = PoolName('llm')
SLOTS = 64
MEMORY = 232_000
DOMAINS = 5
OPEN_PER_ENGINE = 4
ENGINE_TOKENS = 5_600
"""What one engine is stated to give, in tokens a second."""

MICRO = 1e6


def scheduler_of(engines: int) -> Scheduler:
    """Return a scheduler over engines on paper."""
    registry = Registry(boot_seconds, Signal())
    for number in range(engines):
        registry.merge(
            Upstream(
                UpstreamName(f'e{number}'),
                POOL,
                Address(f'10.0.0.1:{number}'),
                str(number % DOMAINS),
                SLOTS,
                Phase.serving,
                1,
            ),
            'bench',
        )
    documents = Documents(read_document, Signal())
    documents.document = Document(
        version=DocumentVersion(1),
        routes=(),
        pools={POOL: Pool(POOL, 0, Engine(SLOTS, MEMORY))},
        limits=Limits(
            header_bytes=0,
            body_bytes=0,
            header_seconds=0,
            idle_seconds=0,
            tokens_per_second=engines * ENGINE_TOKENS,
        ),
        accounts=(),
    )
    return Scheduler(documents, registry, Shares(4, boot_seconds), boot_seconds)


def wanted(chance: random.Random, accounts: int, number: int) -> PlacementQuery:
    """Return a request: a part of few, one of its account, one of its own."""
    account = chance.randrange(accounts)
    parts = (
        Part(PartId(f'top{chance.randrange(4)}'), 2520),
        Part(PartId(f'account{account}-{chance.randrange(5)}'), 3780),
        Part(PartId(f'own{number}'), 2890),
    )
    return PlacementQuery(
        request=RequestId(str(number)),
        pool=POOL,
        domain=str(account % DOMAINS),
        slots=SLOTS,
        goal=0.6,
        account=AccountName(f'a{account}'),
        prompt=Prompt(sum(one.tokens for one in parts), 50, parts),
        tried=frozenset(),
        resumes=False,
    )


def measure(engines: int, accounts: int, requests: int, seed: int = 1) -> float:
    """Return microseconds of processor time a request: place, start, end."""
    chance = random.Random(seed)
    scheduler = scheduler_of(engines)
    asked = [wanted(chance, accounts, number) for number in range(requests)]
    began = time.process_time()
    for number, one in enumerate(asked):
        decision = scheduler.place(('box', number), one)
        if isinstance(decision, Choice):
            scheduler.start(('box', number))
        scheduler.end(('box', number - engines * OPEN_PER_ENGINE))
    return (time.process_time() - began) / requests * MICRO


def main(
    engines: object = '9,39,150,1500',
    requests: int = 1500,
    output: str = 'bench/results/placing_cost.jsonl',
) -> None:
    """Measure each number of engines, with as many accounts, 440 at most."""
    first = 0.0
    for count in map(int, listed(engines)):
        cost = measure(count, min(440, max(16, count)), requests)
        first = first or cost
        row = {
            'engines': count,
            'us_a_request': round(cost),
            'ratio': round(cost / first, 1),
        }
        append_row(output, row)


if __name__ == '__main__':
    fire.Fire(main)
