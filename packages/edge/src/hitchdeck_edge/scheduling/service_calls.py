"""Calls of one box to plain services, and what it reports of them to the scheduler."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.scheduling.service_health import ServiceReport

UNANSWERED_FRACTION = 0.5
"""Part of the goal after which a call without a response counts as unanswered.  Callers
notice the other half: it leaves time for another attempt within the goal."""

MIN_UNANSWERED_SECONDS = 0.05
"""Least time after which a call counts as unanswered, whatever its goal: a box that is
busy for a moment is as late."""


class CallEnd(Enum):
    """How a call to a plain service ended."""

    succeeded = 'succeeded'
    refused = 'refused'
    """The upstream responded that the call failed or did not run."""

    lost = 'lost'
    """The upstream was not reached, or its response did not arrive."""

    abandoned = 'abandoned'
    """The caller left or its time was over, which shows nothing by itself."""


@dataclass(slots=True, eq=False)
class ServiceCall:
    """One call in flight.

    Attributes
    ----------
    unanswered
        Whether it was reported to have no response in time.
    """

    upstream: UpstreamName
    sent_at: float
    unanswered: bool = False


@dataclass(slots=True)
class CallRecord:
    """Calls to one upstream since the last report.

    Attributes
    ----------
    heard_at, unanswered_at
        When the last response arrived, and when the last call without one was sent.
    changed
        Whether there is something to report.
    """

    running: int = 0
    succeeded: int = 0
    seconds: float = 0.0
    failed: int = 0
    heard_at: float = -math.inf
    unanswered_at: float = -math.inf
    changed: bool = False

    def report(self, name: UpstreamName, now: float) -> ServiceReport:
        """Return the report, and begin the next one."""
        report = ServiceReport(
            name,
            self.running,
            self.succeeded,
            self.seconds,
            self.failed,
            _age(self.heard_at, now),
            _age(self.unanswered_at, now),
        )
        self.succeeded = 0
        self.seconds = 0
        self.failed = 0
        self.heard_at = -math.inf
        self.unanswered_at = -math.inf
        self.changed = False
        return report


class ServiceCalls:
    """Calls of this box to plain services.

    Attributes
    ----------
    send_now
        Called when a report must not wait for the next frame to the scheduler.
    unanswered
        How many calls had no response in time, for the metrics.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.records: dict[UpstreamName, CallRecord] = {}
        self.send_now: Callable[[], None] = _do_nothing
        self.unanswered = 0

    def begin(self, name: UpstreamName) -> ServiceCall:
        """Record a call that is being sent."""
        record = self._record(name)
        record.running += 1
        return ServiceCall(name, self.now())

    def mark_unanswered(self, call: ServiceCall) -> None:
        """Record that a call has no response in time."""
        if call.unanswered:
            return
        call.unanswered = True
        self.unanswered += 1
        record = self._record(call.upstream)
        record.unanswered_at = max(record.unanswered_at, call.sent_at)
        self.send_now()

    def end(self, call: ServiceCall, how: CallEnd) -> None:
        """Record the end of a call."""
        record = self._record(call.upstream)
        record.running = max(0, record.running - 1)
        if how is CallEnd.succeeded:
            record.succeeded += 1
            record.seconds += self.now() - call.sent_at
        elif how is not CallEnd.abandoned or call.unanswered:
            record.failed += 1
        if how in {CallEnd.succeeded, CallEnd.refused}:
            record.heard_at = self.now()
        elif how is CallEnd.lost:
            self.mark_unanswered(call)

    def take_reports(self) -> list[ServiceReport]:
        """Return what is new since the last call of this method."""
        now = self.now()
        return [
            record.report(name, now)
            for name, record in self.records.items()
            if record.changed
        ]

    def begin_stream(self, silent_since: Mapping[UpstreamName, float]) -> None:
        """Report everything to a scheduler that knows nothing yet.

        Parameters
        ----------
        silent_since
            When upstreams became silent by the summary of the scheduler before.  The
            next one would otherwise learn of them by further lost calls.
        """
        for record in self.records.values():
            record.changed = record.changed or record.running > 0
        for name, since in silent_since.items():
            record = self._record(name)
            record.unanswered_at = max(record.unanswered_at, since)

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop all other upstreams without calls in flight."""
        for name in self.records.keys() - names:
            if not self.records[name].running:
                self.records.pop(name)

    def _record(self, name: UpstreamName) -> CallRecord:
        record = self.records.setdefault(name, CallRecord())
        record.changed = True
        return record


def unanswered_after(goal: float) -> float:
    """Return the seconds after which a call with a goal counts as unanswered."""
    return max(MIN_UNANSWERED_SECONDS, UNANSWERED_FRACTION * goal)


def second_attempt_pays(goal_left: float, expected: float | None) -> bool:
    """Tell whether to give up a call without a response and send it elsewhere.

    Load: an upstream that has gone silent, with calls that may repeat in flight there.
    Otherwise a late response earns more than a second attempt that is late as well.

    Parameters
    ----------
    goal_left
        Seconds until the response is due.
    expected
        Expected seconds of the call at the best other upstream; ``None`` if no other
        one responds.
    """
    return expected is not None and expected <= goal_left


def _age(moment: float, now: float) -> float | None:
    return None if moment == -math.inf else max(0, now - moment)


def _do_nothing() -> None:
    """Do nothing: without a scheduler there is nobody to report to."""
