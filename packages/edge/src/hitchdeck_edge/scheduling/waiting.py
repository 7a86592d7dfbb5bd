"""Requests that wait at the scheduler until an engine may get them.

Load: accounts at several times their usual traffic beside accounts within their share.
A retry of a rejected request arrives after its goal or is rejected again.  A waiting
request gets the next place that an engine has for it, and can be overtaken until then
by requests of accounts that used less of their share.
"""

import asyncio
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import AccountName
from hitchdeck_edge.model.placing import (
    Choice,
    PlacementDecision,
    PlacementQuery,
)
from hitchdeck_edge.model.refusals import Refusal, Refused
from hitchdeck_edge.scheduling.queue_limit import FREE_FRACTION
from hitchdeck_edge.scheduling.refused_requests import RefusedRequests
from hitchdeck_edge.scheduling.retry_times import RetryTimes
from hitchdeck_edge.scheduling.scheduler import BoxTicket, Scheduler, Unplaced

REVIEW_SECONDS = 0.05
"""Interval of reviews: a sixth of the shortest goal that was stated, 0.3 s."""

MAX_REVIEWED = 8
"""Maximum number of requests in one review, which bounds its processor time: 4 ms in
the lab load ``a`` on a busy machine, at 0.5 ms for each decision.  At 40 the load was
worth 0.769 instead of 0.773 (means of two plays)."""

SEND_SECONDS = 0.03
"""Time to answer the box, and to send the request to the engine."""

MAX_WAITING = 1000
"""Maximum number of waiting requests, which bounds memory.  In the lab load ``a`` at
most 29 waited (one play)."""

Attempt = Callable[[BoxTicket, PlacementQuery], Choice | Unplaced]

Decided = list[tuple[BoxTicket, PlacementDecision]]

WAITABLE = frozenset((Refusal.over_share, Refusal.overloaded))
"""Refusals whose reason may end within the goal of a request."""


@dataclass(slots=True)
class WaitingRequest:
    """One request that waits.

    Attributes
    ----------
    arrived
        When it, or the refused request that it repeats, arrived.
    until
        When it is refused at the latest.
    unplaced
        Why it was not placed at the last attempt.
    first_token_at
        When it was predicted to get its first token as it began to wait.
    latest
        Why the last request of its group that was tried was not placed.
    """

    query: PlacementQuery
    arrived: float
    until: float = 0.0
    unplaced: Unplaced | None = None
    first_token_at: float = 0.0
    latest: Unplaced | None = None

    def turned_bad(self, found: Unplaced, now: float) -> bool:
        """Tell whether it can't begin within its goal any more.

        A prediction that was beyond the goal from the start does not count: engines may
        become free sooner than predicted.

        Parameters
        ----------
        found
            Why a request like it, or it itself, is not placed now.
        """
        assert self.unplaced is not None
        if found.refusal not in WAITABLE:
            return True
        seconds = found.first_token
        if found is not self.unplaced:
            seconds = found.soonest_queue + self.unplaced.reading
        first_token_at = now + seconds + SEND_SECONDS
        # Predictions of the same engine differ by less from one review to the next.
        worse = first_token_at > self.first_token_at + REVIEW_SECONDS
        return worse and first_token_at > self.arrived + self.query.goal


