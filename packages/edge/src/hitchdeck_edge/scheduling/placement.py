"""Choosing an upstream for a request.

Engines: the one that will make the first token soonest, counting what waits
there, what of the prompt its cache lacks, and how slow it was of late.  A
prompt's shared part names, by rendezvous hash, the engine that every box
takes to hold it; others get it only if the wait there costs more than to read
it once more.  Plain services: the fewest open, weighed by time and failures.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.passage import Passage
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.books import Books
from hitchdeck_edge.scheduling.health import Health
from hitchdeck_edge.scheduling.memory import PrefixMemory
from hitchdeck_edge.scheduling.pace import Pace
from hitchdeck_edge.state.registry import Registry

RUNNING_TOKENS = 40
"""What one running request adds to the wait, as tokens to be read: each
step of the engine takes a little longer."""

FULL_TOKENS = 20_000
"""Added where all places are taken: about the time until one is free."""

AGAIN_WEIGHT = 4
"""How much reading a shared part once more weighs against waiting.  Beside
the time it takes, it takes time from everybody else, and the platform prices
it: some 3.5 tokens' worth of wait for each token on both sites' sheets."""

NEAR_TOKENS = 250
"""Taken off within the failure domain: bytes between domains have a price."""

FAILURE_WEIGHT = 4.0
"""How much a failing plain service counts as slower than it is."""

FAR_FACTOR = 1.1
"""How much slower a plain service in another domain counts: see NEAR_TOKENS."""

JITTER_FACTOR = 1.05
"""Spreads the choice between equals, which all boxes would make alike."""

LEAST_SECONDS = 0.005
"""Floor of a plain service's measured time, so that a fast one is not taken
for free."""


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream, and what sending the request there means.

    ``tokens`` must be read there; ``queue`` is the expected time until that
    begins, and ``wait`` until the first token, in seconds; 0 for plain
    services.
    """

    upstream: Upstream
    tokens: int
    queue: float
    wait: float


class Placement:
    """Chooses upstreams from everything that a box knows."""

    def __init__(self, domain: str, registry: Registry, books: Books) -> None:
        self.domain = domain
        self.registry = registry
        self.books = books
        self.health = Health(books.now)
        self.memory = PrefixMemory(books.now)
        self.pace = Pace()

    def choose(self, passage: Passage) -> Choice | None:
        """Return the best upstream that was not tried yet, if there is one."""
        candidates = self.candidates(passage)
        if not candidates:
            return None
        if passage.pool.engine is None or passage.call.prompt is None:
            best = min(candidates, key=self._plain_cost)
            return Choice(best, 0, 0, 0)
        return self._choose_engine(passage, passage.call.prompt, candidates)

    def candidates(self, passage: Passage) -> list[Upstream]:
        """Return those that may get a request, the doubtful ones only if need be."""
        serving = [
            one
            for one in self.registry.serving(passage.pool.name)
            if one.name not in passage.tried
        ]
        trusted = [
            one
            for one in serving
            if not one.silent and not self.health.is_ejected(one.name)
        ]
        return trusted or serving

    def mean_queue(self, pool: PoolName) -> float:
        """Return the wait before a new request at a pool's engines, in seconds."""
        names = [one.name for one in self.registry.serving(pool)]
        if not names:
            return 0
        return sum(map(self._queue, names)) / len(names) / self.pace.of(pool)

    def forget_gone(self, gone: Iterable[UpstreamName]) -> None:
        """Drop what is known of upstreams that are gone."""
        for name in gone:
            self.memory.forget(name)
        self.books.forget(set(gone))

    def _choose_engine(
        self,
        passage: Passage,
        prompt: Prompt,
        candidates: list[Upstream],
    ) -> Choice:
        holder = self._holder(prompt, candidates)
        pace = self.pace.of(passage.pool.name)
        choices = [
            self._weigh(one, prompt, passage, one.name == holder) for one in candidates
        ]
        _, tokens, best = min(choices, key=lambda choice: choice[0])
        queue = self._queue(best.name) * self.health.record(best.name).slowness / pace
        return Choice(best, tokens, queue, queue + tokens / pace)

    def _holder(self, prompt: Prompt, candidates: list[Upstream]) -> str:
        """Return the engine that all boxes take to hold the shared part."""
        parts = prompt.parts
        if not parts:
            return ''
        key = parts[-2].part if len(parts) > 1 else parts[0].part
        return ranked(key, [one.name for one in candidates])[0]

    def _weigh(
        self,
        upstream: Upstream,
        prompt: Prompt,
        passage: Passage,
        holds: bool,
    ) -> tuple[float, int, Upstream]:
        name = upstream.name
        tokens = self.memory.uncached(name, prompt)
        if holds and prompt.parts:
            tokens = min(tokens, prompt.parts[-1].tokens)
        again = max(0, tokens - prompt.parts[-1].tokens) if prompt.parts else 0
        engine = passage.pool.engine
        cost = float(self._queue(name) + tokens + AGAIN_WEIGHT * again)
        if engine is not None and self.books.running(name) >= engine.slots:
            cost += FULL_TOKENS
        if upstream.domain == self.domain:
            cost -= NEAR_TOKENS
        return cost * self.health.record(name).slowness, tokens, upstream

    def _queue(self, name: UpstreamName) -> int:
        """Return what is before a new request at an engine, in tokens."""
        running = RUNNING_TOKENS * self.books.running(name)
        return self.books.waiting(name) + running

    def _plain_cost(self, upstream: Upstream) -> float:
        record = self.health.record(upstream.name)
        seconds = max(LEAST_SECONDS, record.seconds)
        doubt = 1 + FAILURE_WEIGHT * record.failure_rate
        far = 1 if upstream.domain == self.domain else FAR_FACTOR
        jitter = random.uniform(1, JITTER_FACTOR)
        return (self.books.running(upstream.name) + 1) * seconds * doubt * far * jitter
