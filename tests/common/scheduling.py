"""A scheduler with simulated engines and a clock that the test sets."""

import json
import zlib
from collections import Counter, deque
from collections.abc import Iterator

from hitchdeck_core.ids import (
    AccountName,
    Address,
    PoolName,
    RequestId,
    UpstreamName,
)
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.document import DocumentVersion
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.scheduling.scheduler import Scheduler
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.documents import read_document
from standins.platform_site import document

POOL = PoolName('llm')


class FakeClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def __call__(self) -> float:
        return self.seconds


class SimulatedEngine:
    """An engine that reads prompts in sequence at a fixed rate."""

    def __init__(self, clock: FakeClock, pace: int) -> None:
        self.clock = clock
        self.pace = pace
        self.free_at = clock.seconds
        self.reading: deque[tuple[float, int]] = deque()

    def read(self, number: int, tokens: int) -> None:
        """Append a prompt to the queue."""
        self.free_at = max(self.free_at, self.clock.seconds) + tokens / self.pace
        self.reading.append((self.free_at, number))

    def finished(self) -> Iterator[int]:
        """Yield the numbers of the prompts that are read by the current time."""
        while self.reading and self.reading[0][0] <= self.clock.seconds:
            yield self.reading.popleft()[1]


def arriving(asks: dict[str, int], clock: FakeClock, seconds: int) -> Iterator[str]:
    """Advance the clock, and yield the account of each request that arrives.

    ``asks`` gives the requests per second of each account.
    """
    due: Counter[str] = Counter()
    for _ in range(seconds * 100):
        clock.seconds += 0.01
        due.update(asks)
        for name in asks:
            if due[name] >= 100:
                due[name] -= 100
                yield name


def account(name: str) -> AccountName:
    return AccountName(name)


def prompt(tokens: int = 1000, subject: str = 's') -> Prompt:
    shared = Part(PartId(subject), tokens // 2)
    return Prompt(tokens, 0, (shared, Part(PartId('own'), tokens - tokens // 2)))


def wanted(name: str = 'ann', subject: str = 's', tokens: int = 1000) -> PlacementQuery:
    return PlacementQuery(
        request=RequestId('r'),
        pool=POOL,
        domain='a',
        slots=8,
        goal=0.6,
        account=account(name),
        prompt=prompt(tokens, subject),
        tried=frozenset(),
        resumes=False,
    )


def engine(name: str, phase: Phase = Phase.serving) -> Upstream:
    return Upstream(UpstreamName(name), POOL, Address(f'{name}:1'), 'a', 8, phase, 1)


def offer(scheduler: Scheduler, tokens_per_second: int, **pool: object) -> None:
    """Apply a document that states the capacity of the engines, and their pool."""
    engines = {'name': POOL, 'engine': {'slots': 8, 'kvCapacity': 100_000}, **pool}
    given = document(1, limits={'tokensPerS': tokens_per_second})
    given['services'] = [engines, {'name': 'app'}]
    text = json.dumps(given).encode()
    scheduler.documents.offer(DocumentVersion(1), zlib.compress(text), 'test')


def scheduler_of(
    clock: FakeClock,
    engines: int,
    mechanisms: Mechanisms = ALL_MECHANISMS,
) -> Scheduler:
    registry = Registry(clock, Signal())
    for number in range(engines):
        registry.merge(engine(f'e{number}'), 'test')
    documents = Documents(read_document, Signal())
    return Scheduler(documents, registry, Shares(4, clock), clock, mechanisms)


def played(
    asks: dict[str, int],
    pace: int,
    seconds: int,
    stated: int = 0,
) -> Counter[str]:
    """Return the tokens granted to each account on one simulated engine.

    ``asks`` gives the requests of 1000 tokens that each account sends per second,
    ``pace`` the tokens per second that the engine reads, and ``stated`` its stated
    capacity in tokens per second (0: equal to ``pace``).
    """
    clock = FakeClock()
    reader = SimulatedEngine(clock, pace)
    scheduler = scheduler_of(clock, 1)
    offer(scheduler, stated or pace)
    scheduler.placement.speed.tokens[POOL] = pace
    scheduler.placement.speed.seconds[POOL] = 1
    granted: Counter[str] = Counter()
    for number, name in enumerate(arriving(asks, clock, seconds), 1):
        for finished in reader.finished():
            scheduler.end(('box', finished))
        one = wanted(name, subject=str(number))
        if isinstance(scheduler.place(('box', number), one), Choice):
            granted[name] += 1000
            reader.read(number, 1000)
    return granted
