"""An event loop that measures its utilization and has suspension-proof timers.

A box may be limited to a fraction of a processor, which stretches the time that
work takes.  The fraction of time in which the loop doesn't wait for events
therefore shows how much of that limit is used, whatever the limit is.
"""

import asyncio
import math
import selectors
from collections.abc import Callable
from time import monotonic

from hitchdeck_core.clock import boot_clock

SMOOTHING_SECONDS = 1.0
"""Time constant of the utilization average: callers cache addresses for some
seconds, and a single slow request must not count as load."""

PERCENT = 100
"""Messages carry utilization in hundredths."""

MAX_POLL_SECONDS = 0.25
"""Limit of one wait for events.  The wait is timed by the monotonic clock and timers
by the boot clock, so a timer that becomes due during a suspension may fire late by
up to this limit.  Half a second would be too late."""

LAG_SECONDS = 0.5
"""Time constant of the lag average."""

MAX_COUNTED_TURN_SECONDS = 0.5
"""Limit of one turn in the lag, so that a suspension has little lasting effect."""

MIN_SPAN_SECONDS = 0.2
"""Minimum span of one utilization measurement."""


class LoopLoad:
    """Utilization and lag of an event loop.

    A turn is the time between two polls of the sockets, in which callbacks run.

    Attributes
    ----------
    longest_turn
        Longest turn since ``take_longest_turn`` was last called, in seconds.  Events
        that arrive during a turn are noticed only at its end.
    lag
        Mean turn in seconds, weighted by length: the expected time for which an
        event that arrives at a random moment waits for the turn to end.
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        # The monotonic clock: a suspension counts neither as work nor as waiting.
        self.now = now
        self.waited = 0.0
        self.measured_at = now()
        self.smoothed_utilization = 0.0
        self.turn_started_at = now()
        self.longest_turn = 0.0
        self.lag = 0.0

    def begin_poll(self) -> float:
        """Record the start of a poll and return its time."""
        now = self.now()
        turn = now - self.turn_started_at
        self.longest_turn = max(self.longest_turn, turn)
        self._smooth_lag(min(turn, MAX_COUNTED_TURN_SECONDS), turn)
        self.turn_started_at = now
        return now

    def end_poll(self, began: float) -> None:
        """Record the end of a poll that waited."""
        self.turn_started_at = self.now()
        waited = self.turn_started_at - began
        self.waited += waited
        self._smooth_lag(0, waited)

    def take_longest_turn(self) -> float:
        """Return the longest turn since the last call, in seconds."""
        longest = self.longest_turn
        self.longest_turn = 0
        return longest

    def utilization(self) -> float:
        """Return the smoothed utilization, from 0 (idle) to 1."""
        span = self.now() - self.measured_at
        if span < MIN_SPAN_SECONDS:
            return self.smoothed_utilization
        busy = min(1, max(0, 1 - self.waited / span))
        weight = 1 - math.exp(-span / SMOOTHING_SECONDS)
        self.smoothed_utilization += weight * (busy - self.smoothed_utilization)
        self.measured_at += span
        self.waited = 0
        return self.smoothed_utilization

    def _smooth_lag(self, turn: float, span: float) -> None:
        weight = 1 - math.exp(-span / LAG_SECONDS)
        self.lag += weight * (turn - self.lag)


class _Selector(selectors.DefaultSelector):
    """Default selector that reports how long it waited."""

    def __init__(self, load: LoopLoad) -> None:
        super().__init__()
        self.load = load

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, up to a limit, since a suspension doesn't end a wait."""
        began = self.load.begin_poll()
        wait = MAX_POLL_SECONDS
        if timeout is not None:
            wait = min(wait, timeout)
        events = super().select(wait)
        if wait > 0:
            self.load.end_poll(began)
        return events


class MeteredLoop(asyncio.SelectorEventLoop):
    """An event loop that measures its load and times its timers by the boot clock."""

    def __init__(self) -> None:
        self.load = LoopLoad()
        # Timers use the boot clock, which includes suspensions.  With the monotonic
        # clock, a request whose deadline had passed was held for as long again.
        # It is called three times a turn, so it has no Python frame of its own.
        self.time = boot_clock()  # type: ignore[method-assign]
        super().__init__(_Selector(self.load))


def loop_utilization() -> float:
    """Return the running loop's utilization, 0 if it is not metered."""
    meter = _running_meter()
    return 0 if meter is None else meter.utilization()


def loop_lag() -> float:
    """Return the running loop's lag in seconds, 0 if it is not metered."""
    meter = _running_meter()
    return 0 if meter is None else meter.lag


def take_longest_turn() -> float:
    """Return the running loop's longest turn since the last call, in seconds."""
    meter = _running_meter()
    return 0 if meter is None else meter.take_longest_turn()


def _running_meter() -> LoopLoad | None:
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        # Simulations in virtual time run without a loop and have no load.
        return None
    return loop.load if isinstance(loop, MeteredLoop) else None
