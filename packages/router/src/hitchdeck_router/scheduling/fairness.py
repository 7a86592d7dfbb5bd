"""Virtual token counters for weighted fair sharing between client accounts.

Based on Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024):
the backlogged account with the least weighted service is served next, and the
counter of an account that becomes backlogged is lifted to the minimum over the
backlogged accounts, so that idle time earns no credit.  Differences:

- Service is counted over the whole fleet.  The service of other shards arrives
  late through the control group, as increases of monotonic sums.
- A grant is charged an estimate, which is replaced by the actual cost as the
  router reports it.  Estimates are kept in ``pending``, apart from ``service``,
  so that no sum decreases when an estimate was too high.
- Debt is capped.  An account may use idle capacity of other shards without
  limit; without the cap, it would then be starved here for an equally long
  time.
"""

from dataclasses import dataclass

from hitchdeck_core.ids import AccountName

_MEAN_COST_SMOOTHING = 0.8
"""Weight of the previous mean in an account's moving average of cost."""

_MAX_HINT_FACTOR = 4.0
"""Factor by which a cost hint may differ from the mean before it is clamped."""


@dataclass(slots=True)
class AccountShare:
    """Service of one account in one scheduler incarnation, in cost units.

    Attributes
    ----------
    service
        Actual cost served, in all shards.
    pending
        Estimated cost of granted slots that is not yet reported.
    lift
        Weighted cost added on activation.
    mean_cost
        Moving average of the cost of a request, ``None`` before the first.
    seen
        Whether the account was backlogged before.
    """

    weight: float = 1.0
    service: float = 0.0
    pending: float = 0.0
    lift: float = 0.0
    mean_cost: float | None = None
    seen: bool = False

    def virtual_service(self) -> float:
        """Return the virtual counter: weighted service plus lift."""
        return self.lift + (self.service + self.pending) / self.weight


class FairShare:
    """Shares of all accounts known to this scheduler incarnation.

    Attributes
    ----------
    debt_cap
        Maximum weighted cost by which the counter of an account may exceed
        the floor when it becomes backlogged.
    floor
        Highest minimum of the backlogged counters so far.
    """

    def __init__(self, debt_cap: float) -> None:
        self.debt_cap = debt_cap
        self.shares: dict[AccountName, AccountShare] = {}
        self.floor = 0.0

    def share_of(self, account: AccountName) -> AccountShare:
        """Return the share of an account, created on first use."""
        return self.shares.setdefault(account, AccountShare())

    def activate(
        self,
        account: AccountName,
        weight: float,
        backlogged: list[AccountName],
    ) -> None:
        """Lift the counter of an account that becomes backlogged to the floor.

        A new scheduler incarnation has no record of earlier lifts.  An account
        that it sees for the first time therefore starts at the floor: this
        drops differences within the fairness bound, where the alternative
        would be to compensate for the whole history.
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
        """Return the cost to charge for a grant: the average of mean and hint."""
        mean = self.share_of(account).mean_cost
        if mean is None:
            return hint
        low, high = mean / _MAX_HINT_FACTOR, mean * _MAX_HINT_FACTOR
        return (mean + min(high, max(low, hint))) / 2

    def charge_estimate(self, account: AccountName, estimate: float) -> None:
        """Charge the estimated cost of a grant."""
        share = self.share_of(account)
        share.pending += estimate
        self.floor = max(self.floor, share.virtual_service() - estimate / share.weight)

    def settle_estimate(self, account: AccountName, used: float) -> None:
        """Remove a part of an estimate that was reported, or was too high."""
        share = self.share_of(account)
        share.pending = max(0.0, share.pending - used)

    def add_service(self, account: AccountName, cost: float) -> None:
        """Add actual cost, from this shard or another."""
        self.share_of(account).service += cost

    def update_mean_cost(self, account: AccountName, cost: float) -> None:
        """Update the mean cost of an account with a finished request."""
        share = self.share_of(account)
        if share.mean_cost is None:
            share.mean_cost = cost
            return
        share.mean_cost = (
            _MEAN_COST_SMOOTHING * share.mean_cost + (1 - _MEAN_COST_SMOOTHING) * cost
        )
