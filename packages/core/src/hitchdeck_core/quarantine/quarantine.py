"""Quarantine of requests, and of parts of prompts, that crash upstreams.

When an upstream crashes, the requests in flight on it fail, and the one that caused the
crash is retried: with another id, at another box, and then on another upstream.  If one
part of its prompt is the cause, other requests with this part follow.
Every process that sends requests to upstreams has a ``Quarantine``, as have the hubs or
the leader that these processes report to.  Each decides by the crashes that it knows
of, and its verdicts apply at all processes.
"""

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable
from dataclasses import replace

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.crash_history import (
    MAX_CRASH_RECORDS,
    CrashHistory,
    CrashRecord,
)
from hitchdeck_core.quarantine.fingerprints import Fingerprint, RequestKeys
from hitchdeck_core.quarantine.parts import PartQuarantine
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

MAX_CRASHES_PER_UPDATE = 512
"""Maximum number of crash records in one update: 30 kB."""


@dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """Crashes that a process observed, and verdicts, as sent to another process."""

    crashes: tuple[CrashRecord, ...]
    verdicts: tuple[Verdict, ...]
    part_verdicts: tuple[Verdict, ...] = ()

    @property
    def has_verdicts(self) -> bool:
        """Tell whether there is any verdict in it."""
        return bool(self.verdicts or self.part_verdicts)

    @property
    def has_news(self) -> bool:
        """Tell whether there is anything in it."""
        return bool(self.crashes) or self.has_verdicts


@dataclass(frozen=True, slots=True)
class SyncPosition:
    """Position in the crashes and verdicts of a process up to which a peer has them."""

    crashes: int = 0
    verdicts: int = 0
    part_verdicts: int = 0


SYNC_START = SyncPosition()
MAX_STORED_CRASHES = 1024
"""Maximum number of crash records in a stored state: 60 kB."""

EMPTY_UPDATE = QuarantineUpdate((), ())


