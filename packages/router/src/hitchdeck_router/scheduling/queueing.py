"""Waiting tickets of one account: urgency first, then the nearest deadline."""

import heapq
from dataclasses import dataclass, field

from hitchdeck_core.ids import AccountName, Incarnation, TicketId, UpstreamName
from hitchdeck_core.resources import Urgency

TicketKey = tuple[Incarnation, TicketId]
"""A ticket's identity in a shard: the router life and its number there."""

_ESCALATION_SECONDS = 30.0
"""Seconds before its deadline at which any ticket becomes urgent."""


@dataclass(slots=True)
class WaitingTicket:
    """A ticket that waits; times on the scheduler's clock, in seconds.

    ``deadline`` is infinite for a request without one.
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
        """The router life that waits for the grant."""
        return self.key[0]

    def urgency_at(self, now: float) -> Urgency:
        """Return the urgency, which rises as the deadline comes near."""
        if self.deadline - now < _ESCALATION_SECONDS:
            return Urgency.urgent
        return self.urgency


@dataclass(slots=True)
class AccountQueue:
    """One account's tickets: a heap for each urgency.

    Cancelled tickets stay in their heap, marked, until they surface.
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
        """Return the ticket to serve next."""
        heads = [
            ticket for urgency in Urgency if (ticket := self._top(urgency)) is not None
        ]
        return min(
            heads,
            key=lambda one: (one.urgency_at(now), one.deadline, one.since),
            default=None,
        )

    def oldest_since(self) -> float:
        """Return since when the oldest head waits, infinite if none does."""
        tops = (self._top(urgency) for urgency in Urgency)
        return min((one.since for one in tops if one), default=float('inf'))

    def remove(self, ticket: WaitingTicket) -> None:
        """Take a ticket out, wherever it stands."""
        if not ticket.cancelled:
            ticket.cancelled = True
            self.length -= 1

    def _top(self, urgency: Urgency) -> WaitingTicket | None:
        heap = self.heaps[urgency]
        while heap and heap[0][-1].cancelled:
            heapq.heappop(heap)
        return heap[0][-1] if heap else None
