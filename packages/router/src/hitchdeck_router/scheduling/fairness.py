"""Whose turn it is: virtual counters of weighted service.

After Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024):
the backlogged account with the least weighted service is served next, and an
account that becomes backlogged is lifted to the floor of those that are, so
that idle time earns no credit.  What differs here:

- Service is counted over the whole fleet.  What other shards serve comes
  through the control group, late, as growth of sums that never go down.
- A grant is charged an estimate, which gives way to the actual cost as the
  router reports it.  Estimates stay in ``pending``, apart from ``service``,
  so that no sum has to go down when an estimate was too high.
- Debt is capped.  An account may use idle capacity elsewhere without limit;
  without the cap, it would wait here for as long as that took.
"""

from dataclasses import dataclass

from hitchdeck_core.ids import AccountName

_MEAN_COST_SMOOTHING = 0.8
"""Weight of the past in an account's running mean of cost."""

_MAX_HINT_FACTOR = 4.0
"""How far a caller's hint may move the estimate from the mean, either way."""


@dataclass(slots=True)
class AccountShare:
    """Service of one account as one scheduler life sees it, in cost units."""

    weight: float = 1.0
    service: float = 0.0
    pending: float = 0.0
    lift: float = 0.0
    mean_cost: float | None = None
    seen: bool = False

    def virtual_service(self) -> float:
        """Return the weighted service, the lift included."""
        return self.lift + (self.service + self.pending) / self.weight


class FairShare:
    """Shares of all accounts that this scheduler life has met.

    Attributes
    ----------
    debt_cap
        Most weighted cost by which an account may stand above the floor when
        it becomes backlogged.
    """

    def __init__(self, debt_cap: float) -> None:
        self.debt_cap = debt_cap
        self.shares: dict[AccountName, AccountShare] = {}
        self.floor = 0.0

    def share_of(self, account: AccountName) -> AccountShare:
        """Return an account's share, made on first use."""
        return self.shares.setdefault(account, AccountShare())

    def activate(
        self,
        account: AccountName,
        weight: float,
        backlogged: list[AccountName],
    ) -> None:
        """Lift an account that becomes backlogged to the floor.

        A scheduler that has just taken over knows no lifts.  Whoever it
        meets first therefore starts level with the rest: differences within
        the bound are forgotten, rather than all of history being made up.
        """
        share = self.share_of(account)
        share.weight = weight
        others = [self.shares[one].virtual_service() for one in backlogged]
        floor = min(others, default=self.floor)
        self.floor = max(self.floor, floor)
        gap = floor - share.virtual_service()
        if gap > 0 or not share.seen:
            share.lift += gap
        elif gap < -self.debt_cap:
            share.lift += gap + self.debt_cap
        share.seen = True

    def estimate(self, account: AccountName, hint: float) -> float:
        """Return what to charge a grant: the mean cost, moved by the hint."""
        mean = self.share_of(account).mean_cost
        if mean is None:
            return hint
        low, high = mean / _MAX_HINT_FACTOR, mean * _MAX_HINT_FACTOR
        return (mean + min(high, max(low, hint))) / 2

    def charge_estimate(self, account: AccountName, estimate: float) -> None:
        """Charge a grant's estimate."""
        share = self.share_of(account)
        share.pending += estimate
        self.floor = max(self.floor, share.virtual_service() - estimate / share.weight)

    def settle_estimate(self, account: AccountName, used: float) -> None:
        """Drop a part of an estimate: it was used up, or was too high."""
        share = self.share_of(account)
        share.pending = max(0.0, share.pending - used)

    def add_service(self, account: AccountName, cost: float) -> None:
        """Count actual cost, run here or in another shard."""
        self.share_of(account).service += cost

    def update_mean_cost(self, account: AccountName, cost: float) -> None:
        """Take a finished request into the account's mean cost."""
        share = self.share_of(account)
        if share.mean_cost is None:
            share.mean_cost = cost
            return
        share.mean_cost = (
            _MEAN_COST_SMOOTHING * share.mean_cost + (1 - _MEAN_COST_SMOOTHING) * cost
        )
