"""One view of a pool's engines for the whole fleet.

Boxes that choose by themselves know of each other's sends only some tenths of
a second later, and send to the same engine meanwhile.  The scheduler sees
every request before it is sent.  It keeps nothing that must survive: boxes
name their open work when they come, and choose by themselves while none is in
reach.
"""

import asyncio
from dataclasses import dataclass, replace

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock, boot_seconds
from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_edge.model.document import cold_rate
from hitchdeck_edge.model.mechanisms import ALL, Mechanisms
from hitchdeck_edge.model.placing import Choice, Wanted
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.books import Books, Ticket
from hitchdeck_edge.scheduling.patience import longest_queue
from hitchdeck_edge.scheduling.placement import NO_AREAS, Areas, Placement
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.settings import BoxSettings
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry

CLEANUP_SECONDS = 2.0
"""Between two looks for upstreams that ended: it only bounds memory."""

BoxTicket = tuple[str, int]
"""A box, and its number for one of its requests."""


@dataclass(slots=True)
class Open:
    """One request that is open at an engine.

    ``wanted`` is absent where nothing is to be learned of it.
    """

    ticket: Ticket
    wanted: Wanted | None


class Scheduler:
    """Decides on requests, with everything that a process knows."""

    def __init__(
        self,
        documents: Documents,
        registry: Registry,
        shares: Shares,
        now: Clock,
        mechanisms: Mechanisms = ALL,
        areas: Areas = NO_AREAS,
    ) -> None:
        self.documents = documents
        self.shares = shares
        self.mechanisms = mechanisms
        self.placement = Placement(
            registry,
            Books(now),
            mechanisms,
            areas,
            self._cold_rate,
        )
        self.now = now
        self.open: dict[BoxTicket, Open] = {}

    def decide(self, wanted: Wanted) -> Choice | Refusal:
        """Choose an engine, or say why the request is refused."""
        standing = self._count_asked(wanted)
        choice = self.placement.choose(wanted)
        if choice is None:
            return self._refuse(wanted, Refusal.no_upstream, standing, 0)
        accepted = self._accepted(wanted, choice, standing)
        if accepted is not None:
            self.placement.cold_budget.spend(accepted.upstream)
            if self.documents.document is not None:
                self.shares.grant(wanted)
            return accepted
        refusal = Refusal.over_share if standing > 1 else Refusal.overloaded
        return self._refuse(wanted, refusal, standing, choice.queue)

    def place(self, key: BoxTicket, wanted: Wanted) -> Choice | Refusal:
        """Decide, and enter the request in the books."""
        decision = self.decide(wanted)
        if isinstance(decision, Choice):
            self.enter(key, decision.upstream.name, decision.tokens, wanted)
            if wanted.prompt is not None:
                self.placement.memory.note(decision.upstream.name, wanted.prompt)
        return decision

    def enter(
        self,
        key: BoxTicket,
        upstream: UpstreamName,
        unread: int,
        wanted: Wanted | None = None,
    ) -> None:
        """Enter a request that is open at an engine."""
        self.end(key)
        ticket = Ticket(self.placement.books, upstream, unread)
        self.open[key] = Open(ticket, wanted)

    def start(self, key: BoxTicket, *, learn: bool = True) -> None:
        """Note the first event of a request; ``learn`` of its engine by it."""
        known = self.open.get(key)
        if known is None or not known.ticket.reading:
            return
        known.ticket.start()
        if not learn:
            known.wanted = None
        if known.wanted is not None:
            self.placement.measure(known.ticket, known.wanted)

    def end(self, key: BoxTicket) -> None:
        """Note the end of a request."""
        known = self.open.pop(key, None)
        if known is None:
            return
        if known.wanted is not None:
            self.placement.measure_run(known.ticket, known.wanted)
        known.ticket.close()

    def leave(self, box: str) -> None:
        """Forget what a box has open: it names it to whoever comes next."""
        keys = [key for key in self.open if key[0] == box]
        for key in keys:
            self.end(key)

    async def run(self) -> None:
        """Forget upstreams that ended; for ever."""
        while True:
            self.placement.forget_gone()
            await asyncio.sleep(CLEANUP_SECONDS)

    def _cold_rate(self, pool: PoolName) -> float:
        return cold_rate(self.documents.document, pool)

    def _accepted(
        self,
        wanted: Wanted,
        choice: Choice,
        standing: float,
    ) -> Choice | None:
        """Return where a request may go within its time, if anywhere.

        The cheapest engine may be one with a long wait, for being nearby or for what
        it has cached.  Rather than refuse a request, it goes to another domain; within
        its share, another engine reads again what is cached.
        """
        if wanted.resumes or self._begins_in_time(wanted, choice, standing):
            return choice
        if not self.mechanisms.another_engine:
            return None
        far = self._choose_far(wanted, choice)
        if far is not None and self._begins_in_time(wanted, far, standing):
            return far
        if standing > 1:
            return None
        soonest = self.placement.soonest(wanted)
        if soonest is None or not self._begins_in_time(wanted, soonest, standing):
            return None
        return soonest

    def _choose_far(self, wanted: Wanted, choice: Choice) -> Choice | None:
        """Return the best engine of another domain, if only nearness ruled it out."""
        far = self.placement.choose(replace(wanted, domain=''))
        if far is None or far.upstream.domain == choice.upstream.domain:
            return None
        return far

    def _begins_in_time(
        self,
        wanted: Wanted,
        choice: Choice,
        standing: float,
    ) -> bool:
        yielding = self.mechanisms.yielding
        longest = longest_queue(wanted, choice, standing, yielding=yielding)
        return choice.queue <= longest

    def _refuse(
        self,
        wanted: Wanted,
        refusal: Refusal,
        standing: float,
        queue: float,
    ) -> Refusal:
        logs.info(
            'refused',
            request=wanted.request,
            account=wanted.account,
            reason=refusal.name,
            standing=round(standing, 3),
            queue=round(queue, 3),
            goal=wanted.goal,
            version=self.documents.version,
        )
        return refusal

    def _count_asked(self, wanted: Wanted) -> float:
        """Count a request; return what its account has had of its share."""
        document = self.documents.document
        if document is None or wanted.account is None or wanted.prompt is None:
            return 0
        self.shares.capacity = document.limits.tokens_per_second
        pool = document.pools.get(wanted.pool)
        if pool is not None and pool.engine is not None:
            self.placement.memory.size = pool.engine.memory_tokens
        self.shares.ask(wanted)
        if not self.mechanisms.shares:
            return 0
        return self.shares.standing(wanted.account)


def new_scheduler(
    settings: BoxSettings,
    documents: Documents,
    registry: Registry,
) -> Scheduler:
    """Return a process's scheduler, which knows of no request yet."""
    shares = Shares(settings.share_window, boot_seconds)
    return Scheduler(
        documents,
        registry,
        shares,
        boot_seconds,
        settings.mechanisms,
        settings.areas,
    )
