"""Clocks.

Leases need a clock that goes on while the process is stopped or the machine
sleeps: a frozen holder must find its lease lapsed when it thaws.  The event
loop's clock stands still in a suspended machine, hence ``CLOCK_BOOTTIME``.
"""

import time
from collections.abc import Callable
from functools import partial

Clock = Callable[[], float]


def boot_seconds() -> float:
    """Return seconds since boot, counting the time asleep."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_clock() -> Clock:
    """Return the clock of ``boot_seconds``, as one call into the system."""
    return partial(time.clock_gettime, time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Return seconds since the Unix epoch; never used to judge a lease."""
    return time.time()
