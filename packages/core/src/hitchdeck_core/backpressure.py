"""Backpressure that upstreams apply to this process.

In a response, an upstream asks for a backoff or announces its shutdown.  The signal
is meant for the process that receives the response: the upstream may still accept
requests from others.  Each process therefore keeps what it received to itself,
applies it whichever component chose the upstream, and loses it when it exits.
"""

from collections.abc import Iterable, Set

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName

_NO_UPSTREAMS: frozenset[UpstreamName] = frozenset()


class Backpressure:
    """Backoff and shutdown state of each upstream, as signalled to this process.

    Attributes
    ----------
    backoff_until
        Time on the given clock, in seconds, before which an upstream must not be
        sent requests.
    leaving
        Upstreams that are shutting down and accept no further requests.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.backoff_until: dict[UpstreamName, float] = {}
        self.leaving: set[UpstreamName] = set()

    def pause(self, name: UpstreamName, seconds: float) -> None:
        """Stop sending to an upstream for a time in seconds; 0 has no effect."""
        until = self.now() + seconds
        known = self.backoff_until.get(name, 0)
        if seconds <= 0 or until <= known:
            return
        self.backoff_until[name] = until
        if known <= self.now():
            logs.info('upstream paused', upstream=name, seconds=round(seconds, 3))

    def mark_leaving(self, name: UpstreamName) -> None:
        """Mark an upstream as shutting down; later reports don't revoke it."""
        if name not in self.leaving:
            self.leaving.add(name)
            logs.info('upstream leaves', upstream=name)

    def transfer_backoff(self, earlier: UpstreamName, later: UpstreamName) -> None:
        """Apply an upstream's remaining backoff to the incarnation that replaced it.

        The new incarnation may be the one that asked for it, since it answers
        requests for some time before this process learns of it.  The shutdown mark
        is not transferred, because it would never be cleared.
        """
        if earlier in self.backoff_until:
            self.pause(later, self.backoff_until[earlier] - self.now())

    def accepts_requests(self, name: UpstreamName) -> bool:
        """Return whether requests may be sent to an upstream."""
        return name not in self.blocked()

    def blocked(self) -> Set[UpstreamName]:
        """Return the upstreams to which no request may be sent now."""
        if not self.backoff_until and not self.leaving:
            return _NO_UPSTREAMS
        self._expire()
        return self.leaving.union(self.backoff_until)

    def seconds_until_accepting(self, names: Iterable[UpstreamName]) -> float:
        """Return the seconds until the first of these upstreams accepts requests.

        0 if one accepts requests now, or if all of them are shutting down.
        """
        blocked = self.blocked()
        now = self.now()
        left = [
            self.backoff_until[name] - now if name in blocked else 0
            for name in names
            if name not in self.leaving
        ]
        return min(left, default=0)

    def retain(self, names: Iterable[UpstreamName]) -> None:
        """Drop the state of all upstreams but these."""
        kept = set(names)
        self.leaving &= kept
        for name in self.backoff_until.keys() - kept:
            self.backoff_until.pop(name)

    def _expire(self) -> None:
        now = self.now()
        over = [name for name, until in self.backoff_until.items() if until <= now]
        for name in over:
            self.backoff_until.pop(name)
