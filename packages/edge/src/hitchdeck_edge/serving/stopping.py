"""A planned stop: what is still taken, and when the process may end."""

from hitchdeck_core.clock import Clock

TAKING_PART = 0.85
"""A request is taken only if it surely ends within this part of the grace."""

LONGEST_FACTOR = 1.2
"""Margin on the longest request of a route so far."""

STREAM_PART = 0.3
"""Part of the grace after which no stream is taken, however short those of its
route were: load may have grown since, and a stream that is cut is lost."""

LAST_PART = 0.95
"""Part of the grace after which the process ends whatever is open; what is
left covers the way out of the process."""

QUIET_PART = 0.5
"""Part of the grace before which an idle process does not end: callers keep
using addresses for some time."""


class Stopping:
    """The state of a planned stop; nothing is refused before one begins."""

    def __init__(self, grace: float, now: Clock) -> None:
        self.grace = grace
        self.now = now
        self.began: float | None = None

    def begin(self) -> None:
        """Begin the stop."""
        self.began = self.now()

    def refuses(self, longest_seconds: float, *, streams: bool) -> bool:
        """Tell whether a new request may last longer than this process.

        Parameters
        ----------
        longest_seconds
            How long requests of its route take at the longest.
        streams
            Whether its answer is a stream.
        """
        if self.began is None:
            return False
        passed = self._passed()
        if streams and passed > STREAM_PART:
            return True
        longest = LONGEST_FACTOR * longest_seconds
        return passed + longest / self.grace > TAKING_PART

    def may_end(self, *, idle: bool) -> bool:
        """Tell whether the process may end now."""
        passed = self._passed()
        return passed > LAST_PART or (idle and passed > QUIET_PART)

    def _passed(self) -> float:
        if self.began is None:
            return 0
        return (self.now() - self.began) / self.grace
