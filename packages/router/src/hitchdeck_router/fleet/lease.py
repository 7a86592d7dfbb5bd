"""A router's lease on its configuration."""

from collections import OrderedDict

from hitchdeck_core.clock import Clock

_DRIFT_FACTOR = 0.95
"""Fraction of a lease that its holder uses; the rest allows for clock drift."""

_MAX_PENDING_BEATS = 64


class ConfigurationLease:
    """Permission to admit and dispatch under the current configuration.

    The lease starts when the beat that requested it was *sent*.  The leader
    granted it later than that, so that it expires before the leader's record
    of it, no matter how long the reply took.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.expires_at = float('-inf')
        self.sent_at: OrderedDict[int, float] = OrderedDict()
        self.sequence = 0

    def next_beat(self) -> int:
        """Return the sequence number of a beat, and record that it is sent now."""
        self.sequence += 1
        self.sent_at[self.sequence] = self.now()
        if len(self.sent_at) > _MAX_PENDING_BEATS:
            self.sent_at.popitem(last=False)
        return self.sequence

    def renew(self, sequence: int, seconds: float) -> None:
        """Extend the lease by the reply to a beat; ignores unknown beats."""
        sent_at = self.sent_at.pop(sequence, None)
        if sent_at is not None:
            self.expires_at = max(self.expires_at, sent_at + seconds * _DRIFT_FACTOR)

    def is_live(self) -> bool:
        """Return whether the lease is valid now.

        Check again after every await, as the process may have been suspended.
        """
        return self.now() < self.expires_at
