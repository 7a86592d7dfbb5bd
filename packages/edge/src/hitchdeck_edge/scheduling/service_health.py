"""Health of plain services as the whole fleet observes it, at the scheduler.

Load: many boxes that each make about one call a second to a few upstreams.  By its own
calls alone, each box would learn of a silent, failing or slow upstream only by losing
or delaying calls there.  Boxes report what changed since their last report, and each
box is notified of what changed enough to matter to its choice.
"""

import math
from dataclasses import dataclass, field

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName

MIN_SILENT_BOXES = 2
"""Boxes without a response that make an upstream silent.  One alone may have lost its
own connection."""

MAX_UNANSWERED_SECONDS = 30.0
"""Age at which a call without a response no longer counts, so that an upstream which
nobody tries again is not avoided for ever."""

HALF_LIFE_SECONDS = 1.0
"""Half-life of samples.  At 25 calls a second the mean covers some 36 calls; an
upstream that is not used is forgotten, and so tried again, within 6 s."""

RUNNING_STEP = 2
"""Change of the calls in flight of which boxes are notified.  One call more or less is
a sixth of the places of an upstream and changes with every call."""

SECONDS_STEP = 0.25
"""Relative change of the mean duration of which boxes are notified."""

MIN_SECONDS_STEP = 0.005
"""Least change of the mean duration of which boxes are notified: a round trip between
failure domains takes as long."""

FAILURE_RATE_STEP = 0.1
"""Change of the failure rate of which boxes are notified."""

REFRESH_SECONDS = 0.05
"""Age up to which means of an upstream are used again.  The scheduler answers hundreds
of queries a second, and means cover a second."""


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """What one box observed of an upstream since its last report.

    Attributes
    ----------
    running
        Calls of the box in flight there, now.
    succeeded, seconds
        Calls that succeeded, and the sum of their durations.
    failed
        Calls that failed, with or without a response.
    heard_ago
        Seconds since the last response; ``None`` if none arrived since the last
        report.
    unanswered_ago
        Seconds since the last call was sent that got no response in time; ``None`` if
        there was none since the last report.
    """

    upstream: UpstreamName
    running: int
    succeeded: int = 0
    seconds: float = 0.0
    failed: int = 0
    heard_ago: float | None = None
    unanswered_ago: float | None = None


@dataclass(frozen=True, slots=True)
class ServiceState:
    """What a box knows of an upstream from the scheduler.

    Attributes
    ----------
    running
        Calls of the other boxes in flight there.
    seconds
        Mean duration of recent calls; 0 if there were none.
    failure_rate
        Recent fraction of calls that failed, from 0 to 1.
    silent
        Whether several boxes got no response, and no box got one since.
    """

    upstream: UpstreamName
    running: int = 0
    seconds: float = 0.0
    failure_rate: float = 0.0
    silent: bool = False


_NOTHING_KNOWN = ServiceState(UpstreamName(''))


@dataclass(slots=True)
class RecentCalls:
    """Numbers of recent calls, which decay with ``HALF_LIFE_SECONDS``."""

    succeeded: float = 0.0
    seconds: float = 0.0
    failed: float = 0.0
    decayed_at: float = 0.0
    last_mean: float = 0.0

    def add(self, report: ServiceReport, now: float) -> None:
        """Add the calls of a report."""
        self._decay(now)
        self.succeeded += report.succeeded
        self.seconds += report.seconds
        self.failed += report.failed

    def mean_seconds(self, now: float) -> float:
        """Return the mean duration, which goes to 0 once there are no samples left.

        While calls fail, it is the last mean of those that succeeded: an upstream that
        fails fast must not look fast.
        """
        self._decay(now)
        if self.succeeded >= 1:
            self.last_mean = self.seconds / self.succeeded
        return self.last_mean * min(1, self.succeeded + self.failed)

    def failure_rate(self, now: float) -> float:
        """Return the fraction that failed, which goes to 0 in the same way."""
        self._decay(now)
        return self.failed / max(1, self.succeeded + self.failed)

    def _decay(self, now: float) -> None:
        elapsed = now - self.decayed_at
        if elapsed <= 0:
            return
        factor = math.exp2(-elapsed / HALF_LIFE_SECONDS)
        self.succeeded *= factor
        self.seconds *= factor
        self.failed *= factor
        self.decayed_at = now


