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

MOST_VERDICTS = 1024
"""Bounds the memory (200 kB) where contents are made up to fill it; the oldest
goes first."""


class Standing(Enum):
    """What is decided on a content."""

    cleared = 0
    """A request with this content was answered, so that is not what ends upstreams."""

    quarantined = 1
    """No upstream may get a request with this content."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The standing of a content; ``since`` is when, on this process's clock.

    ``number`` counts the rounds: each time a content is cleared starts one.
    """

    content: Fingerprint
    number: int
    standing: Standing
    since: float

    @property
    def rank(self) -> tuple[int, int]:
        """Return what decides between two verdicts on a content."""
        return (self.number, self.standing.value)


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

    def holds(self, content: Fingerprint) -> bool:
        """Tell whether a content is to be kept away from upstreams."""
        verdict = self.known.get(content)
        if verdict is None or verdict.standing is not Standing.quarantined:
            return False
        return not self._is_over(verdict)

    def quarantine(self, content: Fingerprint) -> bool:
        """Keep a content away; tell whether that is news."""
        return self.merge(
            Verdict(content, self._round(content), Standing.quarantined, self.now())
        )

    def clear(self, content: Fingerprint) -> bool:
        """Let a content pass that is kept away; tell whether it was."""
        if not self.holds(content):
            return False
        number = self._round(content) + 1
        return self.merge(Verdict(content, number, Standing.cleared, self.now()))

    def merge(self, verdict: Verdict) -> bool:
        """Take a verdict if it is newer than what is known; tell whether it was."""
        if self._is_over(verdict):
            return False
        known = self.known.get(verdict.content)
        if known is not None and not self._is_over(known):
            if verdict.rank <= known.rank:
                return False
        self._store(verdict)
        return True

    def changed_since(self, number: int) -> list[Verdict]:
        """Return the verdicts that changed after a change number."""
        return [
            verdict
            for content, verdict in self.known.items()
            if self.change_numbers[content] > number and not self._is_over(verdict)
        ]

    def _round(self, content: Fingerprint) -> int:
        known = self.known.get(content)
        return 0 if known is None or self._is_over(known) else known.number

    def _is_over(self, verdict: Verdict) -> bool:
        return self.now() - verdict.since >= QUARANTINE_SECONDS

    def _store(self, verdict: Verdict) -> None:
        self.changes += 1
        self.known.pop(verdict.content, None)
        self.known[verdict.content] = verdict
        self.change_numbers[verdict.content] = self.changes
        while len(self.known) > MOST_VERDICTS:
            oldest = next(iter(self.known))
            self.known.pop(oldest)
            self.change_numbers.pop(oldest)
