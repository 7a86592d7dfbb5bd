"""Verdicts on requests and parts of prompts, merged from all processes that decide.

They converge to the same state in any order of arrival: the verdict of a later round
wins, and within a round the stricter status.
"""

from dataclasses import replace
from enum import Enum

from hitchdeck_core.clock import Clock
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.fingerprints import Fingerprint

QUARANTINE_SECONDS = 600.0
"""Duration of a quarantine.  Afterwards three more upstreams crash before the request
is quarantined again, so a lethal request causes at most one crash every 200 s."""

MAX_VERDICTS = 1024
"""Bounds memory to 200 kB, even against requests that are crafted to fill it; the
oldest verdict is dropped first."""


class VerdictStatus(Enum):
    """What is decided on a request."""

    withdrawn = -1
    """Upstreams crashed at the same moment without it, so it need not be the cause."""

    cleared = 0
    """An upstream responded to the request, so it is not the cause of crashes."""

    quarantined = 1
    """The request must not be sent to any upstream."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The status of a request, as decided by some process.

    Attributes
    ----------
    round_number
        Number of decisions that superseded earlier ones: those that cleared the
        request or part, and those that renewed its quarantine.
    since
        Time of the decision, on this process's clock.
    failed_trials
        Trials in a row that ended with a crash.
    """

    fingerprint: Fingerprint
    round_number: int
    status: VerdictStatus
    since: float
    failed_trials: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Return a key that is higher for the verdict that wins a merge."""
        return (self.round_number, self.status.value)


class Verdicts:
    """The newest verdict on each request, or on each part of a prompt.

    Attributes
    ----------
    ttl
        Time after which a verdict expires, in seconds.
    changes
        Number of the last change.
    change_numbers
        Number of the last change of each verdict.
    """

    def __init__(self, now: Clock, ttl: float = QUARANTINE_SECONDS) -> None:
        self.now = now
        self.ttl = ttl
        self.known: dict[Fingerprint, Verdict] = {}
        self.change_numbers: dict[Fingerprint, int] = {}
        self.changes = 0

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request is quarantined at present."""
        verdict = self.known.get(fingerprint)
        if verdict is None or verdict.status is not VerdictStatus.quarantined:
            return False
        return not self._is_expired(verdict)

    def quarantine(self, fingerprint: Fingerprint) -> bool:
        """Quarantine a request; tell whether that is a change."""
        return self.merge(
            Verdict(
                fingerprint,
                self._round(fingerprint),
                VerdictStatus.quarantined,
                self.now(),
            )
        )

    def renew(self, fingerprint: Fingerprint) -> bool:
        """Start a quarantine anew after a trial has failed."""
        known = self.known[fingerprint]
        return self.merge(
            replace(
                known,
                round_number=known.round_number + 1,
                since=self.now(),
                failed_trials=known.failed_trials + 1,
            )
        )

    def clear(
        self, fingerprint: Fingerprint, status: VerdictStatus = VerdictStatus.cleared
    ) -> bool:
        """End the quarantine of a request; tell whether there was one."""
        if not self.is_quarantined(fingerprint):
            return False
        number = self._round(fingerprint) + 1
        return self.merge(Verdict(fingerprint, number, status, self.now()))

    def merge(self, verdict: Verdict) -> bool:
        """Merge a verdict; tell whether it won over the known one."""
        if self._is_expired(verdict):
            return False
        known = self.known.get(verdict.fingerprint)
        if known is not None and not self._is_expired(known):
            if verdict.rank <= known.rank:
                return False
        self._store(verdict)
        return True

    def changed_since(self, number: int) -> list[Verdict]:
        """Return the verdicts that changed after a change number."""
        return [
            verdict
            for fingerprint, verdict in self.known.items()
            if self.change_numbers[fingerprint] > number
            and not self._is_expired(verdict)
        ]

    def _round(self, fingerprint: Fingerprint) -> int:
        known = self.known.get(fingerprint)
        return 0 if known is None or self._is_expired(known) else known.round_number

    def _is_expired(self, verdict: Verdict) -> bool:
        return self.now() - verdict.since >= self.ttl

    def _store(self, verdict: Verdict) -> None:
        self.changes += 1
        self.known.pop(verdict.fingerprint, None)
        self.known[verdict.fingerprint] = verdict
        self.change_numbers[verdict.fingerprint] = self.changes
        while len(self.known) > MAX_VERDICTS:
            oldest = next(iter(self.known))
            self.known.pop(oldest)
            self.change_numbers.pop(oldest)
