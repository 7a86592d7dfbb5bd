"""Load of upstreams: slots, adaptive concurrency limits and failure penalties."""

from dataclasses import dataclass, field

from hitchdeck_core.ids import UpstreamName
from hitchdeck_router.scheduling.queueing import TicketKey

TOKEN_GAP_TARGET_SECONDS = 0.07
"""Time between tokens that is promised to callers."""

_INCREASE_THRESHOLD = 0.85
_DECREASE_FACTOR = 0.9
_INCREASE_STEP = 1.0
_GAP_SMOOTHING = 0.7
_ADJUST_PERIOD_SECONDS = 1.0
_FIRST_PENALTY_SECONDS = 0.5
_MAX_PENALTY_SECONDS = 10.0


@dataclass(slots=True)
class UpstreamLoad:
    """Load of one upstream; times in seconds on the scheduler's clock.

    ``limit`` is an adaptive concurrency limit (additive increase,
    multiplicative decrease): it falls by a tenth while token gaps are above
    the target, and rises towards ``slots`` while they are well below it.  The
    load reports of engines lag too much to be used for this.

    Attributes
    ----------
    held
        Tickets with a slot on this upstream.
    token_gap
        Smoothed time between tokens, 0 before the first report.
    blocked_until
        End of the penalty after a failure.
    penalty
        Duration of the last penalty, 0 if the last request succeeded.
    """

    slots: int
    limit: float
    held: set[TicketKey] = field(default_factory=set)
    token_gap: float = 0.0
    adjusted_at: float = 0.0
    blocked_until: float = 0.0
    penalty: float = 0.0

    def free_slots(self, now: float, extra: int = 0) -> int:
        """Return the number of free slots, negative if there are too many requests.

        ``extra`` slots are added to the limit.  After a failure, only one
        request at a time is allowed until one succeeds.
        """
        if now < self.blocked_until:
            return 0
        allowed = 1 if self.penalty else max(1, int(self.limit)) + extra
        return allowed - len(self.held)

    def observe_gap(self, gap: float, now: float) -> None:
        """Adjust the limit to a reported time between tokens."""
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
        """Block new requests for an exponentially growing penalty."""
        self.penalty = min(
            _MAX_PENALTY_SECONDS, 2 * self.penalty or _FIRST_PENALTY_SECONDS
        )
        self.blocked_until = now + self.penalty

    def record_success(self) -> None:
        """Reset the penalty."""
        self.penalty = 0.0


Loads = dict[UpstreamName, UpstreamLoad]
