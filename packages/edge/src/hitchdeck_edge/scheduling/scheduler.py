"""Scheduler that places and admits requests, for a box or for the whole fleet.

Boxes that place requests locally hear of each other's requests some tenths of a second
later, and choose the same engine meanwhile.  A scheduler for the whole fleet sees every
request before it is sent.  It has no durable state: boxes report their open requests
when they connect, and place requests locally while no scheduler is reachable.
"""

import asyncio
from dataclasses import dataclass, replace

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock, boot_seconds
from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_edge.model.document import CacheLink, cache_link, cold_rate
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.open_work import OpenWorkEntry, OpenWorkTable
from hitchdeck_edge.scheduling.placement import NO_AREAS, Areas, Placement
from hitchdeck_edge.scheduling.queue_limit import max_queue_seconds
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.settings import BoxSettings
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry

CLEANUP_SECONDS = 2.0
"""Interval between removals of upstreams that are gone; only memory depends on it."""

BoxTicket = tuple[str, int]
"""A box, and its ticket for one of its requests."""


@dataclass(slots=True)
class OpenRequest:
    """One request that is open at an upstream.

    ``query`` is ``None`` if the request is not used as a sample.
    """

    entry: OpenWorkEntry
    query: PlacementQuery | None


@dataclass(frozen=True, slots=True)
class Unplaced:
    """Why a request is not sent now.

    Attributes
    ----------
    share_used
        Fraction of its share that its account used.
    queue, reading
        Expected seconds until the best engine begins to read it, and of reading.
    """

    refusal: Refusal
    share_used: float
    queue: float
    reading: float


