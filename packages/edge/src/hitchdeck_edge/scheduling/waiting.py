"""Requests that wait at the scheduler until an engine may get them.

Load: accounts at several times their usual traffic beside accounts within their share.
A refused request comes back after its goal, or finds the same refusal; one that waits
gets the place that becomes free next, in the order of need, and is not in any engine's
queue meanwhile.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from itertools import islice

from hitchdeck_core.clock import Clock
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.queue_limit import FREE_FRACTION
from hitchdeck_edge.scheduling.scheduler import BoxTicket, Scheduler, Unplaced

REVIEW_SECONDS = 0.05
"""Interval of reviews: a sixth of the shortest goal that was stated, 0.3 s."""

MAX_REVIEWED = 8
"""Maximum number of requests in one review.  A decision takes about 0.3 ms, so that
reviews take at most 5 % of a core."""

SEND_SECONDS = 0.03
"""Time to answer the box, and to send the request to the engine."""

MAX_WAITING = 1000
"""Maximum number of waiting requests; a request has some kilobytes here."""

RETRY_MEMORY_SECONDS = 6.0
"""Time for which a refused request is recognized: callers wait for a third of their
time left, which is at most 15 s, and rarely longer than the 2 s of ``Retry-After``."""

MAX_REMEMBERED = 20_000
"""Maximum number of remembered refusals, with some hundred bytes each."""

Attempt = Callable[[BoxTicket, PlacementQuery], Choice | Unplaced]

Decided = list[tuple[BoxTicket, Choice | Refusal]]

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
    """

    query: PlacementQuery
    arrived: float
    until: float = 0.0
    unplaced: Unplaced | None = None


class RefusedRequests:
    """Arrival times of refused requests, by which retries are recognized.

    A retry has another id, but the account, the size and the last prompt part of the
    refused request.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.arrivals: OrderedDict[Hashable, float] = OrderedDict()

    def add(self, query: PlacementQuery, arrived: float) -> None:
        """Remember a refused request by its first arrival."""
        key = _retry_key(query)
        if key is None:
            return
        self.arrivals[key] = arrived
        oldest = next(iter(self.arrivals.values()))
        while len(self.arrivals) > MAX_REMEMBERED or self._is_old(oldest):
            self.arrivals.popitem(last=False)
            oldest = next(iter(self.arrivals.values()), self.now())

    def seconds_since(self, query: PlacementQuery) -> float:
        """Return the seconds since a request first arrived; 0 if it was not refused."""
        arrived = self.arrivals.pop(_retry_key(query), None)
        if arrived is None or self._is_old(arrived):
            return 0
        return self.now() - arrived

    def _is_old(self, arrived: float) -> bool:
        return self.now() - arrived > RETRY_MEMORY_SECONDS


def _retry_key(query: PlacementQuery) -> Hashable:
    prompt = query.prompt
    if prompt is None or not prompt.parts:
        return None
    size = prompt.tokens, prompt.expected_output_tokens
    return query.account, prompt.parts[-1].part_id, size


class WaitingQueue:
    """Bounded queue of requests, ordered anew at each review.

    Attributes
    ----------
    attempt
        Places a request if an engine may get it now.
    entries
        Waiting requests, by box and ticket.
    """

    def __init__(self, scheduler: Scheduler, attempt: Attempt, now: Clock) -> None:
        self.scheduler = scheduler
        self.attempt = attempt
        self.now = now
        self.entries: dict[BoxTicket, WaitingRequest] = {}
        self.refused = RefusedRequests(now)

    def place(self, key: BoxTicket, query: PlacementQuery) -> Choice | Refusal | None:
        """Decide on a request; ``None`` if it waits."""
        if not query.longest_wait:
            found = self.attempt(key, query)
            if isinstance(found, Choice):
                return found
            return self.scheduler.refuse(query, found)
        arrived = self.now() - self.refused.seconds_since(query)
        return self._place_patient(key, WaitingRequest(query, arrived))

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
        return [*self._refuse_late(), *self._place_first()]

    def _place_patient(
        self,
        key: BoxTicket,
        entry: WaitingRequest,
    ) -> Choice | Refusal | None:
        found = self.attempt(key, self._current(entry))
        if isinstance(found, Choice):
            return found
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
        self.entries[key] = entry
        return None

    def _refuse(self, entry: WaitingRequest) -> Refusal:
        assert entry.unplaced is not None
        self.refused.add(entry.query, entry.arrived)
        return self.scheduler.refuse(self._current(entry), entry.unplaced)

    def _refuse_late(self) -> Iterator[tuple[BoxTicket, Refusal]]:
        now = self.now()
        late = [key for key, entry in self.entries.items() if entry.until <= now]
        for key in late:
            yield key, self._refuse(self.entries.pop(key))

    def _place_first(self) -> Iterator[tuple[BoxTicket, Choice]]:
        ordered = sorted(self.entries.items(), key=lambda item: self._rank(item[1]))
        for key, entry in islice(ordered, MAX_REVIEWED):
            found = self.attempt(key, self._current(entry))
            if isinstance(found, Choice):
                self.remove(key)
                yield key, found
            else:
                entry.unplaced = found

    def _current(self, entry: WaitingRequest) -> PlacementQuery:
        return replace(entry.query, waited=self.now() - entry.arrived)

    def _rank(self, entry: WaitingRequest) -> tuple[float, int, float, int]:
        """Return the sort key: need by share, urgency, time left, cost."""
        query = entry.query
        used = self.scheduler.shares.share_used(query.account) if query.account else 0
        tokens = query.prompt.tokens if query.prompt else 0
        return max(0, used - FREE_FRACTION), query.priority, entry.until, tokens


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
            self.deliver(self.queue.review())
