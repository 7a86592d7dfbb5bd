"""Quarantine of single parts of prompts."""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Iterator

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.crash_history import (
    CrashHistory,
    CrashRecord,
    IsCleared,
    known_first,
)
from hitchdeck_core.quarantine.fingerprints import Fingerprint, RequestKeys
from hitchdeck_core.quarantine.trials import FIRST_TRIAL_SECONDS, Trials
from hitchdeck_core.quarantine.verdicts import Verdict, Verdicts, VerdictStatus
from hitchdeck_core.signals import Signal

PART_QUARANTINE_SECONDS = 3600.0
"""Time after which the quarantine of a part expires if no trial has ended it."""

SETTLE_SECONDS = 0.25
"""Time from a verdict on a part until it is enforced.  Requests with the part are held
back in it, while processes that know of an answer object."""

MAX_PARTS_PER_CRASH = 256
"""Maximum number of parts that a process records for one crash."""

MAX_ANSWERED_PARTS = 4096
"""Maximum number of parts that were answered once, and of those answered repeatedly."""


class AnsweredParts:
    """Time of the last complete answer to a request with each part.

    Parts that were answered repeatedly are kept apart from the others, so that parts
    that never recur don't displace them.

    Attributes
    ----------
    once, repeatedly
        Times of the last answer, the oldest first.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.once: OrderedDict[Fingerprint, float] = OrderedDict()
        self.repeatedly: OrderedDict[Fingerprint, float] = OrderedDict()

    def record(self, part: Fingerprint) -> None:
        """Record a complete answer to a request with a part."""
        recurs = part in self.once or part in self.repeatedly
        self.once.pop(part, None)
        self.repeatedly.pop(part, None)
        kept = self.repeatedly if recurs else self.once
        kept[part] = self.now()
        if len(kept) > MAX_ANSWERED_PARTS:
            kept.popitem(last=False)

    def is_recent(self, part: Fingerprint, seconds: float) -> bool:
        """Tell whether a part was answered within some seconds."""
        answered = self.repeatedly.get(part, self.once.get(part))
        return answered is not None and self.now() - answered < seconds


class PartQuarantine:
    """Decides which parts of prompts must not be sent to upstreams.

    Attributes
    ----------
    crashes
        Crashes known to this process, of contents too.
    is_cleared
        Tells whether a content or part was answered recently.
    on_cleared
        Called with the contents and parts to which a sound part's crashes may be due.
    answered
        Time of the last complete answer to a request with each part.
    proposed
        Parts that this process has blamed, while the verdict is not settled.
    """

    def __init__(
        self,
        now: Clock,
        changed: Signal,
        crashes: CrashHistory,
        is_cleared: IsCleared,
        on_cleared: Callable[[Iterable[Fingerprint]], None],
    ) -> None:
        self.now = now
        self.changed = changed
        self.crashes = crashes
        self.is_cleared = is_cleared
        self.on_cleared = on_cleared
        self.verdicts = Verdicts(now, PART_QUARANTINE_SECONDS)
        self.answered = AnsweredParts(now)
        self.trials = Trials(now)
        self.proposed: set[Fingerprint] = set()

    def quarantined(self, keys: RequestKeys) -> Iterator[Fingerprint]:
        """Yield the quarantined parts of a request for which no trial is due."""
        for part in keys.parts:
            if self.verdicts.is_quarantined(part) and not self.unsettled_seconds(part):
                if not self.trials.is_due(self.verdicts.known[part]):
                    yield part

    def unsettled_seconds(self, part: Fingerprint) -> float:
        """Return the time until the quarantine of a part is enforced; 0 if it is."""
        verdict = self.verdicts.known.get(part)
        if verdict is None or verdict.status is not VerdictStatus.quarantined:
            return 0
        if verdict.failed_trials:
            return 0
        return max(0, verdict.since + SETTLE_SECONDS - self.now())

    def begin_trial(self, keys: RequestKeys) -> None:
        """Record that a request is sent which may be the trial of a part."""
        for part in keys.parts:
            if self.verdicts.is_quarantined(part):
                logs.info('quarantined part is tried', part=part.hex())
                self.trials.begin(part)
        self.trials.keep(set(self.verdicts.known))

    def records(
        self, incarnation: UpstreamIncarnation, in_flight: Collection[RequestKeys]
    ) -> list[CrashRecord]:
        """Return the records of the parts that may have caused a crash.

        Parts that this process knows to be sound are left out.
        """
        records = {
            (part, keys.content): CrashRecord(
                part, incarnation, keys.content, position, self.now()
            )
            for keys in in_flight
            for position, part in enumerate(keys.parts, start=1)
            if not self.is_cleared(part)
        }
        if len(records) <= MAX_PARTS_PER_CRASH:
            return list(records.values())
        kept = known_first(records.values(), self.crashes)
        return kept[:MAX_PARTS_PER_CRASH]

    def record_answer(self, keys: RequestKeys) -> None:
        """Record a complete answer, which clears the parts of the request."""
        for part in keys.parts:
            self.answered.record(part)
            self._clear(part)

    def evaluate(self, part: Fingerprint) -> None:
        """Decide on a part that was in flight at a crash."""
        if self.verdicts.is_quarantined(part):
            self._renew(part)
            return
        if self.is_cleared(part):
            return
        if not self.crashes.implicates(part, self.is_cleared):
            return
        if self.verdicts.quarantine(part):
            logs.warning(
                'part quarantined',
                part=part.hex(),
                ended=sorted(self.crashes.incarnations(part)),
            )
            self.proposed.add(part)
            self.changed.notify()

    def review(self) -> None:
        """Withdraw the unsettled verdicts of this process that no longer hold."""
        for part in tuple(self.proposed):
            if not self.unsettled_seconds(part):
                self.proposed.discard(part)
            elif not self.crashes.implicates(part, self.is_cleared):
                self._withdraw(part)

    def merge(self, verdict: Verdict, origin: str) -> None:
        """Merge a verdict of another process, or object to it."""
        if not self.verdicts.merge(verdict):
            return
        part = verdict.fingerprint
        logs.info(
            'verdict taken',
            part=part.hex(),
            standing=verdict.status.name,
            round=verdict.round_number,
            origin=origin,
        )
        if verdict.status is VerdictStatus.cleared:
            self.answered.record(part)
            self._forget(part)
        elif self.is_cleared(part):
            self._clear(part)
        self.trials.keep(set(self.verdicts.known))
        self.changed.notify()

    def _renew(self, part: Fingerprint) -> None:
        """Renew the quarantine of a part after the crash of a trial."""
        since = self.verdicts.known[part].since
        if self.now() - since < FIRST_TRIAL_SECONDS:
            return
        if self.verdicts.renew(part):
            logs.warning('quarantine of part renewed', part=part.hex())
            self.changed.notify()

    def _withdraw(self, part: Fingerprint) -> None:
        self.proposed.discard(part)
        if self.verdicts.clear(part, VerdictStatus.withdrawn):
            logs.info('verdict withdrawn', part=part.hex())
            self.changed.notify()

    def _clear(self, part: Fingerprint) -> None:
        if self.verdicts.clear(part):
            logs.warning('part cleared', part=part.hex())
            self._forget(part)
            self.changed.notify()

    def _forget(self, part: Fingerprint) -> None:
        """Forget the crashes of a sound part, which something else has caused."""
        incarnations = tuple(self.crashes.incarnations(part))
        self.crashes.forget(part)
        beside = [
            self.crashes.by_incarnation.get(incarnation, set())
            for incarnation in incarnations
        ]
        self.on_cleared(set().union(*beside))
