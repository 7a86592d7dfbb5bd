"""Graceful stop: which requests are still admitted, and when the process may exit.

Fractions refer to the grace period, and are counted from the start of the stop.
"""

from hitchdeck_core.clock import Clock

ADMIT_FRACTION = 0.85
"""A request is admitted only if it is expected to complete by then."""

DURATION_MARGIN = 1.2
"""Safety factor on the longest duration of a route's requests so far."""

STREAM_FRACTION = 0.3
"""When streams cease to be admitted, however short those of their route were: load may
have grown since, and a truncated stream is lost."""

EXIT_FRACTION = 0.95
"""When the process exits even with requests in flight; the rest of the grace period
covers the exit itself."""

IDLE_EXIT_FRACTION = 0.5
"""When an idle process may exit; not earlier, since callers keep using cached addresses
for some time."""


class GracefulStop:
    """The state of a graceful stop.

    Nothing is refused before the stop begins.
    """

    def __init__(self, grace: float, now: Clock) -> None:
        self.grace = grace
        self.now = now
        self.started_at: float | None = None

    def begin(self) -> None:
        """Start the grace period."""
        self.started_at = self.now()

    def should_refuse(self, longest_seconds: float, *, streams: bool) -> bool:
        """Tell whether a new request might not complete before this process exits.

        Parameters
        ----------
        longest_seconds
            Longest expected duration of requests of its route.
        streams
            Whether the response is a stream.
        """
        if self.started_at is None:
            return False
        elapsed = self._elapsed_fraction()
        if streams and elapsed > STREAM_FRACTION:
            return True
        longest = DURATION_MARGIN * longest_seconds
        return elapsed + longest / self.grace > ADMIT_FRACTION

    def may_exit(self, *, idle: bool) -> bool:
        """Tell whether the process may exit now."""
        elapsed = self._elapsed_fraction()
        return elapsed > EXIT_FRACTION or (idle and elapsed > IDLE_EXIT_FRACTION)

    def _elapsed_fraction(self) -> float:
        if self.started_at is None:
            return 0
        return (self.now() - self.started_at) / self.grace
