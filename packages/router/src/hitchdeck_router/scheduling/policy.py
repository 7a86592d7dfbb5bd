"""Ranking of tickets and the scheduling policy of a pool."""

from collections.abc import Callable
from dataclasses import dataclass

from hitchdeck_core.ids import AccountName
from hitchdeck_core.resources import Urgency
from hitchdeck_router.scheduling.fairness import AccountShare
from hitchdeck_router.scheduling.queueing import WaitingTicket

URGENT_CREDIT = 4_000.0
"""Weighted cost by which urgent requests may precede those of other accounts."""

Rank = Callable[[AccountShare, WaitingTicket, float], float]
"""Maps an account's share, its next ticket and the time to a rank; lowest first."""


def least_served(share: AccountShare, head: WaitingTicket, now: float) -> float:
    """Rank by weighted service, less a bounded credit for urgent tickets."""
    if head.urgency_at(now) is Urgency.urgent:
        return share.virtual_service() - URGENT_CREDIT
    return share.virtual_service()


@dataclass(slots=True)
class ShardPolicy:
    """Scheduling parameters of a pool, and the ranking function."""

    queue_limit: int
    urgent_overcommit: int
    weight_of: Callable[[AccountName], float]
    rank: Rank = least_served
