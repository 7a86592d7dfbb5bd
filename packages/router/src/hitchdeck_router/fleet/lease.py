"""The router's lease on its configuration."""

from collections import OrderedDict

from hitchdeck_core.clock import Clock

_DRIFT_FACTOR = 0.95
"""Part of a lease that its holder relies on; the rest is for clocks that run
at different rates."""

_MAX_PENDING_BEATS = 64


class ConfigurationLease:
    """Leave to admit and dispatch under the present configuration.

    The lease counts from when the beat that asked for it was *sent*: the
    leader granted it later than that, so it never outlives what the leader
    believes, however long the answer took.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.expires_at = float('-inf')
        self.sent_at: OrderedDict[int, float] = OrderedDict()
        self.sequence = 0

    def next_beat(self) -> int:
        """Return the number of a beat that is sent now."""
        self.sequence += 1
        self.sent_at[self.sequence] = self.now()
        if len(self.sent_at) > _MAX_PENDING_BEATS:
            self.sent_at.popitem(last=False)
        return self.sequence

    def renew(self, sequence: int, seconds: float) -> None:
        """Take up a lease that answers a beat."""
        sent_at = self.sent_at.pop(sequence, None)
        if sent_at is not None:
            self.expires_at = max(self.expires_at, sent_at + seconds * _DRIFT_FACTOR)

    def is_live(self) -> bool:
        """Tell whether the lease holds at this moment.

        Ask again after every await: the process may have been frozen there.
        """
        return self.now() < self.expires_at
