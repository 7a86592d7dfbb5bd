"""Contents under which upstreams end: what speaks against each, what is decided.

An upstream that ends takes what was open there along, and whatever ended it comes
again: under another id, at another box, and to another upstream if nobody knows.
Every process that sends to upstreams has a ``Quarantine``, and so has whoever hears
of all of them; each decides by what it heard, and what one has decided binds all.
"""

from collections import OrderedDict, deque
from collections.abc import Collection
from dataclasses import dataclass

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import LifeId
from hitchdeck_core.quarantine.crash_history import (
    MAX_CRASH_RECORDS,
    CrashHistory,
    CrashRecord,
)
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.verdicts import Verdict, Verdicts, VerdictStatus
from hitchdeck_core.signals import Signal

THIS_PROCESS = 'this process'
"""Origin of what a process decided by itself."""

ANSWER_TTL_SECONDS = 60.0
"""How long an answer speaks for its content.  Many callers may ask for the same, and
a wave of crashes at four upstreams meets such a content at three at once."""

MAX_ANSWERS = 8192
"""Contents answered of late: two minutes of a box with 70 requests a second."""


@dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """What one process tells another: ends that it saw, and verdicts."""

    crashes: tuple[CrashRecord, ...]
    verdicts: tuple[Verdict, ...]


@dataclass(frozen=True, slots=True)
class SyncPosition:
    """How much of a process's news another one has."""

    crashes: int = 0
    verdicts: int = 0


SYNC_START = SyncPosition()
EMPTY_UPDATE = QuarantineUpdate((), ())


class Quarantine:
    """Keeps contents away from upstreams under which enough of them ended.

    Attributes
    ----------
    changed
        Notified with each news.
    seen
        Ends that this process saw itself, the newest last; ``dropped_crashes`` counts
        those that were dropped from it.
    answered
        When each content was answered last, the oldest first.
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
        """Tell whether a content is to be kept away from upstreams."""
        return self.verdicts.is_quarantined(fingerprint)

    def record_crash(
        self, incarnation: LifeId, in_flight: Collection[Fingerprint]
    ) -> None:
        """Note that an upstream ended under what was open there."""
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
        """Note that an upstream answered a content, and lives."""
        self.answered.pop(fingerprint, None)
        self.answered[fingerprint] = self.now()
        if len(self.answered) > MAX_ANSWERS:
            self.answered.popitem(last=False)
        self._clear(fingerprint)

    def merge(self, update: QuarantineUpdate, origin: str) -> set[LifeId]:
        """Take what another process tells; return the lives whose end is news."""
        for verdict in update.verdicts:
            self._merge_verdict(verdict, origin)
        return {one.incarnation for one in self._add_crashes(update.crashes)}

    def update_since(
        self, position: SyncPosition
    ) -> tuple[QuarantineUpdate, SyncPosition]:
        """Return what another process lacks, and what it has then.

        Every frame between processes asks, and hardly ever is there anything.
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
        """Take ends, all of them before any content is judged by them."""
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
        """Speak for a content that was answered of late; pass the verdict on."""
        answered = self.answered.get(fingerprint)
        if answered is not None and self.now() - answered < ANSWER_TTL_SECONDS:
            self._clear(fingerprint)
        self.changed.notify()

    def _clear(self, fingerprint: Fingerprint) -> None:
        if self.verdicts.clear(fingerprint):
            self.crashes.forget(fingerprint)
            logs.warning('content cleared', content=fingerprint.hex())
            self.changed.notify()
