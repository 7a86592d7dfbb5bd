"""What a box has seen of each upstream: failures, and how slow it is."""

from dataclasses import dataclass

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName

FIRST_EJECTION_SECONDS = 0.5
"""After the first failure in a row; doubled with each further one."""

MAX_EJECTION_SECONDS = 4.0
"""Each life of an upstream has a record of its own, so this only bounds how long
one that was merely out of reach goes unused."""

MAX_DOUBLINGS = 16
"""Far more than reach the longest ejection: after a thousand failures in a row
the doubled pause no longer was a number, and the request ended in an error."""

CRASHED_SECONDS = 5.0
"""After a crash that this box found; hubs know of it within one exchange."""

WRONG_UPSTREAM_SECONDS = 30.0
"""After another upstream answered at its address."""

SMOOTHING = 0.2
"""Weight of the newest measurement: five of them make most of the mean."""


@dataclass(slots=True)
class HealthRecord:
    """What was seen of one upstream."""

    failures: int = 0
    ejected_until: float = 0.0
    failure_rate: float = 0.0
    slowness: float = 1.0
    seconds: float = 0.0


class Health:
    """Records by upstream."""

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.records: dict[UpstreamName, HealthRecord] = {}
        self.ejected_names: set[UpstreamName] = set()

    def record(self, name: UpstreamName) -> HealthRecord:
        """Return the record of an upstream."""
        return self.records.setdefault(name, HealthRecord())

    def is_ejected(self, name: UpstreamName) -> bool:
        """Tell whether an upstream is to be passed over for now."""
        return name in self.ejected()

    def ejected(self) -> set[UpstreamName]:
        """Return the upstreams that are to be passed over for now."""
        now = self.now()
        for name in list(self.ejected_names):
            if self.record(name).ejected_until <= now:
                self.ejected_names.discard(name)
        return self.ejected_names

    def record_success(self, name: UpstreamName, seconds: float) -> None:
        """Note a whole answer, and how long it took."""
        known = self.record(name)
        known.failures = 0
        known.ejected_until = 0
        known.failure_rate *= 1 - SMOOTHING
        known.seconds += SMOOTHING * (seconds - known.seconds)

    def record_error(self, name: UpstreamName) -> None:
        """Note an answer that says the upstream failed."""
        known = self.record(name)
        known.failure_rate += SMOOTHING * (1 - known.failure_rate)

    def record_failure(self, name: UpstreamName, reason: str) -> None:
        """Note that an upstream was not reached or gave no whole answer."""
        known = self.record(name)
        self.record_error(name)
        doublings = min(known.failures, MAX_DOUBLINGS)
        pause = min(
            MAX_EJECTION_SECONDS,
            FIRST_EJECTION_SECONDS * 2**doublings,
        )
        known.failures += 1
        self._eject(name, pause)
        logs.info('upstream ejected', upstream=name, seconds=pause, reason=reason)

    def record_wrong_upstream(self, name: UpstreamName) -> None:
        """Note that another upstream answered in its place."""
        self._eject(name, WRONG_UPSTREAM_SECONDS)
        logs.info('upstream misplaced', upstream=name, seconds=WRONG_UPSTREAM_SECONDS)

    def record_crash(self, name: UpstreamName) -> None:
        """Note that an upstream refused a connection after a broken response."""
        self._eject(name, CRASHED_SECONDS)
        logs.info('upstream crashed', upstream=name, seconds=CRASHED_SECONDS)

    def measure_slowness(self, name: UpstreamName, ratio: float) -> None:
        """Note how long a first token took against what was expected."""
        known = self.record(name)
        known.slowness += SMOOTHING * (ratio - known.slowness)

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop the records of all other upstreams."""
        for name in self.records.keys() - names:
            self.records.pop(name)
            self.ejected_names.discard(name)

    def slowness(self, name: UpstreamName) -> float:
        """Return how much slower than expected an upstream was of late."""
        known = self.records.get(name)
        return 1 if known is None else known.slowness

    def _eject(self, name: UpstreamName, seconds: float) -> None:
        self.record(name).ejected_until = self.now() + seconds
        self.ejected_names.add(name)
