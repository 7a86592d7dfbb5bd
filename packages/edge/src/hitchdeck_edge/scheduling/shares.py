"""Max-min shares of the engines' capacity between client accounts.

Every box knows what all boxes were asked for in the last window.  While that
is more than the engines give, accounts that ask for more than the even level
get that level, each box admitting the same part of what it is asked.
"""

from collections import Counter, deque
from collections.abc import Mapping

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import AccountName
from hitchdeck_core.wire.spread_pb2 import Demand
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.state.tallies import Tally

MADE_WEIGHT = 2
"""A token made counts as so many read: what the capacity is stated in."""

TARGET_QUEUE_SECONDS = 0.4
"""Mean wait at the engines up to which more is admitted; about two thirds of
the shortest goal of today's routes.  Shorter targets (0.1, 0.15, 0.25) refused
more than they saved on stavmat's quiet day: worth 0.484, 0.513, 0.611."""

STEP_UP = 1.03
STEP_DOWN = 0.95
"""Factors of one adjustment: a burst is answered within two seconds."""

LEAST_FACTOR = 0.7
MOST_FACTOR = 1.5
"""Bounds on what the engines may be taken to give, as parts of the stated
capacity: cached parts make it more, interference makes it less."""


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


MOST_CREDIT_SECONDS = 0.5
"""Of an account's level, what it may save up while its requests are refused
for other reasons: without a bound, an outage would end in a burst."""


class Shares:
    """Decides whether a request lies within its account's share.

    Attributes
    ----------
    capacity
        What the engines are stated to give, in tokens a second; 0 if unknown.
    factor
        What they are taken to give, as a part of that.
    level
        The most that an account gets in a window, in tokens.
    last_part
        What part of the account's was admitted at the last decision.
    credit
        Tokens that each account may still spend, or owes if negative.
    """

    def __init__(self, window: float, now: Clock) -> None:
        self.window = window
        self.now = now
        self.capacity = 0.0
        self.factor = MOST_FACTOR
        self.level = float('inf')
        self.last_part = 1.0
        self.recent: deque[tuple[float, AccountName, int]] = deque()
        self.own: Counter[AccountName] = Counter()
        self.others: Tally = Tally()
        self.credit: Counter[AccountName] = Counter()

    def ask(self, account: AccountName, prompt: Prompt) -> float:
        """Count a request; return what part of the account's may be served."""
        self.recall(account, weight_of(prompt))
        self.expire()
        if not self.capacity:
            return 1
        asked = {
            name: float(self.own[name] + self.others.asked[name])
            for name in self.own.keys() | self.others.asked.keys()
        }
        self.level = even_level(asked, self.capacity * self.window * self.factor)
        self.last_part = min(1, self.level / max(1, asked[account]))
        return self.last_part

    def admit(self, account: AccountName, prompt: Prompt) -> int | None:
        """Count a request and charge it to its account's share.

        Returns
        -------
        int or None
            Tokens that were charged, none while all can be served; ``None``
            if the request lies beyond the share.
        """
        part = self.ask(account, prompt)
        if part >= 1:
            return 0
        tokens = weight_of(prompt)
        self.credit[account] += int(part * tokens)
        if self.credit[account] < 0:
            return None
        self.credit[account] -= tokens
        return tokens

    def refund(self, account: AccountName, charged: int) -> None:
        """Give back what a request was charged that is refused after all."""
        most = self.level / self.window * MOST_CREDIT_SECONDS
        self.credit[account] = int(min(most, self.credit[account] + charged))

    def recall(self, account: AccountName, tokens: int) -> None:
        """Count what was asked for elsewhere, as if it were asked now.

        A scheduler that has just taken over would otherwise admit a whole
        window of what it knows nothing of.
        """
        self.recent.append((self.now(), account, tokens))
        self.own[account] += tokens

    def adjust(self, queue: float) -> None:
        """Follow the engines: admit more while they wait for work.

        Parameters
        ----------
        queue
            Mean wait at the engines, in seconds.
        """
        if queue < TARGET_QUEUE_SECONDS:
            self.factor = min(MOST_FACTOR, self.factor * STEP_UP)
        else:
            excess = min(3, queue / TARGET_QUEUE_SECONDS)
            self.factor = max(LEAST_FACTOR, self.factor * STEP_DOWN**excess)

    def demands(self) -> list[Demand]:
        """Return what this process was asked for in the window, as messages."""
        self.expire()
        return Tally(asked=self.own).demands()

    def expire(self) -> None:
        """Take what is older than the window off the count."""
        horizon = self.now() - self.window
        while self.recent and self.recent[0][0] < horizon:
            _, account, tokens = self.recent.popleft()
            self.own[account] -= tokens


def weight_of(prompt: Prompt) -> int:
    """Return a generation's size in the unit of the capacity."""
    return prompt.tokens + MADE_WEIGHT * prompt.most_made