class Quarantine:
    """Decides which requests must not be sent to upstreams.

    Attributes
    ----------
    changed
        Notified of each change that peers should get.
    crashes
        Crashes known to this process.
    verdicts
        Verdicts on requests.
    parts
        Decides on parts of prompts.
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
        self.parts = PartQuarantine(
            now, changed, self.crashes, self._is_cleared, self._evaluate_all
        )

    @property
    def changes(self) -> int:
        """Return a number that grows with each change of what ``state`` returns."""
        verdicts = self.verdicts.changes + self.parts.verdicts.changes
        return verdicts + self.crashes.changes

    def state(self) -> QuarantineUpdate:
        """Return the verdicts and the newest crashes of all processes, to store them.

        Without the crashes, those before a restart would not count.
        """
        update, _ = self.update_since(SYNC_START)
        return replace(update, crashes=self.crashes.newest(MAX_STORED_CRASHES))

    def is_quarantined(self, keys: RequestKeys) -> bool:
        """Tell whether a request must not be sent to upstreams."""
        return self.cause_of_quarantine(keys) is not None

    def cause_of_quarantine(self, keys: RequestKeys) -> Fingerprint | None:
        """Return what of a request is quarantined: its content or a part, if any."""
        if self.verdicts.is_quarantined(keys.content):
            return keys.content
        if not self.parts.verdicts.known:
            return None
        return next(self.parts.quarantined(keys), None)

    def holds_back(self, keys: RequestKeys) -> bool:
        """Tell whether a request is quarantined, or held until a verdict settles."""
        return self.is_quarantined(keys) or self.unsettled_seconds(keys) > 0

    def unsettled_seconds(self, keys: RequestKeys) -> float:
        """Return for how long a request is to be held back; 0 if it is not.

        Its part may have been blamed by a process that knows of no answer to it.
        """
        if not self.parts.verdicts.known:
            return 0
        return max(map(self.parts.unsettled_seconds, keys.parts), default=0)

    async def wait_until_settled(self, keys: RequestKeys) -> None:
        """Hold a request back while the quarantine of one of its parts is unsettled."""
        left = self.unsettled_seconds(keys)
        while left > 0:
            await self.changed.wait(left)
            left = self.unsettled_seconds(keys)

    def begin_trial(self, keys: RequestKeys) -> None:
        """Record that a request is sent which may be the trial of a part."""
        if self.parts.verdicts.known:
            self.parts.begin_trial(keys)

    def record_crash(
        self, incarnation: UpstreamIncarnation, in_flight: Collection[RequestKeys]
    ) -> None:
        """Record that an incarnation crashed with some requests in flight."""
        at = self.now()
        crashes = [CrashRecord(one.content, incarnation, at=at) for one in in_flight]
        crashes += self.parts.records(incarnation, in_flight)
        logs.warning(
            'upstream ended',
            upstream=incarnation,
            contents=[one.content.hex() for one in in_flight],
            parts=[one.fingerprint.hex() for one in crashes if one.position],
        )
        self.own_crashes.extend(crashes)
        self._add_crashes(crashes)
        while len(self.own_crashes) > MAX_CRASH_RECORDS:
            self.own_crashes.popleft()
            self.dropped_crashes += 1
        self.changed.notify()

    def record_answer(self, keys: RequestKeys, *, complete: bool = True) -> None:
        """Record that an upstream responded to a request, and clear the request.

        Parameters
        ----------
        complete
            Whether it is a whole answer, which also clears the parts of the prompt: a
            status or the beginning of an answer may come before a crash.
        """
        fingerprint = keys.content
        self.answered.pop(fingerprint, None)
        self.answered[fingerprint] = self.now()
        if len(self.answered) > MAX_ANSWERS:
            self.answered.popitem(last=False)
        self._clear(fingerprint)
        if complete:
            self.parts.record_answer(keys)

    def merge(self, update: QuarantineUpdate, origin: str) -> set[UpstreamIncarnation]:
        """Merge an update; return the incarnations of crashes that were not known."""
        for verdict in update.verdicts:
            self._merge_verdict(verdict, origin)
        for part_verdict in update.part_verdicts:
            self.parts.merge(part_verdict, origin)
        return {one.incarnation for one in self._add_crashes(update.crashes)}

    def update_since(
        self, position: SyncPosition
    ) -> tuple[QuarantineUpdate, SyncPosition]:
        """Return the update that a peer lacks, and the peer's position after it.

        The check for an empty update is first, since every frame to a peer calls this
        and there are rarely any changes.
        """
        count = self.dropped_crashes + len(self.own_crashes)
        verdicts, parts = self.verdicts.changes, self.parts.verdicts.changes
        if position == SyncPosition(count, verdicts, parts):
            return EMPTY_UPDATE, position
        start = max(position.crashes, self.dropped_crashes)
        end = min(count, start + MAX_CRASHES_PER_UPDATE)
        places = range(start - self.dropped_crashes, end - self.dropped_crashes)
        fresh = (self.own_crashes[place] for place in places)
        update = QuarantineUpdate(
            tuple(one for one in fresh if self.crashes.has(one)),
            tuple(self.verdicts.changed_since(position.verdicts)),
            tuple(self.parts.verdicts.changed_since(position.part_verdicts)),
        )
        return update, SyncPosition(end, verdicts, parts)

    def _is_cleared(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request or part was answered recently."""
        if self.parts.answered.is_recent(fingerprint, ANSWER_TTL_SECONDS):
            return True
        answered = self.answered.get(fingerprint)
        return answered is not None and self.now() - answered < ANSWER_TTL_SECONDS

    def _add_crashes(self, crashes: Collection[CrashRecord]) -> list[CrashRecord]:
        """Add crash records, all of them before any request is evaluated."""
        fresh = [one for one in crashes if self.crashes.add(one)]
        self.parts.review()
        self._evaluate_all(dict.fromkeys(one.fingerprint for one in fresh))
        return fresh

    def _evaluate_all(self, fingerprints: Iterable[Fingerprint]) -> None:
        for fingerprint in fingerprints:
            self._evaluate(fingerprint)

    def _evaluate(self, fingerprint: Fingerprint) -> None:
        charges = self.crashes.by_fingerprint.get(fingerprint)
        if charges is not None and charges.position:
            self.parts.evaluate(fingerprint)
            return
        if self.verdicts.is_quarantined(fingerprint):
            return
        if self.crashes.implicates(fingerprint, self._is_cleared):
            if self.verdicts.quarantine(fingerprint):
                logs.warning(
                    'content quarantined',
                    content=fingerprint.hex(),
                    ended=sorted(self.crashes.incarnations(fingerprint)),
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
        if self._is_cleared(fingerprint):
            self._clear(fingerprint)
        self.changed.notify()

    def _clear(self, fingerprint: Fingerprint) -> None:
        if self.verdicts.clear(fingerprint):
            self.crashes.forget(fingerprint)
            logs.warning('content cleared', content=fingerprint.hex())
            self.changed.notify()
