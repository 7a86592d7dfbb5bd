"""What was decided on contents, merged from every process that decides.

Any order of arrival over any path ends in the same state: the later round of a
content wins, and within a round the stricter standing.
"""

from dataclasses import dataclass
from enum import Enum

from hitchdeck_core.clock import Clock
from hitchdeck_core.quarantine.fingerprints import Fingerprint

QUARANTINE_SECONDS = 600.0
"""How long a content is kept away.  After it three more upstreams end before it is
kept away again: at most one every 200 s."""

MAX_VERDICTS = 1024
"""Bounds the memory (200 kB) where contents are made up to fill it; the oldest
goes first."""


class VerdictStatus(Enum):
    """What is decided on a content."""

    cleared = 0
    """A request with this content was answered, so that is not what ends upstreams."""

    quarantined = 1
    """No upstream may get a request with this content."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The standing of a content; ``since`` is when, on this process's clock.

    ``round_number`` counts the rounds: each time a content is cleared starts one.
    """

    fingerprint: Fingerprint
    round_number: int
    status: VerdictStatus
    since: float

    @property
    def rank(self) -> tuple[int, int]:
        """Return what decides between two verdicts on a content."""
        return (self.round_number, self.status.value)


class Verdicts:
    """The newest verdict on each content.

    Attributes
    ----------
    changes
        Number of the last change; ``change_numbers`` tells each verdict's.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.known: dict[Fingerprint, Verdict] = {}
        self.change_numbers: dict[Fingerprint, int] = {}
        self.changes = 0

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a content is to be kept away from upstreams."""
        verdict = self.known.get(fingerprint)
        if verdict is None or verdict.status is not VerdictStatus.quarantined:
            return False
        return not self._is_expired(verdict)

    def quarantine(self, fingerprint: Fingerprint) -> bool:
        """Keep a content away; tell whether that is news."""
        return self.merge(
            Verdict(
                fingerprint,
                self._round(fingerprint),
                VerdictStatus.quarantined,
                self.now(),
            )
        )

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Let a content pass that is kept away; tell whether it was."""
        if not self.is_quarantined(fingerprint):
            return False
        number = self._round(fingerprint) + 1
        return self.merge(
            Verdict(fingerprint, number, VerdictStatus.cleared, self.now())
        )

    def merge(self, verdict: Verdict) -> bool:
        """Take a verdict if it is newer than what is known; tell whether it was."""
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
        return self.now() - verdict.since >= QUARANTINE_SECONDS

    def _store(self, verdict: Verdict) -> None:
        self.changes += 1
        self.known.pop(verdict.fingerprint, None)
        self.known[verdict.fingerprint] = verdict
        self.change_numbers[verdict.fingerprint] = self.changes
        while len(self.known) > MAX_VERDICTS:
            oldest = next(iter(self.known))
            self.known.pop(oldest)
            self.change_numbers.pop(oldest)
