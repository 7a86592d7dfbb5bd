"""Scheduler that places and admits requests, for a box or for the whole fleet.

Boxes that place requests locally hear of each other's requests some tenths of a second
later, and choose the same engine meanwhile.  A scheduler for the whole fleet sees every
request before it is sent.  It has no durable state: boxes report their open requests
when they connect, and place requests locally while no scheduler is reachable.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock, boot_seconds
from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_edge.model.document import CacheLink, cache_link, cold_rate
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.stream_origins import StreamKey, StreamOrigin
from hitchdeck_edge.scheduling.engine_order import EngineOrder
from hitchdeck_edge.scheduling.open_work import OpenWorkEntry, OpenWorkTable
from hitchdeck_edge.scheduling.placement import (
    NO_AREAS,
    Areas,
    Placement,
    first_token_seconds,
)
from hitchdeck_edge.scheduling.queue_limit import (
    cause_of_refusal,
    has_room,
)
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.settings import BoxSettings
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry
from hitchdeck_edge.state.stream_origins import StreamOrigins

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
    soonest_queue, first_token
        Expected seconds until reading begins, and until the first token, at the engine
        that makes it soonest of those that were considered.
    choice
        The best engine, if there is one.
    """

    refusal: Refusal
    share_used: float
    queue: float
    reading: float
    soonest_queue: float = 0.0
    first_token: float = 0.0
    choice: Choice | None = None


class Scheduler:
    """Decides where a request goes, or that it is refused.

    Attributes
    ----------
    open
        Open requests, by box and ticket.
    origins
        Where it placed streams; ``None`` in a box, which records what it serves.
    refused_beside_room
        Numbers of requests that were refused while their engines had room, by cause.
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
        self.origins: StreamOrigins | None = None
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
        self.engine_order = EngineOrder(self.placement, lambda: self.mechanisms)
        self.now = now
        self.open: dict[BoxTicket, OpenRequest] = {}
        self.refused_beside_room: Counter[str] = Counter()

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
        choice = self.engine_order.in_time(query, choice, share_used)
        soonest = choice
        for one in self.engine_order.alternatives(query, choice, share_used):
            if query.resumes or self.engine_order.starts_in_time(
                query, one, share_used
            ):
                self.placement.cold_budget.spend(one.upstream)
                self.placement.moves.record(query, one)
                if self.documents.document is not None:
                    self.shares.grant(query)
                return one
            soonest = min(soonest, one, key=first_token_seconds)
        refusal = Refusal.over_share if share_used > 1 else Refusal.overloaded
        return Unplaced(
            refusal,
            share_used,
            choice.queue,
            choice.reading,
            soonest.queue,
            first_token_seconds(soonest),
            choice,
        )

    def attempt_place(self, key: BoxTicket, query: PlacementQuery) -> Choice | Unplaced:
        """Attempt to place a request, and if it is accepted count it as open."""
        found = self.attempt(query)
        if isinstance(found, Choice):
            source = found.source.name if found.source else None
            self._record_origin(query, found)
            self.add_open(key, found.upstream.name, found.tokens, query, source)
            if query.prompt is not None:
                self.placement.prefix_cache.record_prompt(
                    found.upstream.name, query.prompt
                )
        return found

    def refuse(
        self,
        query: PlacementQuery,
        unplaced: Unplaced,
        retry_after: float | None = None,
    ) -> Refusal:
        """Log a refusal, count it if engines have room, and return its reason.

        Parameters
        ----------
        retry_after
            Seconds until the request can be served, if they are predicted.
        """
        cause = cause_of_refusal(query, unplaced.choice).name
        beside_room = self._has_room(query)
        if beside_room:
            self.refused_beside_room[cause] += 1
        logs.info(
            'refused',
            request=query.request,
            account=query.account,
            reason=unplaced.refusal.name,
            cause=cause,
            beside_room=beside_room,
            standing=round(unplaced.share_used, 3),
            queue=round(unplaced.queue, 3),
            goal=query.goal,
            waited=round(query.waited, 3),
            retry_after=None if retry_after is None else round(retry_after, 3),
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
        # A move takes its time, and the source may not have had the part.
        if known.query is not None and known.entry.source is None:
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

    def record_sent(self, streams: Iterable[StreamKey], upstream: UpstreamName) -> None:
        """Record where a stream begins that its box placed by itself."""
        record = self.placement.registry.records.get(upstream)
        if self.origins is not None and record is not None:
            origin = StreamOrigin(record.pool, record.software)
            self.origins.remember(streams, origin)

    def _record_origin(self, query: PlacementQuery, choice: Choice) -> None:
        """Record where a stream begins, as its box may be lost right after that."""
        if self.origins is not None:
            origin = StreamOrigin(query.pool, choice.upstream.software)
            self.origins.remember(query.streams, origin)

    def _has_room(self, query: PlacementQuery) -> bool:
        if not query.slots:
            return False
        running = self.placement.open_work.running
        serving = self.placement.registry.serving(query.pool)
        return has_room([running(one.name) for one in serving], query.slots)

    def _cold_rate(self, pool: PoolName) -> float:
        return cold_rate(self.documents.document, pool)

    def _cache_link(self, pool: PoolName) -> CacheLink | None:
        return cache_link(self.documents.document, pool)

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
