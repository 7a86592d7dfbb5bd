"""Quarantine of requests that crash upstreams.

When an upstream crashes, the requests in flight on it fail, and the one that caused the
crash is retried: with another id, at another box, and then on another upstream.
Every process that sends requests to upstreams has a ``Quarantine``, as have the hubs or
the leader that these processes report to.  Each decides by the crashes that it knows
of, and its verdicts apply at all processes.
"""

from collections import OrderedDict, deque
from collections.abc import Collection

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.crash_history import (
    MAX_CRASH_RECORDS,
    CrashHistory,
    CrashRecord,
)
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.verdicts import Verdict, Verdicts, VerdictStatus
from hitchdeck_core.signals import Signal

THIS_PROCESS = 'this process'
"""Origin of verdicts of this process."""

ANSWER_TTL_SECONDS = 60.0
"""Time for which a response clears a request.  The same request may come from many
callers and be in flight on many upstreams: when four crash at once, it can be in flight
on three of them without being the cause."""

MAX_ANSWERS = 8192
"""Most recently answered requests that are kept: two minutes at 70 requests per
second."""


@dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """Crashes that a process observed, and verdicts, as sent to another process."""

    crashes: tuple[CrashRecord, ...]
    verdicts: tuple[Verdict, ...]


@dataclass(frozen=True, slots=True)
class SyncPosition:
    """Position in the crashes and verdicts of a process up to which a peer has them."""

    crashes: int = 0
    verdicts: int = 0


SYNC_START = SyncPosition()
EMPTY_UPDATE = QuarantineUpdate((), ())


class Quarantine:
    """Decides which requests must not be sent to upstreams.

    Attributes
    ----------
    changed
        Notified of each change that peers should get.
    crashes
        Crashes known to this process.
    own_crashes
        Crashes that this process observed itself, the newest last.
    dropped_crashes
        Number of records that were dropped from ``own_crashes``.
    answered
        Time of the last response to each request, the oldest first.
    """

    def __init__(self, now: Clock, changed: Signal) -> None:
        self.now = now
        self.changed = changed
        self.crashes = CrashHistory(now)
        self.verdicts = Verdicts(now)
        self.own_crashes: deque[CrashRecord] = deque()
        self.dropped_crashes = 0
        self.answered: OrderedDict[Fingerprint, float] = OrderedDict()

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request must not be sent to upstreams."""
        return self.verdicts.is_quarantined(fingerprint)

    def record_crash(
        self, incarnation: UpstreamIncarnation, in_flight: Collection[Fingerprint]
    ) -> None:
        """Record that an incarnation crashed with some requests in flight."""
        logs.warning(
            'upstream ended',
            upstream=incarnation,
            contents=[one.hex() for one in in_flight],
        )
        crashes = [CrashRecord(fingerprint, incarnation) for fingerprint in in_flight]
        self.own_crashes.extend(crashes)
        self._add_crashes(crashes)
        while len(self.own_crashes) > MAX_CRASH_RECORDS:
            self.own_crashes.popleft()
            self.dropped_crashes += 1
        self.changed.notify()

    def record_answer(self, fingerprint: Fingerprint) -> None:
        """Record that an upstream responded to a request, and clear the request."""
        self.answered.pop(fingerprint, None)
        self.answered[fingerprint] = self.now()
        if len(self.answered) > MAX_ANSWERS:
            self.answered.popitem(last=False)
        self._clear(fingerprint)

    def merge(self, update: QuarantineUpdate, origin: str) -> set[UpstreamIncarnation]:
        """Merge an update; return the incarnations of crashes that were not known."""
        for verdict in update.verdicts:
            self._merge_verdict(verdict, origin)
        return {one.incarnation for one in self._add_crashes(update.crashes)}

    def update_since(
        self, position: SyncPosition
    ) -> tuple[QuarantineUpdate, SyncPosition]:
        """Return the update that a peer lacks, and the peer's position after it.

        The check for an empty update is first, since every frame to a peer calls this
        and there are rarely any changes.
        """
        if position.verdicts == self.verdicts.changes:
            if position.crashes == self.dropped_crashes + len(self.own_crashes):
                return EMPTY_UPDATE, position
        start = max(0, position.crashes - self.dropped_crashes)
        count = len(self.own_crashes)
        fresh = (self.own_crashes[place] for place in range(start, count))
        crashes = tuple(one for one in fresh if self.crashes.has(one))
        verdicts = tuple(self.verdicts.changed_since(position.verdicts))
        new_position = SyncPosition(self.dropped_crashes + count, self.verdicts.changes)
        return QuarantineUpdate(crashes, verdicts), new_position

    def _add_crashes(self, crashes: Collection[CrashRecord]) -> list[CrashRecord]:
        """Add crash records, all of them before any request is evaluated."""
        fresh = [one for one in crashes if self.crashes.add(one)]
        named = {one.fingerprint for one in fresh}
        for fingerprint in named:
            self._evaluate(fingerprint)
        return fresh

    def _evaluate(self, fingerprint: Fingerprint) -> None:
        if self.is_quarantined(fingerprint):
            return
        if self.crashes.implicates(fingerprint) and self.verdicts.quarantine(
            fingerprint
        ):
            incarnations = sorted(self.crashes.by_fingerprint[fingerprint])
            logs.warning(
                'content quarantined', content=fingerprint.hex(), ended=incarnations
            )
            self._publish_verdict(fingerprint)

    def _merge_verdict(self, verdict: Verdict, origin: str) -> None:
        if not self.verdicts.merge(verdict):
            return
        logs.info(
            'verdict taken',
            content=verdict.fingerprint.hex(),
            standing=verdict.status.name,
            round=verdict.round_number,
            origin=origin,
        )
        if verdict.status is VerdictStatus.cleared:
            self.crashes.forget(verdict.fingerprint)
        self._publish_verdict(verdict.fingerprint)

    def _publish_verdict(self, fingerprint: Fingerprint) -> None:
        """Propagate a verdict, or clear the request if it was answered recently."""
        answered = self.answered.get(fingerprint)
        if answered is not None and self.now() - answered < ANSWER_TTL_SECONDS:
            self._clear(fingerprint)
        self.changed.notify()

    def _clear(self, fingerprint: Fingerprint) -> None:
        if self.verdicts.clear(fingerprint):
            self.crashes.forget(fingerprint)
            logs.warning('content cleared', content=fingerprint.hex())
            self.changed.notify()
