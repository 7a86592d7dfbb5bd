"""Cost of each engine for a request, and the wait there, by the engine's model.

Load that it answers: engines of one pool that differ in speed, stall for a while, or
run out of memory.  Faster engines are used more, in proportion: a token costs what the
engine takes to read it.
"""

import math

from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.cost_weights import (
    FAILURE_TOKENS,
    FULL_TOKENS,
    REREAD_WEIGHT,
    RUNNING_TOKENS,
    near_tokens,
)
from hitchdeck_edge.scheduling.engine_memory import MemoryTable, output_tokens
from hitchdeck_edge.scheduling.engine_model import (
    STALL_DEVIATION,
    EngineModel,
    EnginePace,
)
from hitchdeck_edge.scheduling.health import Health
from hitchdeck_edge.scheduling.open_work import OpenWorkTable

UNEVEN_REREAD_WEIGHT = 16
"""Like ``REREAD_WEIGHT``, for pools whose engines differ.  A token costs less at a fast
engine, and at 8 more parts were read again there: 0.804 (load a of the lab) and 0.803
(b) were earned at 8, 0.815 and 0.853 at 16, 0.811 and 0.876 at 32 (two plays each)."""


class EngineCosts:
    """Weighs the engines of a pool by their models."""

    def __init__(
        self,
        open_work: OpenWorkTable,
        model: EngineModel,
        memory: MemoryTable,
        health: Health,
        mechanisms: Mechanisms,
    ) -> None:
        self.open_work = open_work
        self.model = model
        self.memory = memory
        self.health = health
        self.mechanisms = mechanisms

    def cheapest(
        self,
        query: PlacementQuery,
        prompt: Prompt,
        candidates: list[Upstream],
        works: list[float],
    ) -> int:
        """Return the position of the engine with the lowest cost.

        Parameters
        ----------
        works
            Cost of reading the prompt at each of the candidates, in tokens.
        """
        weighing = _Weighing(self, query, prompt)
        costs = [
            self._engine_seconds(one, work, weighing)
            for one, work in zip(candidates, works, strict=True)
        ]
        if self.mechanisms.near_first:
            fit = self.model.pool(query.pool).fit
            now = self.open_work.now()
            for position, one in enumerate(candidates):
                if one.domain == query.domain:
                    wait = self._wait(one, now) / fit.per_token
                    near = near_tokens(query, prompt, wait, 1 / fit.per_token)
                    costs[position] -= near * fit.per_token
        return costs.index(min(costs))

    def choice(self, upstream: Upstream, query: PlacementQuery, tokens: int) -> Choice:
        """Return a choice with what is expected there.

        The fixed latency of the engine counts as reading: it passes whatever the queue.
        """
        now = self.open_work.now()
        pace = self.model.engine(upstream.name, upstream.pool)
        missing = self._missing(upstream.name, query, pace)
        ahead = self.open_work.running(upstream.name) - query.slots + 1
        freed = max(0, ahead) / query.slots
        if missing:
            freed = max(freed, missing / self.memory.sizes[query.pool])
        if not self.mechanisms.places:
            freed = 0
        per_token = pace.per_token * pace.stall_factor(now)
        return Choice(
            upstream,
            tokens,
            # Slots and memory become free evenly over the mean duration of a request.
            queue=max(freed * pace.run_seconds, self._wait(upstream, now)),
            reading=pace.latency + tokens * per_token,
            fits=ahead <= 0 and not missing,
        )

    def reread_weight(self, pool: PoolName) -> float:
        """Return the cost of each token that is read again, beyond its time."""
        return UNEVEN_REREAD_WEIGHT if self.model.pool(pool).uneven else REREAD_WEIGHT

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop what was learned of all other engines."""
        self.model.keep(names)
        self.memory.keep(names)

    def _engine_seconds(
        self, upstream: Upstream, work: float, weighing: '_Weighing'
    ) -> float:
        """Return the cost of an engine, given what it must read."""
        name = upstream.name
        pace = self.model.paces.get(name) or self.model.engine(name, upstream.pool)
        queue = weighing.queues.get(name)
        running = queue.running if queue else self.open_work.running(name)
        memory = self.memory.engines.get(name)
        # The sum is an upper bound; what is in use is worked out where it is too much.
        crowded = memory and memory.prompts + memory.output > weighing.room
        if running >= weighing.query.slots or (
            crowded and self._missing(name, weighing.query, pace)
        ):
            work += FULL_TOKENS
        cost = (work + RUNNING_TOKENS * running) * pace.per_token
        if pace.deviation > STALL_DEVIATION:
            cost *= pace.stall_factor(weighing.now)
        record = weighing.records.get(name)
        if record is not None and record.failure_rate:
            cost += weighing.failure * record.failure_rate
        if queue is None or queue.tokens:
            cost += self._reading_ahead(name, pace, weighing.now)
        return cost

    def _wait(self, upstream: Upstream, now: float) -> float:
        """Return the seconds until an engine begins to read a new request.

        Each running request makes the steps of the engine a little longer.
        """
        name = upstream.name
        pace = self.model.engine(name, upstream.pool)
        steps = self.open_work.running(name) * pace.per_running
        return steps * pace.stall_factor(now) + self._reading_ahead(name, pace, now)

    def _reading_ahead(self, name: UpstreamName, pace: EnginePace, now: float) -> float:
        """Return the seconds for which an engine reads what was sent to it."""
        waiting = self.open_work.waiting(name)
        queue = self.open_work.queues.get(name)
        if not waiting:
            return 0
        per_token = pace.per_token * pace.stall_factor(now)
        if queue is None:
            return waiting * per_token
        done, overdue = queue.progress(pace, now)
        return max(0, waiting - done) * per_token + overdue

    def _missing(
        self, name: UpstreamName, query: PlacementQuery, pace: EnginePace
    ) -> float:
        """Return the tokens of memory that a request needs and that are not free."""
        known = self.memory.engines.get(name)
        size = self.memory.sizes.get(query.pool)
        if known is None or not size or query.prompt is None:
            return 0
        used = known.occupied(self.open_work.now(), pace.run_seconds)
        return max(0, used + known.need(query.prompt) - size)


class _Weighing:
    """What is the same for all engines that are weighed for a request.

    Attributes
    ----------
    failure
        Cost of a lost answer, in seconds.
    records
        Health of the engines.
    queues
        Load of the engines, if this process knows all of it.
    room
        Tokens that may be in use at an engine so that the request fits in any case.
    """

    __slots__ = ('failure', 'now', 'query', 'queues', 'records', 'room')

    def __init__(
        self, costs: EngineCosts, query: PlacementQuery, prompt: Prompt
    ) -> None:
        open_work = costs.open_work
        self.query = query
        self.now = open_work.now()
        per_token = costs.model.pool(query.pool).fit.per_token
        self.failure = FAILURE_TOKENS * per_token
        self.records = costs.health.records
        self.queues = open_work.queues if open_work.sees_all() else {}
        size = costs.memory.sizes.get(query.pool)
        need = prompt.tokens + output_tokens(prompt)
        self.room = size - need if size else math.inf
