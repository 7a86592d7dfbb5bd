"""A planned stop: what is still taken, and when the process may end."""

from hitchdeck_core.clock import Clock

STREAM_PART = 0.3
"""Part of the grace in which new streams are still taken: a stream may last
for most of the rest."""

CALL_PART = 0.7
"""Part of the grace in which other requests are still taken."""

LAST_PART = 0.9
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

    def refuses(self, *, streams: bool) -> bool:
        """Tell whether a new request comes too late to be served whole."""
        part = STREAM_PART if streams else CALL_PART
        return self._passed() > part

    def may_end(self, *, idle: bool) -> bool:
        """Tell whether the process may end now."""
        passed = self._passed()
        return passed > LAST_PART or (idle and passed > QUIET_PART)

    def _passed(self) -> float:
        if self.began is None:
            return 0
        return (self.now() - self.began) / self.grace
