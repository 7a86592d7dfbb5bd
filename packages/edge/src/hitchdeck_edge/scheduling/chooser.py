"""Choosing upstreams by the fleet's scheduler, or locally when it does not answer."""

import asyncio
from dataclasses import replace

from hitchdeck_core.backpressure import Backpressure
from hitchdeck_edge.links.placing import PlacingLink
from hitchdeck_edge.model.placing import (
    Choice,
    PlacementDecision,
    PlacementQuery,
)
from hitchdeck_edge.model.refusals import Refusal, Refused
from hitchdeck_edge.model.request_context import THIS_BOX, RequestContext
from hitchdeck_edge.scheduling.engine_memory import exceeds_memory
from hitchdeck_edge.scheduling.retry_times import RetryTimes
from hitchdeck_edge.scheduling.scheduler import BoxTicket, Scheduler, Unplaced
from hitchdeck_edge.scheduling.service_places import ServicePlaces
from hitchdeck_edge.scheduling.waiting import Decided, Reviews, WaitingQueue

MIN_WAIT_SECONDS = 0.001
"""Longest wait of a request that has no time left to wait.  It is decided at once, and
its retry is recognized as one."""


class Chooser:
    """Chooses upstreams for a box's requests.

    Attributes
    ----------
    backpressure
        Backoff that upstreams requested from this box.  Each query to the scheduler
        lists the upstreams to avoid, since the scheduler does not see their
        responses and would otherwise have to keep this state for every box.
    goal_wait
        Part of its goal for which a request may wait for a place.
    service_places
        Holds calls while all places of plain services are taken; ``None`` where boxes
        don't share what they observe.
    """

    def __init__(
        self,
        domain: str,
        local: Scheduler,
        link: PlacingLink,
        goal_wait: float = 0,
    ) -> None:
        self.domain = domain
        self.local = local
        self.link = link
        self.goal_wait = goal_wait if local.mechanisms.waiting else 0
        self.places: dict[BoxTicket, asyncio.Future[PlacementDecision]] = {}
        # A placed request counts as load only once it is sent, so that a review which
        # placed several would send all of them to the same engine.
        self.queue = WaitingQueue(
            local,
            self._attempt,
            link.now,
            max_placed=1,
            retry_times=RetryTimes(local.shares, link.now),
        )
        self.reviews = Reviews(self.queue, self._deliver)
        self.backpressure = Backpressure(link.now)
        self.service_places: ServicePlaces | None = None

    def give_back(self, choice: Choice) -> None:
        """Release a choice that is not used, so that it no longer counts as load."""
        self.link.release(choice.ticket)

    def backoff_left(self, context: RequestContext) -> float:
        """Return the seconds until some upstream accepts a request again."""
        serving = self.local.placement.registry.serving(context.pool.name)
        return self.backpressure.seconds_until_accepting(
            one.name for one in serving if context.software in {'', one.software}
        )

    async def choose(self, context: RequestContext) -> Choice | Refusal:
        """Return the upstream to send a request to, or the reason for refusing it."""
        found = await self._choose(context)
        if found is Refusal.no_upstream and context.software:
            return Refusal.version_gone
        return found

    def expected_service_seconds(self, context: RequestContext) -> float | None:
        """Return the expected time of a call at a plain service that it has not tried.

        ``None`` if no such one responds.
        """
        closed = frozenset(self.backpressure.blocked())
        query = replace(context.placement_query(self.domain), avoid=closed)
        placement = self.local.placement
        others = placement.services.responding(placement.candidates(query))
        return min(map(placement.services.seconds, others), default=None)

    async def _choose(self, context: RequestContext) -> Choice | Refusal:
        context.retry_after = 0
        query = context.placement_query(self.domain)
        closed = self.backpressure.blocked()
        if closed:
            query = replace(query, avoid=frozenset(closed))
        if (closed or query.software) and not self.local.placement.eligible(query):
            return Refusal.no_upstream
        if not query.slots or query.prompt is None:
            return await self._choose_service(query, context)
        if self._exceeds_memory(context):
            return Refusal.too_large
        wait = self.goal_wait * query.goal
        if wait and not query.resumes:
            wait -= self.link.now() - context.arrived
            query = replace(query, longest_wait=max(MIN_WAIT_SECONDS, wait))
        scheduler = self.link.scheduler
        asks = self.local.mechanisms.scheduler
        decision = await self.link.place(query) if asks else None
        if decision is None:
            context.decided_by = THIS_BOX
            return _unpacked(await self._decide_alone(query, context), context)
        context.decided_by = scheduler or ''
        # Keep the local share counts current: if the scheduler is lost, this box
        # decides by them.
        self.local.shares.ask(query)
        if isinstance(decision, Choice):
            self.local.shares.grant(query)
        return _unpacked(decision, context)

    async def _decide_alone(
        self,
        query: PlacementQuery,
        context: RequestContext,
    ) -> PlacementDecision:
        """Decide without the scheduler; the request may wait in this box."""
        if not query.longest_wait:
            return self.local.decide(query)
        left = self.goal_wait * query.goal - (self.link.now() - context.arrived)
        key = ('', id(context))
        decision = self.queue.place(
            key, replace(query, longest_wait=max(MIN_WAIT_SECONDS, left))
        )
        if decision is not None:
            return decision
        loop = asyncio.get_running_loop()
        place: asyncio.Future[PlacementDecision] = loop.create_future()
        self.places[key] = place
        self.reviews.ensure_running()
        try:
            return await place
        finally:
            # The caller may have left.
            self.places.pop(key, None)
            self.queue.remove(key)

    def _attempt(self, _: BoxTicket, query: PlacementQuery) -> Choice | Unplaced:
        return self.local.attempt(query)

    def _deliver(self, decided: Decided) -> None:
        for key, decision in decided:
            place = self.places.pop(key, None)
            if place is not None and not place.done():
                place.set_result(decision)

    def _exceeds_memory(self, context: RequestContext) -> bool:
        """Tell whether every engine of the pool would reject a request for its size."""
        if self.local.placement.costs is None:
            return False
        prompt, engine = context.call.prompt, context.pool.engine
        if prompt is None or engine is None:
            return False
        return exceeds_memory(prompt, engine.memory_tokens)

    async def _choose_service(
        self, query: PlacementQuery, context: RequestContext
    ) -> Choice | Refusal:
        waits = self.service_places is not None and query.goal and not query.tried
        if waits and self.local.mechanisms.service_waits:
            assert self.service_places is not None
            due_at = context.arrived + query.goal
            if not await self.service_places.admit(query, due_at):
                return Refusal.overloaded
        choice = self.local.placement.choose(query)
        if choice is None:
            return Refusal.no_upstream
        self.local.placement.cold_budget.spend(choice.upstream)
        return choice


def _unpacked(decision: PlacementDecision, context: RequestContext) -> Choice | Refusal:
    """Return a decision, and record the predicted time of a retry in its context."""
    if not isinstance(decision, Refused):
        return decision
    context.retry_after = decision.retry_after
    return decision.refusal