@dataclass(slots=True)
class ServiceRecord:
    """What the boxes reported of one upstream.

    Attributes
    ----------
    running, total
        Calls in flight, by box and altogether.
    unanswered
        When the last call without a response was sent, by box.
    heard_at
        When the last response arrived at any box.
    seconds, failure_rate
        Means of recent calls, as of ``refreshed_at``.
    """

    running: dict[str, int] = field(default_factory=dict)
    total: int = 0
    unanswered: dict[str, float] = field(default_factory=dict)
    heard_at: float = -math.inf
    recent: RecentCalls = field(default_factory=RecentCalls)
    seconds: float = 0.0
    failure_rate: float = 0.0
    refreshed_at: float = -math.inf

    def apply(self, box: str, report: ServiceReport, now: float) -> None:
        """Apply the report of a box."""
        self.total += report.running - self.running.pop(box, 0)
        if report.running:
            self.running[box] = report.running
        self.recent.add(report, now)
        if report.heard_ago is not None:
            self.heard_at = max(self.heard_at, now - report.heard_ago)
        if report.unanswered_ago is not None:
            self.unanswered[box] = now - report.unanswered_ago
        self.drop_outdated(now)

    def drop_box(self, box: str) -> None:
        """Drop what a box reported that holds only while it is connected."""
        self.total -= self.running.pop(box, 0)
        self.unanswered.pop(box, None)

    def is_silent(self) -> bool:
        """Tell whether enough boxes got no response, and none got one since."""
        return len(self.unanswered) >= MIN_SILENT_BOXES

    def refresh(self, now: float) -> None:
        """Update the means if they are too old."""
        if now - self.refreshed_at >= REFRESH_SECONDS:
            self.refreshed_at = now
            self.seconds = self.recent.mean_seconds(now)
            self.failure_rate = self.recent.failure_rate(now)

    def drop_outdated(self, now: float) -> None:
        """Drop calls without a response that were sent long ago or before the last."""
        oldest = max(self.heard_at, now - MAX_UNANSWERED_SECONDS)
        outdated = [box for box, sent in self.unanswered.items() if sent <= oldest]
        for box in outdated:
            self.unanswered.pop(box)


class ServiceTable:
    """What all boxes reported of the upstreams of plain services.

    Soft state: it is empty after a start, and each box reports what it has in flight
    when its stream begins.  It is bounded by the upstreams and the connected boxes.

    Attributes
    ----------
    told
        What each box was last told, by box and upstream.
    silent
        Upstreams that are silent.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.records: dict[UpstreamName, ServiceRecord] = {}
        self.told: dict[str, dict[UpstreamName, ServiceState]] = {}
        self.silent: set[UpstreamName] = set()

    def apply(self, box: str, report: ServiceReport) -> bool:
        """Apply a report; return whether its upstream has become silent."""
        record = self.records.setdefault(report.upstream, ServiceRecord())
        record.apply(box, report, self.now())
        return self._update_silence(report.upstream, record)

    def changes_for(self, box: str) -> list[ServiceState]:
        """Return the states that changed enough since this box was last told."""
        told = self.told.setdefault(box, {})
        changed: list[ServiceState] = []
        now = self.now()
        for name, record in self.records.items():
            record.refresh(now)
            before = told.get(name, _NOTHING_KNOWN)
            running = record.total - record.running.get(box, 0)
            silent = name in self.silent
            if silent != before.silent or _matters(before, record, running):
                state = ServiceState(
                    name, running, record.seconds, record.failure_rate, silent
                )
                told[name] = state
                changed.append(state)
        return changed

    def drop_box(self, box: str) -> None:
        """Drop what a box reported, as its stream has ended."""
        self.told.pop(box, None)
        for name, record in self.records.items():
            record.drop_box(box)
            self._update_silence(name, record)

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop all other upstreams, and calls without a response long ago."""
        for name in self.records.keys() - names:
            self.records.pop(name)
            self.silent.discard(name)
            for told in self.told.values():
                told.pop(name, None)
        for name, record in self.records.items():
            record.drop_outdated(self.now())
            self._update_silence(name, record)

    def _update_silence(self, name: UpstreamName, record: ServiceRecord) -> bool:
        silent = record.is_silent()
        if silent == (name in self.silent):
            return False
        if not silent:
            self.silent.discard(name)
            logs.info('service responds again', upstream=name)
            return False
        self.silent.add(name)
        logs.warning(
            'service silent',
            upstream=name,
            boxes=sorted(record.unanswered),
            unheard=round(self.now() - record.heard_at, 3),
            in_flight=record.total,
        )
        return True


def _matters(before: ServiceState, record: ServiceRecord, running: int) -> bool:
    """Tell whether the difference to what a box was told may change its choice."""
    if abs(running - before.running) >= RUNNING_STEP:
        return True
    if abs(record.failure_rate - before.failure_rate) >= FAILURE_RATE_STEP:
        return True
    step = max(MIN_SECONDS_STEP, SECONDS_STEP * before.seconds)
    return abs(record.seconds - before.seconds) >= step
