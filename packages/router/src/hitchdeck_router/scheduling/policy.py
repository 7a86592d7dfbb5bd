"""Whose turn it is, as a function, and what a pool says about its queues."""

from collections.abc import Callable
from dataclasses import dataclass

from hitchdeck_core.ids import AccountName
from hitchdeck_core.resources import Urgency
from hitchdeck_router.scheduling.fairness import AccountShare
from hitchdeck_router.scheduling.queueing import WaitingTicket

URGENT_CREDIT = 4_000.0
"""Weighted cost by which urgent work may go before other accounts' work."""

Rank = Callable[[AccountShare, WaitingTicket, float], float]
"""From an account's share, its next ticket and the time: lowest is served."""


def least_served(share: AccountShare, head: WaitingTicket, now: float) -> float:
    """Rank by weighted service; urgent work may borrow a bounded credit."""
    if head.urgency_at(now) is Urgency.urgent:
        return share.virtual_service() - URGENT_CREDIT
    return share.virtual_service()


@dataclass(slots=True)
class ShardPolicy:
    """What the pool's definition says about scheduling, and whose turn it is."""

    queue_limit: int
    urgent_overcommit: int
    weight_of: Callable[[AccountName], float]
    rank: Rank = least_served
