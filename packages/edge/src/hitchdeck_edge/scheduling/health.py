"""Failures and latency of each upstream, as this process observed them."""

from dataclasses import dataclass

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.cost_weights import FAILURE_TOKENS

FIRST_EJECTION_SECONDS = 0.5
"""Ejection after the first failure; doubled with each consecutive one."""

MAX_EJECTION_SECONDS = 4.0
"""Each incarnation of an upstream has its own record, so this only bounds how long
an upstream that was temporarily unreachable goes unused."""

MAX_DOUBLINGS = 16
"""Bounds the exponent, far beyond the longest ejection.  After about a thousand
consecutive failures the doubled time overflowed a float and raised an error."""

CRASHED_SECONDS = 5.0
"""Ejection after a crash that this box detected; hubs know of it within one
exchange of messages."""

WRONG_UPSTREAM_SECONDS = 30.0
"""Ejection after another upstream responded at its address."""

SMOOTHING = 0.2
"""Weight of the newest sample in exponential moving averages: the last five samples
make up most of the mean."""


@dataclass(slots=True)
class HealthRecord:
    """Observations of one upstream.

    Attributes
    ----------
    failures
        Consecutive failures.
    ejected_until
        End of the ejection on the local clock; 0 if there is none.
    failure_rate
        Moving average, from 0 to 1.
    slowness
        Moving average of the time to the first token, relative to the expected time.
    seconds
        Moving average of the duration of successful requests.
    confirmed
        Whether the ejection follows a crash or another upstream at the address, which
        an event of an earlier request does not disprove.
    """

    failures: int = 0
    ejected_until: float = 0.0
    failure_rate: float = 0.0
    slowness: float = 1.0
    seconds: float = 0.0
    confirmed: bool = False


class Health:
    """Health records by upstream.

    Attributes
    ----------
    ejected_names
        Upstreams whose ejection has not been found to have ended yet.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.records: dict[UpstreamName, HealthRecord] = {}
        self.ejected_names: set[UpstreamName] = set()

    def record(self, name: UpstreamName) -> HealthRecord:
        """Return the record of an upstream, created if there is none."""
        return self.records.setdefault(name, HealthRecord())

    def is_ejected(self, name: UpstreamName) -> bool:
        """Tell whether an upstream is ejected now."""
        return name in self.ejected()

    def ejected(self) -> set[UpstreamName]:
        """Return the upstreams that are ejected now."""
        now = self.now()
        for name in list(self.ejected_names):
            if self.record(name).ejected_until <= now:
                self.ejected_names.discard(name)
        return self.ejected_names

    def record_success(self, name: UpstreamName, seconds: float) -> None:
        """Record a complete response, and the seconds that it took."""
        known = self.record(name)
        known.failures = 0
        known.ejected_until = 0
        known.failure_rate *= 1 - SMOOTHING
        known.seconds += SMOOTHING * (seconds - known.seconds)

    def record_first_event(self, name: UpstreamName) -> None:
        """Record the first event of a stream: the upstream runs and can be reached.

        It ends an ejection for failures, so that an upstream which only loses some
        of its answers stays in use, at a cost by its failure rate.
        """
        known = self.records.get(name)
        if known is None:
            return
        known.failures = 0
        known.failure_rate *= 1 - SMOOTHING
        if not known.confirmed:
            known.ejected_until = 0

    def failure_rate(self, name: UpstreamName) -> float:
        """Return the recent fraction of requests that failed, from 0 to 1."""
        known = self.records.get(name)
        return 0 if known is None else known.failure_rate

    def record_error(self, name: UpstreamName) -> None:
        """Record a response with an error status."""
        known = self.record(name)
        known.failure_rate += SMOOTHING * (1 - known.failure_rate)

    def record_failure(self, name: UpstreamName, reason: str) -> None:
        """Record a failed connection or an incomplete response, and eject for it."""
        known = self.record(name)
        self.record_error(name)
        doublings = min(known.failures, MAX_DOUBLINGS)
        pause = min(
            MAX_EJECTION_SECONDS,
            FIRST_EJECTION_SECONDS * 2**doublings,
        )
        known.failures += 1
        known.confirmed = known.confirmed and known.ejected_until > self.now()
        self._eject(name, pause)
        logs.info('upstream ejected', upstream=name, seconds=pause, reason=reason)

    def record_wrong_upstream(self, name: UpstreamName) -> None:
        """Record that another upstream responded at the address of this one."""
        self.record(name).confirmed = True
        self._eject(name, WRONG_UPSTREAM_SECONDS)
        logs.info(
            'another upstream responded at its address',
            upstream=name,
            seconds=WRONG_UPSTREAM_SECONDS,
        )

    def record_crash(self, name: UpstreamName) -> None:
        """Record that an upstream refused a connection after a broken response."""
        self.record(name).confirmed = True
        self._eject(name, CRASHED_SECONDS)
        logs.info('upstream crashed', upstream=name, seconds=CRASHED_SECONDS)

    def measure_slowness(self, name: UpstreamName, ratio: float) -> None:
        """Record the ratio of actual to expected time to the first token."""
        known = self.record(name)
        known.slowness += SMOOTHING * (ratio - known.slowness)

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop the records of all other upstreams."""
        for name in self.records.keys() - names:
            self.records.pop(name)
            self.ejected_names.discard(name)

    def slowness(self, name: UpstreamName) -> float:
        """Return the recent ratio of actual to expected time to the first token."""
        known = self.records.get(name)
        return 1 if known is None else known.slowness

    def _eject(self, name: UpstreamName, seconds: float) -> None:
        self.record(name).ejected_until = self.now() + seconds
        self.ejected_names.add(name)


def weigh_health(
    costs: list[float], candidates: list[Upstream], health: Health, *, slowness: bool
) -> None:
    """Add the slowness, where it counts, and the failures of engines to their costs."""
    known = health.records.get
    for position, one in enumerate(candidates):
        record = known(one.name)
        if record is not None:
            factor = record.slowness if slowness else 1
            lost = FAILURE_TOKENS * record.failure_rate
            costs[position] = costs[position] * factor + lost
