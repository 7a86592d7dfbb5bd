"""Per-account queue of tickets, ordered by urgency, then by deadline."""

import heapq
from dataclasses import dataclass, field

from hitchdeck_core.ids import AccountName, Incarnation, TicketId, UpstreamName
from hitchdeck_core.resources import Urgency

TicketKey = tuple[Incarnation, TicketId]
"""Identifies a ticket in a shard: router incarnation and ticket number."""

_ESCALATION_SECONDS = 30.0
"""Time before its deadline at which any ticket becomes urgent."""


@dataclass(slots=True)
class WaitingTicket:
    """A waiting ticket; times in seconds on the scheduler's clock.

    Attributes
    ----------
    deadline
        Infinite for a request without a deadline.
    hint
        Estimated cost, in cost units.
    prefix
        Hashes of growing prefixes of the prompt.
    avoid
        Upstreams that this request should not go to.
    """

    key: TicketKey
    account: AccountName
    urgency: Urgency
    deadline: float
    hint: float
    since: float
    session: str = ''
    prefix: tuple[int, ...] = ()
    avoid: frozenset[UpstreamName] = frozenset()
    cancelled: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the router that submitted the ticket."""
        return self.key[0]

    def urgency_at(self, now: float) -> Urgency:
        """Return the urgency, which is raised shortly before the deadline."""
        if self.deadline - now < _ESCALATION_SECONDS:
            return Urgency.urgent
        return self.urgency


@dataclass(slots=True)
class AccountQueue:
    """Tickets of one account, in a heap for each urgency.

    Cancelled tickets are only marked, and removed when they reach the top.
    """

    heaps: dict[Urgency, list[tuple[float, float, TicketKey, WaitingTicket]]] = field(
        default_factory=lambda: {urgency: [] for urgency in Urgency},
    )
    length: int = 0

    def push(self, ticket: WaitingTicket) -> None:
        """Add a ticket."""
        entry = (ticket.deadline, ticket.since, ticket.key, ticket)
        heapq.heappush(self.heaps[ticket.urgency], entry)
        self.length += 1

    def head(self, now: float) -> WaitingTicket | None:
        """Return the next ticket to serve, ``None`` if the queue is empty."""
        heads = [
            ticket for urgency in Urgency if (ticket := self._top(urgency)) is not None
        ]
        return min(
            heads,
            key=lambda one: (one.urgency_at(now), one.deadline, one.since),
            default=None,
        )

    def oldest_since(self) -> float:
        """Return the earliest arrival among the heaps' heads, infinite if empty."""
        tops = (self._top(urgency) for urgency in Urgency)
        return min((one.since for one in tops if one), default=float('inf'))

    def remove(self, ticket: WaitingTicket) -> None:
        """Mark a ticket as cancelled."""
        if not ticket.cancelled:
            ticket.cancelled = True
            self.length -= 1

    def _top(self, urgency: Urgency) -> WaitingTicket | None:
        heap = self.heaps[urgency]
        while heap and heap[0][-1].cancelled:
            heapq.heappop(heap)
        return heap[0][-1] if heap else None
