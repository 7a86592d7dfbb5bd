"""Requests in flight on upstreams that crashed, and which of them are the likely cause.

Requests are identified by the fingerprint of their content.
"""

from collections import defaultdict, deque

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.fingerprints import Fingerprint

MIN_CRASHES = 3
"""Crashes from which a request is the likely cause.  In a series of crashes, a harmless
request that is retried can be in flight during two of them: of 60 requests interrupted
next to a lethal one, four were in flight at two crashes and none at three (logs of
eight crashes in nine seconds)."""

CRASH_TTL_SECONDS = 600.0
"""Time after which a crash record expires.  It is long enough to recognize a lethal
request that arrives every one or two minutes, and short enough not to blame a
request for unrelated crashes that are four minutes apart."""

MAX_CRASH_RECORDS = 4096
"""Most crash records: 64 requests in flight at each of 64 crashes."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """An incarnation that crashed, and a request that was in flight on it."""

    fingerprint: Fingerprint
    incarnation: UpstreamIncarnation


class CrashHistory:
    """Recent crash records, by request and by incarnation.

    Attributes
    ----------
    order
        Times and records, the oldest first.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.by_fingerprint: dict[Fingerprint, set[UpstreamIncarnation]] = defaultdict(
            set
        )
        self.by_incarnation: dict[UpstreamIncarnation, set[Fingerprint]] = defaultdict(
            set
        )
        self.order: deque[tuple[float, CrashRecord]] = deque()

    def add(self, crash: CrashRecord) -> bool:
        """Add a record; tell whether it is new."""
        self._expire()
        if self.has(crash):
            return False
        self.by_fingerprint[crash.fingerprint].add(crash.incarnation)
        self.by_incarnation[crash.incarnation].add(crash.fingerprint)
        self.order.append((self.now(), crash))
        return True

    def has(self, crash: CrashRecord) -> bool:
        """Tell whether a record is present, and not expired or removed."""
        return crash.incarnation in self.by_fingerprint.get(crash.fingerprint, ())

    def implicates(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request is the likely cause of enough crashes.

        A crash is attributed to the request that was in flight at the most crashes,
        and not to the others that were in flight on the same incarnation.
        """
        incarnations = self.by_fingerprint.get(fingerprint, set())
        against = [
            incarnation
            for incarnation in incarnations
            if not self._is_explained(incarnation, len(incarnations))
        ]
        return len(against) >= MIN_CRASHES

    def forget(self, fingerprint: Fingerprint) -> None:
        """Remove all records of a request."""
        for incarnation in list(self.by_fingerprint.get(fingerprint, ())):
            self._forget(CrashRecord(fingerprint, incarnation))

    def _is_explained(self, incarnation: UpstreamIncarnation, times: int) -> bool:
        """Tell whether another request in flight was at more than ``times`` crashes."""
        return any(
            len(self.by_fingerprint[one]) > times
            for one in self.by_incarnation[incarnation]
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
        incarnations = self.by_fingerprint[crash.fingerprint]
        incarnations.discard(crash.incarnation)
        if not incarnations:
            self.by_fingerprint.pop(crash.fingerprint)
        in_flight = self.by_incarnation[crash.incarnation]
        in_flight.discard(crash.fingerprint)
        if not in_flight:
            self.by_incarnation.pop(crash.incarnation)
