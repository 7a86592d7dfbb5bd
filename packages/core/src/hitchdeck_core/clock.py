"""Clocks.

Leases need a clock that advances while the process is stopped or the machine is
suspended, so that a holder finds its lease expired when it resumes.  The default
clock of the event loop stops during a suspension, hence ``CLOCK_BOOTTIME``.
"""

import time
from collections.abc import Callable
from functools import partial

Clock = Callable[[], float]


def boot_seconds() -> float:
    """Return seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_clock() -> Clock:
    """Return ``boot_seconds`` as a callable without a Python frame of its own."""
    return partial(time.clock_gettime, time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Return seconds since the Unix epoch; not suitable for leases."""
    return time.time()
