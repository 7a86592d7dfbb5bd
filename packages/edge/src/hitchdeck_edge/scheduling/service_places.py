"""Waiting at a box while all places of a plain service are taken.

Load: upstreams of a few places each, of which some are lost.  What is sent beyond their
places waits in their own queues, first come first served, and is rejected where these
are full.  Calls that may repeat therefore wait at their box, and leave the queues to
those that must not.
"""

from bisect import insort
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.placement import Placement
from hitchdeck_edge.scheduling.service_view import ServiceView

QUEUE_ROUNDS = 2
"""Calls for each place that a call which must not repeat may find at an upstream: one
that runs and one that waits.  A queued call takes the next place at once, whereas a box
learns of it some tenths of a second later."""

MAX_SUMMARY_AGE_SECONDS = 0.5
"""Age of a summary by which a call may wait or be refused: the longest interval
between two frames of a box that makes calls.  What was in flight before that has mostly
ended."""

MIN_PLACES = 2
"""Least number of places for which calls wait.  An upstream that does not state its
places counts as having one."""

WaitKey = tuple[bool, float, int]
"""Order of waiting calls: those that must not repeat first, then by arrival."""

Group = tuple[PoolName, frozenset[str]]
"""Calls that wait for the same upstreams: their pool and areas."""


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Mean duration of calls at an upstream, those in flight, and its places."""

    seconds: float
    running: int
    places: int

    def is_full(self, *, repeatable: bool) -> bool:
        """Tell whether a call must wait for its turn before it is sent there."""
        rounds = 1 if repeatable else QUEUE_ROUNDS
        return self.places >= MIN_PLACES and self.running >= rounds * self.places


def seconds_if_full(
    loads: Sequence[ServiceLoad | None], *, repeatable: bool
) -> float | None:
    """Return the expected time of a call if it must wait; ``None`` if it need not.

    Parameters
    ----------
    loads
        Loads of the upstreams that respond; ``None`` for those that are not known.
    """
    full = [one for one in loads if one and one.is_full(repeatable=repeatable)]
    if not full or len(full) < len(loads):
        return None
    # Durations of recent calls contain their time in the queue there.
    return min(one.seconds for one in full)


class ServicePlaces:
    """Holds calls to plain services until an upstream has a place for them.

    Attributes
    ----------
    waiting
        Calls that wait, in their order, by pool and areas.
    waited, refused
        How many calls have waited, and how many were refused because they would have
        been late.
    """

    def __init__(self, placement: Placement, view: ServiceView, now: Clock) -> None:
        self.placement = placement
        self.view = view
        self.now = now
        self.waiting: dict[Group, list[WaitKey]] = {}
        self.numbers = count()
        self.waited = 0
        self.refused = 0

    async def admit(self, query: PlacementQuery, due_at: float) -> bool:
        """Wait for a place if all are taken; return whether the call may be in time.

        It waits until it must be sent to be in time, and is then sent in any case.

        Parameters
        ----------
        due_at
            When the response is due by the goal of the call, in seconds.
        """
        expected = self._seconds_if_full(query)
        if expected is None and not self._is_behind(query):
            return True
        expected = expected or 0
        began = self.now()
        slack = due_at - began - expected
        if slack < 0:
            self.refused += 1
            self._log('call refused as it would be late', query, expected, slack)
            return False
        self.waited += 1
        await self._wait(query, began + slack)
        waited = round(self.now() - began, 3)
        self._log('call waited for a place', query, expected, slack, waited=waited)
        return True

    async def _wait(self, query: PlacementQuery, until: float) -> None:
        """Wait until it is the turn of a call and an upstream is not full."""
        key = (query.repeatable, self.now(), next(self.numbers))
        group = _group_of(query)
        waiting = self.waiting.setdefault(group, [])
        insort(waiting, key)
        try:
            while self.now() < until:
                await self.view.changed.wait(until - self.now())
                is_first = waiting[0] == key
                if is_first and self._seconds_if_full(query) is None:
                    return
        finally:
            # The caller may have left.
            self._leave(group, key)

    def _leave(self, group: Group, key: WaitKey) -> None:
        """Remove a call; the next one checks for a place once this one was sent."""
        self.waiting[group].remove(key)
        if not self.waiting[group]:
            self.waiting.pop(group)
        self.view.changed.notify()

    def _is_behind(self, query: PlacementQuery) -> bool:
        """Tell whether calls wait that go before this one."""
        waiting = self.waiting.get(_group_of(query), ())
        return any(one < (query.repeatable, self.now(), 0) for one in waiting[:1])

    def _seconds_if_full(self, query: PlacementQuery) -> float | None:
        if self.now() - self.view.updated_at > MAX_SUMMARY_AGE_SECONDS:
            return None
        upstreams = self.placement.services.responding(self.placement.candidates(query))
        loads = [self._load(one) for one in upstreams]
        return seconds_if_full(loads, repeatable=query.repeatable)

    def _load(self, upstream: Upstream) -> ServiceLoad | None:
        state = self.view.state(upstream.name)
        if state is None or not state.seconds:
            return None
        own = self.placement.open_work.own.running.get(upstream.name, 0)
        return ServiceLoad(state.seconds, state.running + own, upstream.slots)

    def _log(
        self,
        message: str,
        query: PlacementQuery,
        expected: float,
        slack: float,
        **more: float,
    ) -> None:
        logs.info(
            message,
            request=query.request,
            repeatable=query.repeatable,
            expected=round(expected, 3),
            slack=round(slack, 3),
            summary_age=round(self.now() - self.view.updated_at, 3),
            **more,
        )


def _group_of(query: PlacementQuery) -> Group:
    return (query.pool, query.areas)
