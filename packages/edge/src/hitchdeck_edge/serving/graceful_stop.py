"""A planned stop: what is still taken, and when the process may end."""

from hitchdeck_core.clock import Clock

ADMIT_FRACTION = 0.85
"""A request is taken only if it surely ends within this part of the grace."""

DURATION_MARGIN = 1.2
"""Margin on the longest request of a route so far."""

STREAM_FRACTION = 0.3
"""Part of the grace after which no stream is taken, however short those of its
route were: load may have grown since, and a stream that is cut is lost."""

EXIT_FRACTION = 0.95
"""Part of the grace after which the process ends whatever is open; what is
left covers the way out of the process."""

IDLE_EXIT_FRACTION = 0.5
"""Part of the grace before which an idle process does not end: callers keep
using addresses for some time."""


class GracefulStop:
    """The state of a planned stop; nothing is refused before one begins."""

    def __init__(self, grace: float, now: Clock) -> None:
        self.grace = grace
        self.now = now
        self.started_at: float | None = None

    def begin(self) -> None:
        """Begin the stop."""
        self.started_at = self.now()

    def should_refuse(self, longest_seconds: float, *, streams: bool) -> bool:
        """Tell whether a new request may last longer than this process.

        Parameters
        ----------
        longest_seconds
            How long requests of its route take at the longest.
        streams
            Whether its answer is a stream.
        """
        if self.started_at is None:
            return False
        elapsed = self._elapsed_fraction()
        if streams and elapsed > STREAM_FRACTION:
            return True
        longest = DURATION_MARGIN * longest_seconds
        return elapsed + longest / self.grace > ADMIT_FRACTION

    def may_exit(self, *, idle: bool) -> bool:
        """Tell whether the process may end now."""
        elapsed = self._elapsed_fraction()
        return elapsed > EXIT_FRACTION or (idle and elapsed > IDLE_EXIT_FRACTION)

    def _elapsed_fraction(self) -> float:
        if self.started_at is None:
            return 0
        return (self.now() - self.started_at) / self.grace
