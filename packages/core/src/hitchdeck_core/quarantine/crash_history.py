"""What was in flight on upstreams that crashed, and what of it is the likely cause.

A cause is the content of a request, or one part of a prompt that several requests have.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import field
from itertools import islice

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.moments import (
    CRASHES_PER_CONTENT,
    count_apart,
    weigh_crashes,
)

MIN_CRASHES = 3
"""Crashes from which a request is the likely cause.  In a series of crashes, a harmless
request that is retried can be in flight during two of them: of 60 requests interrupted
next to a lethal one, four were in flight at two crashes and none at three (logs of
eight crashes in nine seconds)."""

MIN_SIMULTANEOUS_CRASHES = 5
"""Crashes from which a part is the likely cause, even if all happened at one moment."""

MAX_CONTENTS = 32
"""Maximum number of requests that are kept for a part."""

CRASH_TTL_SECONDS = 600.0
"""Time after which a crash record expires.  It is long enough to recognize a lethal
request that arrives every one or two minutes, and short enough not to blame a
request for unrelated crashes that are four minutes apart."""

MAX_CRASH_RECORDS = 16_384
"""Maximum number of crash records, which bounds their memory to 16 MB."""

IsCleared = Callable[[Fingerprint], bool]
"""Tells whether a request or part was answered recently."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """An incarnation that crashed, and a request or part that was in flight on it.

    Attributes
    ----------
    content
        For a part, the content of the request that had it; empty for a request.
    position
        For a part, its place in the prompt, from 1; 0 for a request.
    at
        Time of the crash, on this process's clock; 0 for the time of its addition.
    """

    fingerprint: Fingerprint
    incarnation: UpstreamIncarnation
    content: Fingerprint = Fingerprint(b'')
    position: int = 0
    at: float = field(default=0.0, compare=False)


@dataclass(slots=True)
class Charges:
    """The crashes at which a request or part was in flight.

    Attributes
    ----------
    incarnations
        The crashed incarnations, each with the content of a request in flight there.
    requests
        For a part, the contents of the requests that had it.
    position
        For a part, its last known place in a prompt, from 1; 0 for a request.
    """

    fingerprint: Fingerprint
    incarnations: dict[UpstreamIncarnation, Fingerprint]
    requests: set[Fingerprint]
    position: int = 0

    def weight_of(self, crashes: int) -> int:
        """Return how many of its crashes count against it."""
        if not self.position:
            return crashes
        return min(crashes, CRASHES_PER_CONTENT * len(self.requests))

    @property
    def rank(self) -> tuple[int, int]:
        """Return a key that is higher for the likelier cause of a common crash.

        Of two parts that were in flight at as many crashes, the later one in the
        prompt is shared by fewer requests.
        """
        return (self.weight_of(len(self.incarnations)), self.position)


class CrashHistory:
    """Recent crash records, by request or part and by incarnation.

    Attributes
    ----------
    order
        Times and records, the oldest first.
    crashed_at
        Time of the crash of each incarnation.
    changes
        Number of records that were added.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.by_fingerprint: dict[Fingerprint, Charges] = {}
        self.by_incarnation: dict[UpstreamIncarnation, set[Fingerprint]] = defaultdict(
            set
        )
        self.order: deque[tuple[float, CrashRecord]] = deque()
        self.crashed_at: dict[UpstreamIncarnation, float] = {}
        self.changes = 0

    def add(self, crash: CrashRecord) -> bool:
        """Add a record; tell whether it is new."""
        self._expire()
        charges = self.by_fingerprint.get(crash.fingerprint)
        if charges is None:
            charges = Charges(crash.fingerprint, {}, set())
            self.by_fingerprint[crash.fingerprint] = charges
        if crash.content and len(charges.requests) < MAX_CONTENTS:
            charges.requests.add(crash.content)
        charges.position = max(charges.position, crash.position)
        if crash.incarnation in charges.incarnations:
            return False
        charges.incarnations[crash.incarnation] = crash.content
        self.by_incarnation[crash.incarnation].add(crash.fingerprint)
        at = crash.at or self.now()
        self.crashed_at.setdefault(crash.incarnation, at)
        self.order.append((at, crash))
        self.changes += 1
        return True

    def has(self, crash: CrashRecord) -> bool:
        """Tell whether a record is present, and not expired or removed."""
        return crash.incarnation in self.incarnations(crash.fingerprint)

    def incarnations(self, fingerprint: Fingerprint) -> set[UpstreamIncarnation]:
        """Return the crashed incarnations on which a request or part was in flight."""
        charges = self.by_fingerprint.get(fingerprint)
        return set() if charges is None else set(charges.incarnations)

    def newest(self, count: int) -> tuple[CrashRecord, ...]:
        """Return the newest records, the oldest of them first."""
        start = max(0, len(self.order) - count)
        return tuple(crash for _, crash in islice(self.order, start, None))

    def implicates(self, fingerprint: Fingerprint, is_cleared: IsCleared) -> bool:
        """Tell whether a request or part is the likely cause of enough crashes.

        A crash is attributed to what was in flight at the most crashes and was not
        answered, and not to the others that were in flight on the same incarnation.
        """
        charges = self.by_fingerprint.get(fingerprint)
        if charges is None or len(charges.incarnations) < MIN_CRASHES:
            return False
        against = {
            incarnation: content
            for incarnation, content in charges.incarnations.items()
            if not self._is_explained(incarnation, charges, is_cleared)
        }
        return len(against) >= MIN_CRASHES and self._suffices(charges, against)

    def forget(self, fingerprint: Fingerprint) -> None:
        """Remove all records of a request or part."""
        for incarnation in tuple(self.incarnations(fingerprint)):
            self._forget(CrashRecord(fingerprint, incarnation))

    def _suffices(
        self, charges: Charges, against: Mapping[UpstreamIncarnation, Fingerprint]
    ) -> bool:
        """Tell whether crashes that nothing else explains are enough evidence."""
        others = sorted(
            at
            for name, at in self.crashed_at.items()
            if name not in charges.incarnations
        )
        if not charges.position:
            times = (self.crashed_at[name] for name in against)
            return count_apart(times, others) >= MIN_CRASHES
        crashes = ((self.crashed_at[name], by) for name, by in against.items())
        evidence = weigh_crashes(crashes, others)
        weight = charges.weight_of(evidence.crashes)
        if evidence.moments >= MIN_CRASHES:
            return weight >= MIN_CRASHES
        return weight >= MIN_SIMULTANEOUS_CRASHES

    def _is_explained(
        self, incarnation: UpstreamIncarnation, charges: Charges, is_cleared: IsCleared
    ) -> bool:
        """Tell whether something else in flight is the likelier cause of a crash."""
        rank = charges.rank
        # Counts are cheaper to compare than ranks, and rule out most.
        least = rank[0]
        others = (self.by_fingerprint[one] for one in self.by_incarnation[incarnation])
        return any(
            other.rank > rank and not is_cleared(other.fingerprint)
            for other in others
            if len(other.incarnations) >= least
        )

    def _expire(self) -> None:
        horizon = self.now() - CRASH_TTL_SECONDS
        while self.order and (
            self.order[0][0] < horizon or len(self.order) >= MAX_CRASH_RECORDS
        ):
            _, crash = self.order.popleft()
            self._forget(crash)

    def _forget(self, crash: CrashRecord) -> None:
        """Remove a record, and the sets that become empty."""
        charges = self.by_fingerprint.get(crash.fingerprint)
        if charges is None or crash.incarnation not in charges.incarnations:
            return
        charges.incarnations.pop(crash.incarnation)
        if not charges.incarnations:
            self.by_fingerprint.pop(crash.fingerprint)
        in_flight = self.by_incarnation[crash.incarnation]
        in_flight.discard(crash.fingerprint)
        if not in_flight:
            self.by_incarnation.pop(crash.incarnation)
            self.crashed_at.pop(crash.incarnation, None)


def known_first(
    records: Iterable[CrashRecord], history: CrashHistory
) -> list[CrashRecord]:
    """Return records, those of what was in flight at earlier crashes first.

    The rest is ordered by position, so that one long prompt doesn't displace others.
    """
    known = history.by_fingerprint
    return sorted(records, key=lambda one: (one.fingerprint not in known, one.position))
