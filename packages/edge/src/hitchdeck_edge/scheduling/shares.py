"""Max-min shares of the engines' capacity between client accounts.

Every box knows what all boxes were asked for in the last window.  While that
is more than the engines give, accounts that ask for more than the even level
get that level, each box admitting the same part of what it is asked.
"""

from collections import Counter, deque
from collections.abc import Mapping

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import AccountName
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.state.tallies import Tally

MADE_WEIGHT = 2
"""A token made counts as so many read: what the capacity is stated in."""

SLACK = 1.1
"""Capacity is taken for so much more: to refuse while there is room costs
more than a wait."""


def even_level(asked: Mapping[AccountName, float], capacity: float) -> float:
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


class Shares:
    """Decides whether a request lies within its account's share."""

    def __init__(self, window: float, now: Clock) -> None:
        self.window = window
        self.now = now
        self.capacity = 0.0
        self.recent: deque[tuple[float, AccountName, int]] = deque()
        self.own: Counter[AccountName] = Counter()
        self.others: Tally = Tally()
        self.credit: Counter[AccountName] = Counter()

    def ask(self, account: AccountName, prompt: Prompt) -> float:
        """Count a request; return what part of the account's may be served."""
        tokens = weight_of(prompt)
        self.recent.append((self.now(), account, tokens))
        self.own[account] += tokens
        self.expire()
        if not self.capacity:
            return 1
        asked = {
            name: float(self.own[name] + self.others.asked[name])
            for name in self.own.keys() | self.others.asked.keys()
        }
        level = even_level(asked, self.capacity * self.window * SLACK)
        return min(1, level / max(1, asked[account]))

    def admit(self, account: AccountName, prompt: Prompt) -> bool:
        """Count a request and tell whether it lies within the share."""
        part = self.ask(account, prompt)
        if part >= 1:
            self.credit[account] = 0
            return True
        tokens = weight_of(prompt)
        self.credit[account] += int(part * tokens)
        if self.credit[account] < 0:
            return False
        self.credit[account] -= tokens
        return True

    def expire(self) -> None:
        """Take what is older than the window off the count."""
        horizon = self.now() - self.window
        while self.recent and self.recent[0][0] < horizon:
            _, account, tokens = self.recent.popleft()
            self.own[account] -= tokens


def weight_of(prompt: Prompt) -> int:
    """Return a generation's size in the unit of the capacity."""
    return prompt.tokens + MADE_WEIGHT * prompt.most_made