class WaitingQueue:
    """Bounded queue of requests, ordered anew at each review.

    Attributes
    ----------
    attempt
        Places a request if an engine may get it now.
    max_placed
        Maximum number of requests that one review places.
    retry_times
        Predicts when refused requests can be served; otherwise the times of their
        reasons apply.
    entries
        Waiting requests, by box and ticket.
    placed, timed_out, turned_bad
        Numbers of requests that were placed after a wait, that were refused at the end
        of theirs, and that were refused before because they could not begin in time any
        more.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        attempt: Attempt,
        now: Clock,
        max_placed: int = MAX_REVIEWED,
        retry_times: RetryTimes | None = None,
    ) -> None:
        self.scheduler = scheduler
        self.attempt = attempt
        self.max_placed = max_placed
        self.retry_times = retry_times
        self.now = now
        self.entries: dict[BoxTicket, WaitingRequest] = {}
        self.refused = RefusedRequests(now)
        self.placed = 0
        self.timed_out = 0
        self.turned_bad = 0

    def place(self, key: BoxTicket, query: PlacementQuery) -> PlacementDecision | None:
        """Decide on a request; ``None`` if it waits."""
        if not query.longest_wait:
            found = self.attempt(key, query)
            if isinstance(found, Choice):
                return found
            return self.scheduler.refuse(query, found)
        waited = self.refused.seconds_since(query)
        query = replace(query, returned=waited > 0)
        entry = WaitingRequest(query, self.now() - waited)
        # Exactly 0 for a first attempt, whose demand counts; the clock moves on.
        found = self.attempt(key, replace(query, waited=waited))
        if isinstance(found, Choice):
            return found
        return self._keep_or_refuse(key, entry, found)

    def remove(self, key: BoxTicket) -> None:
        """Remove a request whose caller has left."""
        self.entries.pop(key, None)

    def drop_box(self, box: str) -> None:
        """Remove the requests of a box, which places them elsewhere."""
        keys = [key for key in self.entries if key[0] == box]
        for key in keys:
            self.remove(key)

    def review(self) -> Decided:
        """Place or refuse what can be decided now."""
        unplaced: dict[Hashable, Unplaced] = {}
        left = _Left(min(MAX_REVIEWED, len(self.entries)), self.max_placed)
        return [
            *self._refuse_late(),
            *self._place_first(unplaced, left),
            *self._refuse_turned_bad(unplaced, left),
        ]

    def _keep_or_refuse(
        self, key: BoxTicket, entry: WaitingRequest, found: Unplaced
    ) -> Refusal | Refused | None:
        entry.unplaced = found
        goal_left = entry.arrived + entry.query.goal - self.now()
        wait = min(entry.query.longest_wait, goal_left - found.reading - SEND_SECONDS)
        if (
            found.refusal not in WAITABLE
            or wait <= REVIEW_SECONDS
            or len(self.entries) >= MAX_WAITING
        ):
            return self._refuse(entry)
        entry.until = self.now() + wait
        entry.first_token_at = self.now() + found.first_token + SEND_SECONDS
        self.entries[key] = entry
        return None

    def _refuse(self, entry: WaitingRequest) -> Refusal | Refused:
        unplaced = entry.latest or entry.unplaced
        assert unplaced is not None
        self.refused.add(entry.query, entry.arrived)
        query = self._current(entry)
        seconds = self._retry_seconds(query, unplaced)
        refusal = self.scheduler.refuse(query, unplaced, seconds)
        return refusal if seconds is None else Refused(refusal, seconds)

    def _retry_seconds(self, query: PlacementQuery, unplaced: Unplaced) -> float | None:
        """Return when a refused request can be served, if that is predicted."""
        if self.retry_times is None or not self.scheduler.mechanisms.predicted_retry:
            return None
        return self.retry_times.seconds(query, unplaced)

    def _refuse_late(self) -> Iterator[tuple[BoxTicket, Refusal | Refused]]:
        now = self.now()
        late = [key for key, entry in self.entries.items() if entry.until <= now]
        for key in late:
            self.timed_out += 1
            yield key, self._refuse(self.entries.pop(key))

    def _place_first(
        self, unplaced: dict[Hashable, Unplaced], left: '_Left'
    ) -> Iterator[tuple[BoxTicket, Choice]]:
        """Place what engines may get now.

        Parameters
        ----------
        unplaced
            Gets the reason for each group of requests that can't be placed.
        """
        for key, entry in self._ordered():
            if not left.attempts or not left.places:
                return
            group = _group(entry)
            # Requests like one that can't be begun would keep others from their turn.
            if group in unplaced:
                continue
            found = self._try(key, entry, left)
            if isinstance(found, Choice):
                yield key, found
            else:
                unplaced[group] = found

    def _refuse_turned_bad(
        self, unplaced: dict[Hashable, Unplaced], left: '_Left'
    ) -> Iterator[tuple[BoxTicket, PlacementDecision]]:
        """Refuse requests that can't begin in time any more.

        A request that was not tried itself is tried first, in this review or a later
        one: another engine may have its prompt cached.

        Parameters
        ----------
        unplaced
            Why requests of each group are not placed now.
        """
        reviewed = self.scheduler.mechanisms.prediction_review
        for key, entry in list(self.entries.items()):
            found = unplaced.get(_group(entry))
            if found is None:
                continue
            entry.latest = found
            if reviewed and entry.turned_bad(found, self.now()):
                decision = self._place_or_refuse(key, entry, left)
                if decision is not None:
                    yield key, decision

    def _place_or_refuse(
        self, key: BoxTicket, entry: WaitingRequest, left: '_Left'
    ) -> PlacementDecision | None:
        """Decide on a request like one that turned bad; ``None`` if it waits on."""
        if entry.latest is not entry.unplaced:
            if not left.attempts or not left.places:
                return None
            found = self._try(key, entry, left)
            if isinstance(found, Choice):
                return found
            entry.latest = found
            if not entry.turned_bad(found, self.now()):
                return None
        self.turned_bad += 1
        self.remove(key)
        return self._refuse(entry)

    def _try(
        self, key: BoxTicket, entry: WaitingRequest, left: '_Left'
    ) -> Choice | Unplaced:
        """Try to place a waiting request, and remove it if an engine gets it."""
        query = self._current(entry)
        found = self.attempt(key, query)
        left.attempts -= 1
        if isinstance(found, Choice):
            left.places -= 1
            self.remove(key)
            self.placed += 1
            self._log_placed(query, found)
        else:
            entry.unplaced = found
        return found

    def _ordered(self) -> list[tuple[BoxTicket, WaitingRequest]]:
        accounts = {entry.query.account for entry in self.entries.values()}
        excess = {account: self._excess(account) for account in accounts}
        return sorted(
            self.entries.items(),
            key=lambda item: _rank(item[1], excess[item[1].query.account]),
        )

    def _current(self, entry: WaitingRequest) -> PlacementQuery:
        return replace(entry.query, waited=self.now() - entry.arrived)

    def _excess(self, account: AccountName | None) -> float:
        """Return how far an account is beyond its share; 0 within it."""
        if account is None:
            return 0
        return max(0, self.scheduler.shares.share_used(account) - FREE_FRACTION)

    def _log_placed(self, query: PlacementQuery, choice: Choice) -> None:
        logs.info(
            'placed after a wait',
            request=query.request,
            account=query.account,
            upstream=choice.upstream.name,
            waited=round(query.waited, 3),
            queue=round(choice.queue, 3),
            still_waiting=len(self.entries),
        )


@dataclass(slots=True)
class _Left:
    """Attempts and places that are left in one review."""

    attempts: int
    places: int


def _group(entry: WaitingRequest) -> Hashable:
    """Return what requests have in common of which none, or the first, is placed."""
    query = entry.query
    reach = query.avoid, query.tried, query.areas, query.software
    return query.pool, query.account, *reach


def _rank(entry: WaitingRequest, excess: float) -> tuple[float, int, float, int]:
    """Return the sort key: excess over the share, priority, time left, cost."""
    prompt = entry.query.prompt
    tokens = prompt.tokens if prompt else 0
    return excess, entry.query.priority, entry.until, tokens


class Reviews:
    """Reviews a queue at intervals while requests wait in it."""

    def __init__(self, queue: WaitingQueue, deliver: Callable[[Decided], None]) -> None:
        self.queue = queue
        self.deliver = deliver
        self.task: asyncio.Task[None] | None = None

    def ensure_running(self) -> None:
        """Start reviews, unless they run; they end when the queue is empty."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self.queue.entries:
            await asyncio.sleep(REVIEW_SECONDS)
            try:
                self.deliver(self.queue.review())
            except Exception as error:
                # The other requests must not wait for ever.
                logs.failure('review of waiting requests failed', error)
