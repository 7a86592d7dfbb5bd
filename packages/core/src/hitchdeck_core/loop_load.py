"""The processes' event loop: how busy it is, and what its timers go by.

Where a box has a share of a processor, work takes as long as the share makes it
take, so the time that the loop does not wait tells how much of the share is
used, whatever its size.
"""

import asyncio
import math
import selectors
from collections.abc import Callable
from time import monotonic

from hitchdeck_core.clock import boot_clock

SMOOTHING_SECONDS = 1.0
"""Span over which the part is smoothed: callers keep addresses for some seconds,
and a single slow request is no load."""

PERCENT = 100
"""Messages tell the part in hundredths."""

MAX_POLL_SECONDS = 0.25
"""Longest wait for an event.  A wait goes by the steady clock, and what is due by
the other one must not be half a second late after a suspension."""

LAG_SECONDS = 0.5
"""Span over which the lag is smoothed."""

MAX_COUNTED_TURN_SECONDS = 0.5
"""Cap on one turn in the lag, so that a suspension is soon forgotten."""

MIN_SPAN_SECONDS = 0.2
"""Shorter spans are not measured by themselves."""


class LoopLoad:
    """Part of the time that was not spent waiting, smoothed.

    Attributes
    ----------
    longest_turn
        Longest time since it was last taken in which the loop looked at no
        socket, in seconds: whatever came meanwhile is known so much later.
    lag
        Mean length of a turn of the loop in seconds, each weighted by its length:
        how long an event that comes at any moment waits for the turn to end.
    """

    def __init__(self, now: Callable[[], float] = monotonic) -> None:
        # The steady clock: asleep a process neither works nor waits.
        self.now = now
        self.waited = 0.0
        self.measured_at = now()
        self.smoothed_utilization = 0.0
        self.turn_started_at = now()
        self.longest_turn = 0.0
        self.lag = 0.0

    def begin_poll(self) -> float:
        """Note that the loop looks at its sockets; return when."""
        now = self.now()
        turn = now - self.turn_started_at
        self.longest_turn = max(self.longest_turn, turn)
        self._smooth_lag(min(turn, MAX_COUNTED_TURN_SECONDS), turn)
        self.turn_started_at = now
        return now

    def end_poll(self, began: float) -> None:
        """Note that the loop goes on after a wait."""
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
        """Return the part, from 0 (idle) to 1."""
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
    """Selects as any, and notes how long it waited."""

    def __init__(self, load: LoopLoad) -> None:
        super().__init__()
        self.load = load

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, and not for long: no suspension ends a wait."""
        began = self.load.begin_poll()
        wait = MAX_POLL_SECONDS
        if timeout is not None:
            wait = min(wait, timeout)
        events = super().select(wait)
        if wait > 0:
            self.load.end_poll(began)
        return events


class MeteredLoop(asyncio.SelectorEventLoop):
    """An event loop that knows how busy it is, with timers since boot."""

    def __init__(self) -> None:
        self.load = LoopLoad()
        # What timers go by: the time of a suspended machine passes too.  On the
        # steady clock a request whose time was over was held for as long again.
        # Called three times a turn, so without a Python frame of its own.
        self.time = boot_clock()  # type: ignore[method-assign]
        super().__init__(_Selector(self.load))


def loop_utilization() -> float:
    """Return how busy the running loop is, 0 if it does not know."""
    meter = _running_meter()
    return 0 if meter is None else meter.utilization()


def loop_lag() -> float:
    """Return the running loop's lag in seconds, 0 if it does not know."""
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
        # What is played in virtual time has no loop, and no load of its own.
        return None
    return loop.load if isinstance(loop, MeteredLoop) else None
