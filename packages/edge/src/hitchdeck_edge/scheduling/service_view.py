"""What a box knows of plain services by the scheduler's summary, and its choice by it.

Boxes hear of each other's calls some tenths of a second late, so that all of them would
choose the same upstream meanwhile.  Each therefore compares the near upstreams with one
other that it draws at random.
"""

import math
import random
from collections.abc import Callable, Iterable, Sequence

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.service_health import ServiceState

MAX_AGE_SECONDS = 3.0
"""Age of the scheduler's last message from which its summary is not used.  A scheduler
that stopped is replaced within that time."""

TRIALS_PER_SECOND = 2.0
"""Calls of the whole fleet that try a silent upstream again, of those that may repeat:
they get a second attempt in time."""

RISKY_TRIALS_PER_SECOND = 0.1
"""The same for calls that must not repeat, which are lost if it is still silent.  They
are needed only where no other calls use the upstream."""

RISKY_TRIALS_AFTER_SECONDS = 5.0
"""How long an upstream must be silent for the box before such calls try it.  Within
that time, several of the calls that may repeat have tried it if there are any."""


def _whole_fleet() -> float:
    return 1


def expected_seconds(seconds: float, running: int, places: int) -> float:
    """Return the expected time of a call at an upstream, for comparison with others.

    Every call in flight counts, not only those that wait for a place: numbers are some
    tenths of a second old, and an upstream that is nearly full may be full by now.

    Parameters
    ----------
    seconds
        Mean duration of calls there.
    running
        Calls of the fleet in flight there.
    places
        Number of calls that it runs at once.
    """
    return seconds * (1 + running / max(1, places))


class ServiceView:
    """The scheduler's last summary.

    Attributes
    ----------
    updated_at
        When the scheduler was last heard from.
    connected
        Whether the stream to the scheduler is open.  A scheduler that stopped is
        noticed, and the stream then ends.
    fleet_fraction
        Returns this box's fraction of the fleet, from 0 to 1.
    changed
        Notified when there may be places again.
    silent_since
        When this box learned that an upstream is silent.
    considered_at
        When a call last could have tried a silent upstream, by upstream and whether
        the call may repeat.
    trials
        How many calls tried a silent upstream, for the metrics.
    avoided
        How many calls avoided one.
    """

    def __init__(
        self,
        now: Clock,
        fraction: Callable[[], float] = _whole_fleet,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        self.now = now
        self.mechanisms = mechanisms
        self.fleet_fraction = fraction
        self.draw = random.random
        self.changed = Signal()
        self.states: dict[UpstreamName, ServiceState] = {}
        self.updated_at = -math.inf
        self.connected = False
        self.silent_since: dict[UpstreamName, float] = {}
        self.considered_at: dict[tuple[UpstreamName, bool], float] = {}
        self.trials = 0
        self.avoided = 0

    def update(self, states: Iterable[ServiceState]) -> None:
        """Apply what the scheduler sent; without states, all are as before."""
        self.updated_at = self.now()
        self.changed.notify()
        for state in states:
            self.states[state.upstream] = state
            if state.silent:
                self.silent_since.setdefault(state.upstream, self.now())
            else:
                self._forget_silence(state.upstream)

    def clear(self) -> None:
        """Drop the summary, as the stream to the scheduler has ended."""
        self.states.clear()
        self.silent_since.clear()
        self.considered_at.clear()
        self.updated_at = -math.inf

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop all other upstreams."""
        for name in self.states.keys() - names:
            self.states.pop(name)
            self._forget_silence(name)

    def state(self, name: UpstreamName) -> ServiceState | None:
        """Return the state of an upstream if the summary has it and is used."""
        return self.states.get(name) if self._is_used() else None

    def is_silent(self, name: UpstreamName) -> bool:
        """Tell whether an upstream is silent for the fleet."""
        return name in self.silent_since and self._knows_silence()

    def longest_seconds(self) -> float:
        """Return the longest mean duration of any upstream."""
        return max((one.seconds for one in self.states.values()), default=0)

    def note_response(self, name: UpstreamName) -> None:
        """Use a silent upstream again that has responded to this box."""
        self._forget_silence(name)

    def usable(
        self, upstreams: Sequence[Upstream], query: PlacementQuery
    ) -> Sequence[Upstream]:
        """Return the upstreams for a call: those that respond, or one to try again.

        If all are silent, all are returned.
        """
        if not self.silent_since or not self._knows_silence():
            return upstreams
        responding = [one for one in upstreams if one.name not in self.silent_since]
        if not responding or len(responding) == len(upstreams):
            return upstreams
        silent = [one for one in upstreams if one.name in self.silent_since]
        tried = next((one for one in silent if self._tries(one.name, query)), None)
        if tried is None:
            self.avoided += 1
        else:
            self.trials += 1
        logs.info(
            'silent service avoided' if tried is None else 'silent service tried',
            request=query.request,
            upstreams=[one.name for one in silent],
            repeatable=query.repeatable,
            summary_age=round(self.now() - self.updated_at, 3),
        )
        return responding if tried is None else [tried]

    def compared(
        self, upstreams: Sequence[Upstream], query: PlacementQuery
    ) -> Sequence[Upstream]:
        """Return the usable upstreams that are near, and one other or two if none is.

        Without a recent summary of any, all are compared by what this box knows.
        """
        usable = self.usable(upstreams, query)
        if not any(self.state(one.name) for one in usable):
            return usable
        domain = query.domain if self.mechanisms.near_first else ''
        near = [one for one in usable if one.domain == domain]
        others = [one for one in usable if one.domain != domain]
        drawn = min(len(others), 1 if near else 2)
        return near + random.sample(others, drawn)

    def _tries(self, name: UpstreamName, query: PlacementQuery) -> bool:
        """Tell whether a call tries a silent upstream.

        The longer there was no call that could, the likelier the next one does, so
        that the fleet's trials have the given rate however many boxes and calls
        there are.
        """
        if query.tried:
            return False
        now = self.now()
        since = self.silent_since[name]
        rate = TRIALS_PER_SECOND
        if not query.repeatable:
            since += RISKY_TRIALS_AFTER_SECONDS
            rate = RISKY_TRIALS_PER_SECOND
        if now < since:
            return False
        key = (name, query.repeatable)
        elapsed = now - max(since, self.considered_at.get(key, since))
        self.considered_at[key] = now
        expected = rate * self.fleet_fraction() * elapsed
        return self.draw() < -math.expm1(-expected)

    def _knows_silence(self) -> bool:
        """Tell whether it is known which upstreams are silent.

        The scheduler tells at once of these, so that a box which it sends nothing for
        long knows all, while its numbers are old.
        """
        if not self.mechanisms.service_health:
            return False
        return self.connected or self._is_used()

    def _is_used(self) -> bool:
        recent = self.now() - self.updated_at <= MAX_AGE_SECONDS
        return recent and self.mechanisms.service_health

    def _forget_silence(self, name: UpstreamName) -> None:
        self.silent_since.pop(name, None)
        self.considered_at.pop((name, True), None)
        self.considered_at.pop((name, False), None)
