"""Upstreams of a shard: slots, learned limits, failures."""

from dataclasses import dataclass, field

from hitchdeck_core.ids import UpstreamName
from hitchdeck_router.scheduling.queueing import TicketKey

TOKEN_GAP_TARGET_SECONDS = 0.07
"""Seconds between tokens that callers are promised."""

_INCREASE_THRESHOLD = 0.85
_DECREASE_FACTOR = 0.9
_INCREASE_STEP = 1.0
_GAP_SMOOTHING = 0.7
_ADJUST_PERIOD_SECONDS = 1.0
_FIRST_PENALTY_SECONDS = 0.5
_MAX_PENALTY_SECONDS = 10.0


@dataclass(slots=True)
class UpstreamLoad:
    """One upstream; times in seconds on the scheduler's clock.

    ``limit`` is the concurrency learned from token gaps: it falls by a
    tenth while they are over target and creeps up to ``slots`` while they
    are well under it.  The engines' own load reports lag too much for that.
    """

    slots: int
    limit: float
    held: set[TicketKey] = field(default_factory=set)
    token_gap: float = 0.0
    adjusted_at: float = 0.0
    blocked_until: float = 0.0
    penalty: float = 0.0

    def free_slots(self, now: float, extra: int = 0) -> int:
        """Return how many more requests may go there, negative if over."""
        if now < self.blocked_until:
            return 0
        allowed = 1 if self.penalty else max(1, int(self.limit)) + extra
        return allowed - len(self.held)

    def observe_gap(self, gap: float, now: float) -> None:
        """Learn from a reported time between tokens."""
        if gap <= 0:
            return
        if not self.token_gap:
            self.token_gap = gap
        self.token_gap = _GAP_SMOOTHING * self.token_gap + (1 - _GAP_SMOOTHING) * gap
        if now - self.adjusted_at < _ADJUST_PERIOD_SECONDS:
            return
        self.adjusted_at = now
        if self.token_gap > TOKEN_GAP_TARGET_SECONDS:
            self.limit = max(1.0, self.limit * _DECREASE_FACTOR)
        elif self.token_gap < TOKEN_GAP_TARGET_SECONDS * _INCREASE_THRESHOLD:
            self.limit = min(float(self.slots), self.limit + _INCREASE_STEP)

    def record_failure(self, now: float) -> None:
        """Keep new work away for a while, longer each time."""
        self.penalty = min(
            _MAX_PENALTY_SECONDS, 2 * self.penalty or _FIRST_PENALTY_SECONDS
        )
        self.blocked_until = now + self.penalty

    def record_success(self) -> None:
        """Forget failures: it serves."""
        self.penalty = 0.0


Loads = dict[UpstreamName, UpstreamLoad]
