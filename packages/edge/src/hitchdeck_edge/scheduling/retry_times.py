"""When callers should retry refused requests.

Load: accounts at several times their usual traffic.  Callers that all retry after the
same time are refused again together.  ``Retry-After`` says when its account's share, or
the engines, have room for its request after those that were refused before it.
"""

from dataclasses import dataclass, replace

from hitchdeck_core.clock import Clock
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.queue_limit import max_queue_seconds
from hitchdeck_edge.scheduling.scheduler import Unplaced
from hitchdeck_edge.scheduling.shares import Shares, weight_of

MAX_SECONDS = 5.0
"""Longest ``Retry-After``: a third of the longest time that callers were described to
wait, 15 s, which is as much as they use."""

MIN_SECONDS = 0.08
"""Shortest ``Retry-After``: one review and a way to an engine.  Nothing changes
sooner; a caller that got 1 ms was refused five times in 50 ms."""

USABLE_FRACTION = 1 / 3
"""Fraction of its time left for which a caller waits at the longest."""

MAX_KNOWN = 1000
"""Maximum number of accounts and pools with refused requests, which bounds memory."""

Key = tuple[str, str]
"""What requests wait for, an account's share or a pool's room, and its name."""


def usable_seconds(seconds: float, time_left: float, part: float) -> float:
    """Return a time after which a caller should retry, within what it can use.

    Parameters
    ----------
    seconds
        The predicted time; 0 if there is none.
    part
        Place of the caller among those that can't wait as long as predicted, 0 to 1.
        They would otherwise retry together.
    """
    if not seconds:
        return 0
    usable = time_left * USABLE_FRACTION
    if seconds > usable:
        seconds = usable * (1 + part) / 2
    return max(MIN_SECONDS, seconds)


@dataclass(slots=True)
class _Backlog:
    """Tokens of refused requests that are expected to be retried, at a moment."""

    tokens: float = 0.0
    at: float = 0.0


class RetryTimes:
    """Times at which refused requests can be served, one after another.

    Attributes
    ----------
    backlogs
        Refused requests of each account or pool that are still to be served.
    """

    def __init__(self, shares: Shares, now: Clock) -> None:
        self.shares = shares
        self.now = now
        self.backlogs: dict[Key, _Backlog] = {}

    def seconds(self, query: PlacementQuery, unplaced: Unplaced) -> float | None:
        """Return the seconds until a refused request can be served.

        ``None`` if nothing is known of that time.  A request that would be late by then
        is not served before its goal has passed: only then is there no more to lose.
        """
        served = self._until_served(query, unplaced)
        if served is None:
            return None
        goal_left = query.goal - query.waited
        if served + unplaced.reading > goal_left:
            served = max(served, goal_left)
        return min(MAX_SECONDS, max(MIN_SECONDS, served))

    def _until_served(self, query: PlacementQuery, unplaced: Unplaced) -> float | None:
        if unplaced.refusal is Refusal.over_share:
            return self._until_share(query, unplaced)
        if unplaced.refusal is Refusal.overloaded:
            return self._until_room(query, unplaced)
        return None

    def _until_share(self, query: PlacementQuery, unplaced: Unplaced) -> float | None:
        """Return the seconds until the share of the account allows the request.

        What an account was granted leaves the window evenly, and the share allows
        grants at the same rate.
        """
        account = query.account
        granted = self.shares.granted.tokens[account] if account else 0
        if account is None or not granted or unplaced.share_used <= 1:
            return None
        window = self.shares.window
        rate = granted / unplaced.share_used / window
        allowed = window * (1 - 1 / unplaced.share_used)
        return allowed + self._after_others(('account', account), rate, query)

    def _until_room(self, query: PlacementQuery, unplaced: Unplaced) -> float | None:
        """Return the seconds until an engine may get the request, in time or late.

        A scheduler that has just started, or an idle one, has granted little, but its
        engines serve what is stated.
        """
        rate = max(self.shares.capacity, self.shares.granted.total / self.shares.window)
        choice = unplaced.choice
        if not rate or choice is None:
            return None
        late = replace(query, waited=query.goal, returned=True)
        limit = max_queue_seconds(late, choice, unplaced.share_used, even_sizes=True)
        room = max(0, unplaced.queue - limit)
        return room + self._after_others(('pool', query.pool), rate, query)

    def _after_others(self, key: Key, rate: float, query: PlacementQuery) -> float:
        """Return the seconds that those refused before take; count a new one with them.

        Parameters
        ----------
        rate
            Tokens per second at which they are served.
        """
        now = self.now()
        backlog = self.backlogs.get(key) or self._new_backlog(key)
        # What can't be served within the longest time is not expected to be retried.
        most = rate * MAX_SECONDS
        ahead = min(most, max(0, backlog.tokens - rate * (now - backlog.at)))
        backlog.tokens, backlog.at = ahead, now
        if query.prompt is not None and not query.returned:
            backlog.tokens = min(most, ahead + weight_of(query.prompt))
        return ahead / rate

    def _new_backlog(self, key: Key) -> _Backlog:
        """Return a new entry; the one that was used first gives way if needed."""
        if len(self.backlogs) >= MAX_KNOWN:
            self.backlogs.pop(next(iter(self.backlogs)))
        return self.backlogs.setdefault(key, _Backlog())
