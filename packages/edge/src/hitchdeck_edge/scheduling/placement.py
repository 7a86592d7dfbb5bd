"""Choosing an upstream for a request.

Among engines the one with the lowest cost is chosen, in tokens to be read before the
first output token: the queue, the part of the prompt that is not cached, and recent
slowness.  A shared prompt part that no engine is known to have cached goes to an engine
that a rendezvous hash selects; another one gets it only if queueing there costs more
than to read the part again.  Among plain services the one with the fewest open requests
is chosen, weighted by latency and failure rate; those of the whole fleet where the
settings say so.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType

from hitchdeck_core.hashing import first_ranked
from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.cache_moves import CacheMoves, ReadCosts
from hitchdeck_edge.scheduling.cold_budget import ColdBudget
from hitchdeck_edge.scheduling.cost_weights import (
    FULL_TOKENS,
    REREAD_WEIGHT,
    RUNNING_TOKENS,
    near_tokens,
)
from hitchdeck_edge.scheduling.engine_costs import EngineCosts
from hitchdeck_edge.scheduling.engine_memory import MemoryTable
from hitchdeck_edge.scheduling.engine_model import EngineModel
from hitchdeck_edge.scheduling.engine_speed import EngineSpeed
from hitchdeck_edge.scheduling.health import Health, weigh_health
from hitchdeck_edge.scheduling.open_work import OpenWorkEntry, OpenWorkTable
from hitchdeck_edge.scheduling.prefix_cache import PrefixCacheModel
from hitchdeck_edge.scheduling.service_costs import ServiceCosts
from hitchdeck_edge.state.registry import Registry

MAX_SLOWNESS = 4.0
"""Upper bound of one slowness sample, so that a single late response has little
effect."""

Areas = Mapping[str, str]
"""The area of each failure domain."""

NO_AREAS: Areas = MappingProxyType({})


def _no_limit(_pool: PoolName) -> float:
    return 0


class Placement:
    """Chooses upstreams by everything that a process knows of them.

    Attributes
    ----------
    services
        What the fleet observed of plain services; ``None`` where it takes no part.
    keepers
        Called with the upstreams that are present, to drop the state of all others.
    """

    def __init__(
        self,
        registry: Registry,
        open_work: OpenWorkTable,
        mechanisms: Mechanisms = ALL_MECHANISMS,
        areas: Areas = NO_AREAS,
        cold_rate: Callable[[PoolName], float] = _no_limit,
    ) -> None:
        self.registry = registry
        self.open_work = open_work
        self.areas = areas
        self.cold_budget = ColdBudget(open_work.now, registry.cold, cold_rate)
        self.mechanisms = mechanisms
        self.health = Health(open_work.now)
        self.prefix_cache = PrefixCacheModel(open_work.now)
        self.moves = CacheMoves(open_work.moves, self.prefix_cache, self.health)
        self.speed = EngineSpeed()
        self.costs: EngineCosts | None = None
        self.services = ServiceCosts(self.health, open_work, mechanisms)
        self.keepers: list[Callable[[set[UpstreamName]], None]] = []

    def learn_engines(self) -> None:
        """Learn the speed of each engine, and track its memory."""
        if self.mechanisms.engine_model:
            self.open_work.model = EngineModel(self.open_work.now)
            self.open_work.memory = MemoryTable()
            self.costs = EngineCosts(
                self.open_work,
                self.open_work.model,
                self.open_work.memory,
                self.health,
                self.mechanisms,
            )

    def learn_memory(self, pool: PoolName, tokens: int) -> None:
        """Record the memory of each engine of a pool, as the document states it."""
        if self.costs is not None:
            self.costs.memory.sizes[pool] = tokens

    def choose(self, query: PlacementQuery) -> Choice | None:
        """Return the best upstream that was not tried yet, or ``None``."""
        candidates = self.candidates(query)
        if not candidates:
            return None
        if not query.slots or query.prompt is None:
            best = self.services.cheapest(candidates, query)
            return Choice(best, 0, 0)
        return self._choose_engine(query, query.prompt, candidates)

    def eligible(self, query: PlacementQuery) -> list[Upstream]:
        """Return the serving upstreams that a request may use and has not tried."""
        serving = self.registry.serving(query.pool)
        if query.software:
            serving = [one for one in serving if one.software == query.software]
        if query.tried or query.avoid:
            passed_over = query.tried | query.avoid
            serving = [one for one in serving if one.name not in passed_over]
        if query.areas:
            areas = query.areas
            serving = [one for one in serving if self.areas.get(one.domain) in areas]
        return serving

    def candidates(self, query: PlacementQuery) -> list[Upstream]:
        """Return the upstreams that may get a request now.

        Ejected and unresponsive ones are included only if there are no others.
        """
        serving = self.cold_budget.usable(self.eligible(query))
        if not self.mechanisms.ejection:
            return serving
        ejected = self.health.ejected()
        trusted = [
            one for one in serving if not one.unresponsive and one.name not in ejected
        ]
        return trusted or serving

    def measure(self, entry: OpenWorkEntry, query: PlacementQuery) -> None:
        """Update speed and slowness by the time until a request's first event."""
        seconds = self.open_work.now() - entry.opened
        speed = self.speed.read_rate(query.pool)
        self.speed.measure(query.pool, entry.expected, seconds)
        expected = max(entry.expected / speed, query.goal / 4)
        ratio = min(MAX_SLOWNESS, max(1, seconds / expected))
        self.health.measure_slowness(entry.upstream, ratio)
        if self.costs is not None:
            ahead = (entry.unread, entry.running)
            self.costs.model.measure(entry.upstream, query.pool, ahead, seconds)

    def measure_run(self, entry: OpenWorkEntry, query: PlacementQuery) -> None:
        """Update the slot occupancy by the duration of a request that has ended."""
        if entry.reading:
            return
        seconds = self.open_work.now() - entry.opened
        self.speed.measure_run(query.pool, seconds)
        if self.costs is not None:
            self.costs.model.measure_run(entry.upstream, query.pool, seconds)

    def forget_gone(self) -> None:
        """Drop what was learned of upstreams that are gone.

        The registry keeps their records for ``GONE_RETENTION_SECONDS``.
        """
        self.registry.forget_ended()
        present = self.registry.records.keys() - self.registry.gone()
        self.prefix_cache.keep(present)
        self.open_work.keep(present)
        self.open_work.moves.keep(present)
        self.health.keep(present)
        for keep in self.keepers:
            keep(present)
        if self.costs is not None:
            self.costs.keep(present)

    def soonest(self, query: PlacementQuery) -> Choice | None:
        """Return the engine with a free slot that makes the first token soonest.

        Rereading what another engine has cached adds no cost here.
        """
        prompt = query.prompt
        if prompt is None:
            return self.choose(query)
        candidates = self.candidates(query)
        unread = self._unread_at(candidates, prompt)
        costs = self._read_costs(query, prompt)
        if candidates and self.mechanisms.cache_moves:
            costs.source = self.moves.source(query, candidates, unread, costs)
        choices = [
            (self._choice(one, query, costs.left(tokens)), tokens)
            for one, tokens in zip(candidates, unread, strict=True)
            if not self._is_full(one, query)
        ]
        if not choices:
            return None
        soonest, tokens = min(choices, key=lambda one: first_token_seconds(one[0]))
        return self._with_move(soonest, query, costs, tokens)

    def _choose_engine(
        self,
        query: PlacementQuery,
        prompt: Prompt,
        candidates: list[Upstream],
    ) -> Choice:
        unread = self._unread_at(candidates, prompt)
        holder = self._assumed_holder(
            prompt, self._nearby(candidates, query), min(unread)
        )
        costs = self._read_costs(query, prompt)
        if self.mechanisms.cache_moves:
            costs.source = self.moves.source(query, candidates, unread, costs)
        expected = unread
        if holder:
            expected = [
                min(costs.own, tokens) if one.name == holder else tokens
                for one, tokens in zip(candidates, unread, strict=True)
            ]
        place = self._cheapest(query, prompt, candidates, costs.lowest(expected))
        left = costs.left(expected[place])
        choice = self._choice(candidates[place], query, left)
        return self._with_move(choice, query, costs, unread[place])

    def _cheapest(
        self,
        query: PlacementQuery,
        prompt: Prompt,
        candidates: list[Upstream],
        works: list[float],
    ) -> int:
        """Return the position of the engine with the lowest cost."""
        if self.costs is not None:
            return self.costs.cheapest(query, prompt, candidates, works)
        weighed = self._engine_costs(candidates, prompt, query, works)
        return weighed.index(min(weighed))

    def _read_costs(self, query: PlacementQuery, prompt: Prompt) -> ReadCosts:
        own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
        read_rate = self.speed.read_rate(query.pool)
        weight: float = REREAD_WEIGHT
        if self.costs is not None:
            read_rate = 1 / self.costs.model.pool(query.pool).fit.per_token
            weight = self.costs.reread_weight(query.pool)
        if not self.mechanisms.reading_again:
            weight = 0
        return ReadCosts(own, weight, read_rate)

    def _with_move(
        self, choice: Choice, query: PlacementQuery, costs: ReadCosts, unread: int
    ) -> Choice:
        """Return a choice with the source, if moving costs less than reading there.

        The time to read all of it is kept in case the source fails.
        """
        moved = unread - costs.left(unread)
        if costs.source is None or not moved:
            return choice
        whole = self._choice(choice.upstream, query, choice.tokens + moved)
        return replace(
            choice, source=costs.source.upstream, moved=moved, reading=whole.reading
        )

    def _choice(
        self,
        upstream: Upstream,
        query: PlacementQuery,
        tokens: int,
    ) -> Choice:
        if self.costs is not None:
            return self.costs.choice(upstream, query, tokens)
        seconds = self._slowness(upstream) / self.speed.read_rate(query.pool)
        # Requests that wait to be read occupy slots as well, so the two waits overlap.
        place = self._slot_wait_seconds(upstream.name, query)
        return Choice(
            upstream,
            tokens,
            queue=max(place, self._tokens_ahead(upstream.name) * seconds),
            reading=tokens * seconds,
            fits=not self._is_full(upstream, query),
        )

    def _nearby(
        self, candidates: list[Upstream], query: PlacementQuery
    ) -> list[Upstream]:
        """Return the engines in the request's domain, or all if there are none."""
        if not self.mechanisms.near_first:
            return candidates
        return [one for one in candidates if one.domain == query.domain] or candidates

    def _assumed_holder(
        self,
        prompt: Prompt,
        candidates: list[Upstream],
        least_unread: int,
    ) -> str:
        """Return the engine that is assumed to have cached the shared part.

        It is the same one on all boxes.  Empty if some engine is known to have the
        shared part, or if there is nothing to cache.
        """
        parts = prompt.parts
        if not parts or not self.mechanisms.prefix_memory:
            return ''
        if least_unread <= parts[-1].tokens:
            return ''
        key = parts[-2].part_id if len(parts) > 1 else parts[0].part_id
        return first_ranked(key, [one.name for one in candidates])

    def _engine_costs(
        self,
        candidates: list[Upstream],
        prompt: Prompt,
        query: PlacementQuery,
        works: list[float],
    ) -> list[float]:
        """Return the cost of each engine, in tokens to be read.

        Few calls for each engine: this is the largest part of a decision, which takes
        it up to four times.

        Parameters
        ----------
        works
            Cost of having the prompt in the cache of each of the candidates.
        """
        loads = self.open_work.loads([one.name for one in candidates])
        costs = [
            float(waiting + RUNNING_TOKENS * running + work)
            for (waiting, running), work in zip(loads, works, strict=True)
        ]
        for position, (_, running) in enumerate(loads):
            if running >= query.slots:
                costs[position] += FULL_TOKENS
        weigh_health(costs, candidates, self.health, slowness=self.mechanisms.slowness)
        if self.mechanisms.near_first:
            self._prefer_near(costs, query, prompt, candidates)
        return costs

    def _prefer_near(
        self,
        costs: list[float],
        query: PlacementQuery,
        prompt: Prompt,
        candidates: list[Upstream],
    ) -> None:
        """Reduce the costs of the engines in the request's domain."""
        read_rate = self.speed.read_rate(query.pool)
        for position, one in enumerate(candidates):
            if one.domain == query.domain:
                wait = self._tokens_ahead(one.name)
                costs[position] -= near_tokens(query, prompt, wait, read_rate)

    def _tokens_ahead(self, name: UpstreamName) -> int:
        """Return the work ahead of a new request at an engine, in tokens."""
        return self.open_work.waiting(name) + RUNNING_TOKENS * self.open_work.running(
            name
        )

    def _slot_wait_seconds(self, name: UpstreamName, query: PlacementQuery) -> float:
        """Return the expected seconds until an engine has a free slot.

        Its slots are assumed to become free at even intervals over the mean duration
        of a request.
        """
        ahead = self.open_work.running(name) - query.slots + 1
        if ahead <= 0 or not self.mechanisms.places:
            return 0
        return ahead * self.speed.mean_run_seconds(query.pool) / query.slots

    def _unread_at(self, upstreams: list[Upstream], prompt: Prompt) -> list[int]:
        """Return the tokens of a prompt that each engine must read, as far as known."""
        if not self.mechanisms.prefix_memory:
            return [prompt.tokens for _ in upstreams]
        return self.prefix_cache.uncached_at([one.name for one in upstreams], prompt)

    def _slowness(self, upstream: Upstream) -> float:
        if not self.mechanisms.slowness:
            return 1
        return self.health.slowness(upstream.name)

    def _is_full(self, upstream: Upstream, query: PlacementQuery) -> bool:
        return self.open_work.running(upstream.name) >= query.slots


def first_token_seconds(choice: Choice) -> float:
    """Return the expected seconds until the first token of a request."""
    return choice.queue + choice.reading
