"""Client-side state of tickets and slots."""

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
    """A ticket of this router that has not been granted a slot.

    ``client`` is the shard client at which it waits, which changes when the
    ticket is moved to another shard.  ``since`` is the submission time.
    """

    ticket: Ticket
    granted: asyncio.Future[Slot]
    since: float
    client: ShardClient | None = None


@dataclass(slots=True)
class Slot:
    """A slot that was granted to this router.

    ``cost`` is the cost of the run so far, in cost units, of which
    ``reported_cost`` was reported to the scheduler at ``reported_at``.
    ``moved_from`` is the upstream on which the session ran last, if that is
    another one.
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
        """Release the slot; idempotent."""
        self.client.release(self, failed=failed)

    def record_cost(self, cost: float) -> None:
        """Record the total cost of the run so far."""
        self.cost = max(self.cost, cost)
        self.client.report_progress(self)

    def record_gap(self, seconds: float) -> None:
        """Record the time between two tokens."""
        self.gap_total += seconds
        self.gap_count += 1

    def pop_mean_gap(self) -> float:
        """Return and reset the mean time between tokens, in seconds.

        The mean is used, not the maximum: one late token on a busy box would
        reduce the limit of an upstream that is well within its target.
        """
        mean = self.gap_total / max(1, self.gap_count)
        self.gap_total = 0.0
        self.gap_count = 0
        return mean


class SlotOwner(Protocol):
    """The component that a slot is released to."""

    def release(self, slot: Slot, *, failed: bool = False) -> None:
        """Release a slot."""

    def report_progress(self, slot: Slot) -> None:
        """Handle an increase in the cost of a slot's run."""


@dataclass(slots=True)
class Unsent:
    """Content of the next frame to the scheduler."""

    tickets: list[Ticket] = field(default_factory=list)
    reports: list[CostReport] = field(default_factory=list)
    cancelled: list[int] = field(default_factory=list)
