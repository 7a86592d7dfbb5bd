"""Moments at which the periodic work of a process is due.

Load: some 90 processes that mostly wait.  Waking up costs an idle process more than the
work that it then does, so tasks with timers of their own are due at the same moments.
"""

import random

from hitchdeck_core.clock import boot_seconds

MIN_WAIT_SECONDS = 0.05
"""Minimum time between two ticks of a task: timers may fire a little early."""

PROCESS_PHASE = random.random()
"""Phase of the ticks of this process, in seconds: processes that ticked together would
burden each other, and boxes their hubs."""


def until_next_tick(now: float, phase: float, interval: float) -> float:
    """Return the seconds until a task is due.

    Tasks are due at multiples of their intervals after the same phase, so that one turn
    of the event loop runs them: with a timer for each hub, a box took three times as
    many turns to send its frames and to receive the answers.
    """
    wait = interval - (now - phase) % interval
    return wait if wait > min(MIN_WAIT_SECONDS, interval / 2) else wait + interval


def until_tick(interval: float) -> float:
    """Return the seconds until a task with this interval is due in this process."""
    return until_next_tick(boot_seconds(), PROCESS_PHASE, interval)
