"""Max-min fair shares of the engines' capacity between client accounts.

Every box knows the demand at all boxes in the last window.  While it exceeds the
capacity of the engines, accounts that demand more than the fair share level are owed
that level, and the others what they demand.  What an account was granted, relative to
the level, limits how long its requests may queue.  An account beyond its share
still gets capacity that would otherwise be idle.
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
"""Size of an output token in the unit of the stated capacity, input tokens."""

MIN_SPAN_SECONDS = 1.0
"""Shortest time whose capacity is shared.  After an idle period the engines are empty,
but the first account to send requests must not get the capacity of a whole window."""


def fair_share_level(asked: Mapping[AccountName, float], capacity: float) -> float:
    """Return the max-min fair share of a capacity: the most that an account gets.

    Accounts that ask for less get what they ask for, and the others share the rest
    evenly.  Infinity if the capacity suffices for all.
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
    """Tokens by account over a sliding window, in seconds."""

    def __init__(self, window: float, now: Clock) -> None:
        self.window = window
        self.now = now
        self.recent: deque[tuple[float, AccountName, int]] = deque()
        self.tokens: Counter[AccountName] = Counter()
        self.total = 0

    def add(self, account: AccountName, tokens: int) -> None:
        """Count tokens at the present time."""
        self.recent.append((self.now(), account, tokens))
        self.tokens[account] += tokens
        self.total += tokens
        self.expire()

    def expire(self) -> None:
        """Subtract what is older than the window."""
        horizon = self.now() - self.window
        while self.recent and self.recent[0][0] < horizon:
            _, account, tokens = self.recent.popleft()
            self.tokens[account] -= tokens
            self.total -= tokens


class Shares:
    """Demand and grants of each account, relative to its fair share.

    Attributes
    ----------
    capacity
        Stated capacity of all engines, in tokens per second; 0 if unknown.
    asked, granted
        Tokens demanded from this process, and tokens that it granted.
    elsewhere
        Part of ``asked`` that other processes decided on, with unknown result.
    others
        Demand at the other boxes; empty if one process decides for all.
    others_granted
        Tokens that the others granted of this demand; ``None`` if it is not known.
    assumed_boxes
        Number of boxes, this one included, that are assumed to have the same demand;
        1 if the others report theirs, or if one process decides for all.
    span_start
        Time of the first demand after a window without any.
    """

    def __init__(self, window: float, now: Clock) -> None:
        self.window = window
        self.now = now
        self.capacity = 0.0
        self.asked = WindowCount(window, now)
        self.granted = WindowCount(window, now)
        self.elsewhere = WindowCount(window, now)
        self.others: Tally = Tally()
        self.others_granted: int | None = None
        self.assumed_boxes = 1
        self.span_start = now()

    def ask(self, query: PlacementQuery) -> None:
        """Count the demand of a request."""
        self._note_span()
        _count(self.asked, query)

    def grant(self, query: PlacementQuery) -> None:
        """Count a request that is granted."""
        _count(self.granted, query)

    def count_elsewhere(self, account: AccountName, tokens: int) -> None:
        """Count demand that another process decided on, as if it arrived now.

        A scheduler that has just taken over would otherwise grant the capacity of a
        whole window again.
        """
        self._note_span()
        self.asked.add(account, tokens)
        self.elsewhere.add(account, tokens)

    def share_used(self, account: AccountName) -> float:
        """Return what an account was granted, as a fraction of the fair share level.

        Above 1 it had more than its share; 0 for all accounts while the capacity
        suffices for all.  If other boxes decide too, this box is responsible
        for a part of the level, in proportion to its part of the account's demand.
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
        """Return the demand at this process in the window, as messages."""
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
        """Return the capacity of the engines in a window, in tokens.

        At the start of a span it is the capacity since then.  Engines that crashed or
        are slow have less capacity than stated, so it is also bounded by what was
        granted, scaled to the demand at all boxes.  With the stated capacity alone no
        account reached the level, and one that demanded a tenth of an engine's rate got
        0.075 of that rate beside three accounts that demanded more.

        Parameters
        ----------
        asked
            Tokens that were demanded in the window from all boxes.
        """
        span = max(MIN_SPAN_SECONDS, self.now() - self.span_start)
        stated = self.capacity * min(self.window, span)
        decided = self.asked.total - self.elsewhere.total
        granted = self.granted.total
        if self.others_granted is not None:
            decided += self.others.asked.total()
            granted += self.others_granted
        return min(stated, granted * asked / max(1, decided))


def _count(count: WindowCount, query: PlacementQuery) -> None:
    """Count a generation; requests without an account or a prompt have no share.

    Retries are skipped, as the first attempt was counted.
    """
    if query.tried:
        return
    if query.account is not None and query.prompt is not None:
        count.add(query.account, weight_of(query.prompt))


def weight_of(prompt: Prompt) -> int:
    """Return the size of a generation in the unit of the capacity."""
    return prompt.tokens + OUTPUT_TOKEN_WEIGHT * prompt.expected_output_tokens
