"""Max-min shares of the engines' capacity between client accounts.

Every box knows what all boxes were asked for in the last window.  While that
is more than the engines give, accounts that ask for more than the even level
are owed that level, and the others what they ask for.  What an account got of
the level bears on how long its requests may wait for an engine; one that got
more than it is owed still gets what the engines have room for.
"""

from collections import Counter, deque
from collections.abc import Mapping

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import AccountName
from hitchdeck_core.wire.spread_pb2 import Demand
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.state.tallies import Tally

OUTPUT_TOKEN_WEIGHT = 2
"""A token made counts as so many read: what the capacity is stated in."""

MIN_SPAN_SECONDS = 1.0
"""Seconds of capacity that are shared at least.  Requests that begin to come
find empty engines, but who comes first must not take a whole window's."""


def fair_share_level(asked: Mapping[AccountName, float], capacity: float) -> float:
    """Return the most that an account gets when all share a capacity.

    Accounts that ask for less get what they ask for, and the rest is shared
    evenly by the others; infinity if all can be served.
    """
    left = capacity
    waiting = sorted(amount for amount in asked.values() if amount > 0)
    for position, amount in enumerate(waiting):
        level = left / (len(waiting) - position)
        if amount > level:
            return level
        left -= amount
    return float('inf')


class WindowCount:
    """Tokens by account over a sliding window."""

    def __init__(self, window: float, now: Clock) -> None:
        self.window = window
        self.now = now
        self.recent: deque[tuple[float, AccountName, int]] = deque()
        self.tokens: Counter[AccountName] = Counter()
        self.total = 0

    def add(self, account: AccountName, tokens: int) -> None:
        """Count tokens now."""
        self.recent.append((self.now(), account, tokens))
        self.tokens[account] += tokens
        self.total += tokens
        self.expire()

    def expire(self) -> None:
        """Take what is older than the window off the count."""
        horizon = self.now() - self.window
        while self.recent and self.recent[0][0] < horizon:
            _, account, tokens = self.recent.popleft()
            self.tokens[account] -= tokens
            self.total -= tokens


class Shares:
    """Tells how much of its share each account has had.

    Attributes
    ----------
    capacity
        What the engines are stated to give, in tokens a second; 0 if unknown.
    asked, granted
        What this process was asked for, and what it let through.
    recalled
        What of ``asked`` was decided elsewhere, so that nothing is known of it.
    others
        What the other boxes were asked for; empty where one process decides.
    alike
        Boxes that are taken to be asked for as much as this one; 1 where the
        others report, or where one process decides.
    began
        When the present span of requests began, after none for a window.
    """

    def __init__(self, window: float, now: Clock) -> None:
        self.window = window
        self.now = now
        self.capacity = 0.0
        self.asked = WindowCount(window, now)
        self.granted = WindowCount(window, now)
        self.elsewhere = WindowCount(window, now)
        self.others: Tally = Tally()
        self.assumed_boxes = 1
        self.span_start = now()

    def ask(self, query: PlacementQuery) -> None:
        """Count a request."""
        self._note_span()
        _count(self.asked, query)

    def grant(self, query: PlacementQuery) -> None:
        """Count a request that is let through."""
        _count(self.granted, query)

    def count_elsewhere(self, account: AccountName, tokens: int) -> None:
        """Count what was asked for elsewhere, as if it were asked now.

        A scheduler that has just taken over would otherwise grant a whole
        window of what it knows nothing of.
        """
        self._note_span()
        self.asked.add(account, tokens)
        self.elsewhere.add(account, tokens)

    def share_used(self, account: AccountName) -> float:
        """Return what an account got, as a part of the even level.

        Above 1 it has had more than its share; while all can be served it is
        0 for everybody.  Where other boxes decide too, this one is to give its
        part of the level: what it is asked for of all that is asked.
        """
        if not self.capacity:
            return 0
        self.asked.expire()
        self.granted.expire()
        self.elsewhere.expire()
        asked = self._asked_by_all()
        if not asked.get(account):
            return 0
        level = fair_share_level(asked, self._window_capacity(sum(asked.values())))
        own_part = self.asked.tokens[account] / max(1, asked[account])
        return self.granted.tokens[account] / max(1, level * own_part)

    def demands(self) -> list[Demand]:
        """Return what this process was asked for in the window, as messages."""
        self.asked.expire()
        return Tally(asked=self.asked.tokens).demands()

    def _asked_by_all(self) -> dict[AccountName, float]:
        own = self.asked.tokens
        others = self.others.asked
        return {
            name: float(own[name] * self.assumed_boxes + others[name])
            for name in own.keys() | others.keys()
        }

    def _note_span(self) -> None:
        self.asked.expire()
        if not self.asked.total:
            self.span_start = self.now()

    def _window_capacity(self, asked: float) -> float:
        """Return what the engines give in a window, in tokens.

        Right after a start it is what they gave since then.  Engines that have
        crashed or are slow give less than is stated: where nobody reached a
        level by what is stated, an account that asked for a tenth of what an
        engine reads got 0.075 of that beside three that asked for more.

        Parameters
        ----------
        asked
            Tokens that were asked for in the window, of all boxes.
        """
        span = max(MIN_SPAN_SECONDS, self.now() - self.span_start)
        stated = self.capacity * min(self.window, span)
        decided = self.asked.total - self.elsewhere.total
        return min(stated, self.granted.total * asked / max(1, decided))


def _count(count: WindowCount, query: PlacementQuery) -> None:
    """Count a generation; what has no account or no prompt has no share.

    An attempt after one that failed belongs to a request that was counted.
    """
    if query.tried:
        return
    if query.account is not None and query.prompt is not None:
        count.add(query.account, weight_of(query.prompt))


def weight_of(prompt: Prompt) -> int:
    """Return a generation's size in the unit of the capacity."""
    return prompt.tokens + OUTPUT_TOKEN_WEIGHT * prompt.expected_output_tokens
