"""What a router holds of schedulers: waiting tickets and granted slots."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.wire.hitchdeck_pb2 import CostReport, Ticket

if TYPE_CHECKING:
    from hitchdeck_router.scheduling.client import ShardClient


@dataclass(slots=True)
class PendingTicket:
    """A ticket of this router that waits for its grant.

    ``client`` is where it waits now; it may be moved to another shard.
    """

    ticket: Ticket
    granted: asyncio.Future[Slot]
    since: float
    client: ShardClient | None = None


@dataclass(slots=True)
class Slot:
    """A slot that this router holds.

    ``cost`` is what its run has cost, of which the scheduler has been told
    ``reported_cost`` at ``reported_at``.
    """

    ticket: Ticket
    client: SlotOwner
    upstream: UpstreamName
    moved_from: str = ''
    cost: float = 0.0
    reported_cost: int = 0
    reported_at: float = 0.0
    gap_total: float = 0.0
    gap_count: int = 0

    def release(self, *, failed: bool = False) -> None:
        """Give the slot back; more than once does no harm."""
        self.client.release(self, failed=failed)

    def record_cost(self, cost: float) -> None:
        """Note what the run has cost so far, in all."""
        self.cost = max(self.cost, cost)
        self.client.report_progress(self)

    def record_gap(self, seconds: float) -> None:
        """Note a time between tokens."""
        self.gap_total += seconds
        self.gap_count += 1

    def pop_mean_gap(self) -> float:
        """Return the mean time between tokens since this was last asked.

        The mean, not the worst: one late token on a busy box would take
        slots from an upstream that is well within its target.
        """
        mean = self.gap_total / max(1, self.gap_count)
        self.gap_total = 0.0
        self.gap_count = 0
        return mean


class SlotOwner(Protocol):
    """Whoever a slot goes back to."""

    def release(self, slot: Slot, *, failed: bool = False) -> None:
        """Take a slot back."""

    def report_progress(self, slot: Slot) -> None:
        """Hear that a slot's run has cost more."""


@dataclass(slots=True)
class Unsent:
    """What the next frame to the scheduler will carry."""

    tickets: list[Ticket] = field(default_factory=list)
    reports: list[CostReport] = field(default_factory=list)
    cancelled: list[int] = field(default_factory=list)
