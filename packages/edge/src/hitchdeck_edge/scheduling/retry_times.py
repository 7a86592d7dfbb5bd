"""When callers whose requests are refused should come back.

Load: accounts at several times their usual traffic.  Callers that all come back after
the same time are refused again together.  A caller is told when its account's share, or
the engines, have room for its request after those that were refused before it.
"""

from collections.abc import Hashable

from hitchdeck_core.clock import Clock
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.queue_limit import LATE_FRACTION
from hitchdeck_edge.scheduling.scheduler import Unplaced
from hitchdeck_edge.scheduling.shares import Shares, weight_of

MAX_SECONDS = 5.0
"""Longest time that is told: a third of the longest time that callers were described to
wait, 15 s, which is as much as they use."""

USABLE_FRACTION = 1 / 3
"""Fraction of its time left for which a caller waits at the longest."""

MAX_KNOWN = 1000
"""Maximum number of accounts and pools with refused requests, which bounds memory."""


def usable_seconds(seconds: float, time_left: float) -> float:
    """Return a time after which a caller should come back, within what it can use."""
    return min(seconds, max(0, time_left) * USABLE_FRACTION)


class RetryTimes:
    """Times at which refused requests can be served, one after another.

    Attributes
    ----------
    served_until
        When the refused requests of each account or pool will have been served.
    """

    def __init__(self, shares: Shares, now: Clock) -> None:
        self.shares = shares
        self.now = now
        self.served_until: dict[Hashable, float] = {}

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
        return min(MAX_SECONDS, served)

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
        if not granted or unplaced.share_used <= 1:
            return None
        window = self.shares.window
        rate = granted / unplaced.share_used / window
        return self._next(account, window * (1 - 1 / unplaced.share_used), rate, query)

    def _until_room(self, query: PlacementQuery, unplaced: Unplaced) -> float | None:
        """Return the seconds until an engine may get the request, in time or late."""
        rate = self.shares.granted.total / self.shares.window
        if not rate:
            return None
        room = max(0, unplaced.queue - query.goal * LATE_FRACTION)
        return self._next(query.pool, room, rate, query)

    def _next(
        self, key: Hashable, seconds: float, rate: float, query: PlacementQuery
    ) -> float:
        """Return when a request is served after those refused before it.

        Parameters
        ----------
        seconds
            Until the first of them can be served.
        rate
            Tokens per second that are served of them.
        """
        now = self.now()
        begins = max(now + seconds, self.served_until.get(key, 0))
        if begins < now + MAX_SECONDS:
            size = weight_of(query.prompt) if query.prompt else 0
            self._make_room(key)
            self.served_until[key] = begins + size / rate
        return begins - now

    def _make_room(self, key: Hashable) -> None:
        """Drop times that have passed, or all, if there are too many."""
        if key in self.served_until or len(self.served_until) < MAX_KNOWN:
            return
        now = self.now()
        ahead = {one: at for one, at in self.served_until.items() if at > now}
        self.served_until = ahead if len(ahead) < MAX_KNOWN else {}
