"""Service per account over the whole fleet, from sums that only grow.

Each router life reports, per shard and account, the cost of what it has run
since it began.  Merging takes the larger of two reports, so a report that is
repeated or late counts once.  What goes back to the scheduler of a shard is,
per account, the service of all *other* shards: its own it hears of directly.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from hitchdeck_core.wire.hitchdeck_pb2 import UsageSum

_Cell = tuple[str, str]
"""Shard and account."""


class UsageTable:
    """Service in cost units.

    Attributes
    ----------
    changed_at
        Per account, the table's position when its service last grew.
    """

    def __init__(self) -> None:
        self.by_life: dict[str, dict[_Cell, int]] = {}
        self.by_cell: dict[_Cell, int] = defaultdict(int)
        self.by_account: dict[str, int] = defaultdict(int)
        self.changed_at: dict[str, int] = {}
        self.position = 0
        self.ended: set[str] = set()

    def merge(self, life: str, sums: Iterable[UsageSum]) -> None:
        """Take over what has grown in a router life's sums."""
        if life in self.ended:
            return
        known = self.by_life.setdefault(life, {})
        for one in sums:
            cell = (one.shard, one.account)
            growth = one.cost - known.get(cell, 0)
            if growth <= 0:
                continue
            known[cell] = int(one.cost)
            self.by_cell[cell] += int(growth)
            self.by_account[one.account] += int(growth)
            self.position += 1
            self.changed_at.pop(one.account, None)
            self.changed_at[one.account] = self.position

    def end(self, life: str) -> None:
        """Fold a router life that is over; totals keep what it served.

        Should it come back after all, its sums are ignored rather than
        counted again.
        """
        if self.by_life.pop(life, None) is not None:
            self.ended.add(life)

    def elsewhere(self, shard: str, position: int) -> Iterator[UsageSum]:
        """Yield other shards' service for the accounts that grew since."""
        for account, changed_at in reversed(self.changed_at.items()):
            if changed_at <= position:
                return
            cost = self.by_account[account] - self.by_cell.get((shard, account), 0)
            yield UsageSum(shard=shard, account=account, cost=cost)
