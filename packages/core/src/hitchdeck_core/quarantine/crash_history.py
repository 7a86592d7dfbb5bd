"""Which contents were open at upstreams that ended, and which are to blame."""

from collections import defaultdict, deque
from dataclasses import dataclass

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import LifeId
from hitchdeck_core.quarantine.fingerprints import Fingerprint

MIN_CRASHES = 3
"""Upstreams that must have ended under a content.  A wave of crashes takes a request
that is resumed along twice: of 60 that broke off beside a lethal one, four did so at
two ends and none at three (logs of eight ends in nine seconds)."""

CRASH_TTL_SECONDS = 600.0
"""How long an end is remembered: a lethal request that comes every minute or two is
still told, one upstream lost every four minutes is not taken for its work."""

MAX_CRASH_RECORDS = 4096
"""Pairs of content and life: 64 requests open at each of 64 ends."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """An upstream's life that ended while a content was open there."""

    fingerprint: Fingerprint
    incarnation: LifeId


class CrashHistory:
    """Pairs of a content and the life of an upstream that ended under it."""

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.by_fingerprint: dict[Fingerprint, set[LifeId]] = defaultdict(set)
        self.by_incarnation: dict[LifeId, set[Fingerprint]] = defaultdict(set)
        self.order: deque[tuple[float, CrashRecord]] = deque()

    def add(self, crash: CrashRecord) -> bool:
        """Note that a life ended under a content; tell whether that is news."""
        self._expire()
        if self.has(crash):
            return False
        self.by_fingerprint[crash.fingerprint].add(crash.incarnation)
        self.by_incarnation[crash.incarnation].add(crash.fingerprint)
        self.order.append((self.now(), crash))
        return True

    def has(self, crash: CrashRecord) -> bool:
        """Tell whether this is known, and neither too old nor forgotten."""
        return crash.incarnation in self.by_fingerprint.get(crash.fingerprint, ())

    def implicates(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a content is what enough upstreams ended under.

        An end speaks against the content that was there at most ends, and not
        against those that happened to be open beside it.
        """
        incarnations = self.by_fingerprint.get(fingerprint, set())
        against = [
            incarnation
            for incarnation in incarnations
            if not self._is_explained(incarnation, len(incarnations))
        ]
        return len(against) >= MIN_CRASHES

    def forget(self, fingerprint: Fingerprint) -> None:
        """Forget what speaks against a content."""
        for incarnation in list(self.by_fingerprint.get(fingerprint, ())):
            self._forget(CrashRecord(fingerprint, incarnation))

    def _is_explained(self, incarnation: LifeId, times: int) -> bool:
        """Tell whether another content of a life was at more ends than ``times``."""
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
        """Drop a casualty, and what is empty without it."""
        incarnations = self.by_fingerprint[crash.fingerprint]
        incarnations.discard(crash.incarnation)
        if not incarnations:
            self.by_fingerprint.pop(crash.fingerprint)
        in_flight = self.by_incarnation[crash.incarnation]
        in_flight.discard(crash.fingerprint)
        if not in_flight:
            self.by_incarnation.pop(crash.incarnation)
