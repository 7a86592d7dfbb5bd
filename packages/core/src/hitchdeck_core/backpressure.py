"""Upstreams that want nothing from this process, by their own word.

An upstream says so in an answer, and says it to whom it answers: another process
may still be welcome there.  So each keeps what it was told, goes by it whoever
chooses the upstream, and forgets it when it ends.
"""

from collections.abc import Iterable, Set

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName

_NO_UPSTREAMS: frozenset[UpstreamName] = frozenset()


class Backpressure:
    """What each upstream asked of this process.

    Attributes
    ----------
    paused
        Until when each upstream wants nothing, on the given clock, in seconds.
    leaving
        Upstreams that leave, and want nothing any more.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.backoff_until: dict[UpstreamName, float] = {}
        self.leaving: set[UpstreamName] = set()

    def pause(self, name: UpstreamName, seconds: float) -> None:
        """Note that an upstream wants nothing for so long; 0 is no wish."""
        until = self.now() + seconds
        known = self.backoff_until.get(name, 0)
        if seconds <= 0 or until <= known:
            return
        self.backoff_until[name] = until
        if known <= self.now():
            logs.info('upstream paused', upstream=name, seconds=round(seconds, 3))

    def mark_leaving(self, name: UpstreamName) -> None:
        """Note that an upstream leaves: for good, whatever it reports later."""
        if name not in self.leaving:
            self.leaving.add(name)
            logs.info('upstream leaves', upstream=name)

    def transfer_backoff(self, earlier: UpstreamName, later: UpstreamName) -> None:
        """Hold a pause also for the life that has replaced an upstream's.

        It may be the one that asked: it answers for some time before this process
        knows of it.  That a life leaves is not held against the next, for which it
        would never end.
        """
        if earlier in self.backoff_until:
            self.pause(later, self.backoff_until[earlier] - self.now())

    def accepts_requests(self, name: UpstreamName) -> bool:
        """Tell whether an upstream may be sent a request."""
        return name not in self.blocked()

    def blocked(self) -> Set[UpstreamName]:
        """Return the upstreams that must get nothing now."""
        if not self.backoff_until and not self.leaving:
            return _NO_UPSTREAMS
        self._expire()
        return self.leaving.union(self.backoff_until)

    def seconds_until_accepting(self, names: Iterable[UpstreamName]) -> float:
        """Return until when none of these upstreams wants anything, in seconds.

        0 if one does now, or if all of them leave.
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
        """Forget all other upstreams."""
        kept = set(names)
        self.leaving &= kept
        for name in self.backoff_until.keys() - kept:
            self.backoff_until.pop(name)

    def _expire(self) -> None:
        now = self.now()
        over = [name for name, until in self.backoff_until.items() if until <= now]
        for name in over:
            self.backoff_until.pop(name)
