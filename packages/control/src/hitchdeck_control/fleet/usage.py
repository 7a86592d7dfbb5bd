"""Usage per account in the whole fleet, from monotonic counters.

Each router incarnation reports, per shard and account, the cost of its requests
since its start.  Merging takes the larger of two reports, so repeated or delayed
reports count once.  The scheduler of a shard receives the usage per account in all
*other* shards; that of its own shard it learns directly.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from hitchdeck_core.wire.hitchdeck_pb2 import UsageSum

_UsageKey = tuple[str, str]
"""Shard and account."""


class UsageTable:
    """Usage in cost units.

    Attributes
    ----------
    changed_at
        Per account, the table's position when its usage last grew.
    """

    def __init__(self) -> None:
        self.by_incarnation: dict[str, dict[_UsageKey, int]] = {}
        self.by_key: dict[_UsageKey, int] = defaultdict(int)
        self.by_account: dict[str, int] = defaultdict(int)
        self.changed_at: dict[str, int] = {}
        self.position = 0
        self.ended: set[str] = set()

    def merge(self, incarnation: str, sums: Iterable[UsageSum]) -> None:
        """Merge the cumulative sums that a router incarnation reported."""
        if incarnation in self.ended:
            return
        known = self.by_incarnation.setdefault(incarnation, {})
        for one in sums:
            usage_key = (one.shard, one.account)
            growth = one.cost - known.get(usage_key, 0)
            if growth <= 0:
                continue
            known[usage_key] = int(one.cost)
            self.by_key[usage_key] += int(growth)
            self.by_account[one.account] += int(growth)
            self.position += 1
            self.changed_at.pop(one.account, None)
            self.changed_at[one.account] = self.position

    def retire(self, incarnation: str) -> None:
        """Drop the details of a router incarnation that has ended; totals remain.

        Later reports of that incarnation are ignored, since they would be counted
        twice.
        """
        if self.by_incarnation.pop(incarnation, None) is not None:
            self.ended.add(incarnation)

    def usage_outside(self, shard: str, position: int) -> Iterator[UsageSum]:
        """Yield the usage outside a shard of accounts that grew since a position."""
        for account, changed_at in reversed(self.changed_at.items()):
            if changed_at <= position:
                return
            cost = self.by_account[account] - self.by_key.get((shard, account), 0)
            yield UsageSum(shard=shard, account=account, cost=cost)
