"""A planned stop: what is still taken, and when the process may end."""

from hitchdeck_core.clock import Clock

TAKING_PART = 0.85
"""A request is taken only if it surely ends within this part of the grace."""

LONGEST_FACTOR = 3.0
"""Few requests take longer than so many times what their route's take."""

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

    def refuses(self, usual_seconds: float) -> bool:
        """Tell whether a new request may last longer than this process.

        Parameters
        ----------
        usual_seconds
            How long requests of its route take in the mean.
        """
        if self.began is None:
            return False
        longest = LONGEST_FACTOR * usual_seconds
        return self._passed() + longest / self.grace > TAKING_PART

    def may_end(self, *, idle: bool) -> bool:
        """Tell whether the process may end now."""
        passed = self._passed()
        return passed > LAST_PART or (idle and passed > QUIET_PART)

    def _passed(self) -> float:
        if self.began is None:
            return 0
        return (self.now() - self.began) / self.grace