class Scheduler:
    """Decides where a request goes, or that it is refused.

    Attributes
    ----------
    open
        Open requests, by box and ticket.
    """

    def __init__(
        self,
        documents: Documents,
        registry: Registry,
        shares: Shares,
        now: Clock,
        mechanisms: Mechanisms = ALL_MECHANISMS,
        areas: Areas = NO_AREAS,
    ) -> None:
        self.documents = documents
        self.shares = shares
        self.mechanisms = mechanisms
        self.placement = Placement(
            registry,
            OpenWorkTable(now),
            mechanisms,
            areas,
            self._cold_rate,
        )
        self.placement.moves.link_of = self._cache_link
        self.now = now
        self.open: dict[BoxTicket, OpenRequest] = {}

    def decide(self, query: PlacementQuery) -> Choice | Refusal:
        """Return the chosen upstream, or the reason for refusing the request."""
        found = self.attempt(query)
        return found if isinstance(found, Choice) else self.refuse(query, found)

    def place(self, key: BoxTicket, query: PlacementQuery) -> Choice | Refusal:
        """Decide on a request, and if it is accepted count it as open."""
        found = self.attempt_place(key, query)
        return found if isinstance(found, Choice) else self.refuse(query, found)

    def attempt(self, query: PlacementQuery) -> Choice | Unplaced:
        """Return the chosen upstream, or why no upstream may get the request now."""
        share_used = self._count_asked(query)
        choice = self.placement.choose(query)
        if choice is None:
            return Unplaced(Refusal.no_upstream, share_used, 0, 0)
        accepted = self._accepted(query, choice, share_used)
        if accepted is not None:
            self.placement.cold_budget.spend(accepted.upstream)
            self.placement.moves.record(query, accepted)
            if self.documents.document is not None:
                self.shares.grant(query)
            return accepted
        refusal = Refusal.over_share if share_used > 1 else Refusal.overloaded
        return Unplaced(refusal, share_used, choice.queue, choice.reading)

    def attempt_place(self, key: BoxTicket, query: PlacementQuery) -> Choice | Unplaced:
        """Attempt to place a request, and if it is accepted count it as open."""
        found = self.attempt(query)
        if isinstance(found, Choice):
            source = found.source.name if found.source else None
            self.add_open(key, found.upstream.name, found.tokens, query, source)
            if query.prompt is not None:
                self.placement.prefix_cache.record_prompt(
                    found.upstream.name, query.prompt
                )
        return found

    def refuse(self, query: PlacementQuery, unplaced: Unplaced) -> Refusal:
        """Log a refusal, and return its reason."""
        logs.info(
            'refused',
            request=query.request,
            account=query.account,
            reason=unplaced.refusal.name,
            standing=round(unplaced.share_used, 3),
            queue=round(unplaced.queue, 3),
            goal=query.goal,
            waited=round(query.waited, 3),
            version=self.documents.version,
        )
        return unplaced.refusal

    def add_open(
        self,
        key: BoxTicket,
        upstream: UpstreamName,
        unread: int,
        query: PlacementQuery | None = None,
        source: UpstreamName | None = None,
    ) -> None:
        """Count a request as open at an upstream.

        Parameters
        ----------
        unread
            Prompt tokens that the engine has not read yet.
        source
            Engine from which it takes a cached part of the prompt.
        """
        self.end(key)
        prompt = query.prompt if query else None
        entry = OpenWorkEntry(
            self.placement.open_work, upstream, unread, prompt, source
        )
        self.open[key] = OpenRequest(entry, query)

    def start(self, key: BoxTicket, *, learn: bool = True) -> None:
        """Record the first event of a request.

        Parameters
        ----------
        learn
            Whether its time, and later the request's duration, are used as samples.
        """
        known = self.open.get(key)
        if known is None or not known.entry.reading:
            return
        known.entry.start()
        self.placement.health.record_first_event(known.entry.upstream)
        self.placement.prefix_cache.record_read(
            known.entry.upstream, known.entry.prompt
        )
        if not learn:
            known.query = None
        if known.query is not None:
            self.placement.measure(known.entry, known.query)

    def end(self, key: BoxTicket) -> None:
        """Remove a request that has ended from the open ones."""
        known = self.open.pop(key, None)
        if known is None:
            return
        if known.query is not None:
            self.placement.measure_run(known.entry, known.query)
        known.entry.close()

    def drop_box(self, box: str) -> None:
        """Drop the open requests of a box, which reports them to the next scheduler."""
        keys = [key for key in self.open if key[0] == box]
        for key in keys:
            self.end(key)

    async def run(self) -> None:
        """Drop the state of upstreams that are gone, at intervals, until cancelled."""
        while True:
            self.placement.forget_gone()
            await asyncio.sleep(CLEANUP_SECONDS)

    def _cold_rate(self, pool: PoolName) -> float:
        return cold_rate(self.documents.document, pool)

    def _cache_link(self, pool: PoolName) -> CacheLink | None:
        return cache_link(self.documents.document, pool)

    def _accepted(
        self,
        query: PlacementQuery,
        choice: Choice,
        share_used: float,
    ) -> Choice | None:
        """Return a choice by which a request starts in time, or ``None``.

        The engine with the lowest cost may have a long queue, if it is nearby or has
        the prompt cached.  Before the request is refused, the best engine of another
        domain is tried; and if the account is within its share, the one that makes the
        first token soonest, although it must read again what another has cached.
        """
        if query.resumes or self._starts_in_time(query, choice, share_used):
            return choice
        if not self.mechanisms.another_engine:
            return None
        far = self._choose_far(query, choice)
        if far is not None and self._starts_in_time(query, far, share_used):
            return far
        if share_used > 1:
            return None
        soonest = self.placement.soonest(query)
        if soonest is None or not self._starts_in_time(query, soonest, share_used):
            return None
        return soonest

    def _choose_far(self, query: PlacementQuery, choice: Choice) -> Choice | None:
        """Return the choice without the preference for the box's own domain.

        ``None`` if it is in the same domain as ``choice``.
        """
        far = self.placement.choose(replace(query, domain=''))
        if far is None or far.upstream.domain == choice.upstream.domain:
            return None
        return far

    def _starts_in_time(
        self,
        query: PlacementQuery,
        choice: Choice,
        share_used: float,
    ) -> bool:
        yielding = self.mechanisms.yielding
        longest = max_queue_seconds(query, choice, share_used, yielding=yielding)
        return choice.queue <= longest

    def _count_asked(self, query: PlacementQuery) -> float:
        """Count a request; return the fraction of its share that its account used."""
        document = self.documents.document
        if document is None or query.account is None or query.prompt is None:
            return 0
        self.shares.capacity = document.limits.tokens_per_second
        pool = document.pools.get(query.pool)
        if pool is not None and pool.engine is not None:
            self.placement.prefix_cache.size = pool.engine.memory_tokens
            self.placement.learn_memory(query.pool, pool.engine.memory_tokens)
        if not query.waited:
            self.shares.ask(query)
        if not self.mechanisms.shares:
            return 0
        return self.shares.share_used(query.account)


def new_scheduler(
    settings: BoxSettings,
    documents: Documents,
    registry: Registry,
) -> Scheduler:
    """Return the scheduler of a process, without any open requests."""
    shares = Shares(settings.share_window, boot_seconds)
    mechanisms = settings.mechanisms
    if not settings.move_cache:
        mechanisms = replace(mechanisms, cache_moves=False)
    scheduler = Scheduler(
        documents,
        registry,
        shares,
        boot_seconds,
        mechanisms,
        settings.areas,
    )
    if settings.learn_engines:
        scheduler.placement.learn_engines()
    return scheduler
