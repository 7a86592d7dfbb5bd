"""Processor time that boxes have, and what is left of it.

Boxes of one failure domain differ in processor time.  Shares of the load go by what
each has left, so that a small box is not full while a large one is idle.
"""

REFERENCE_CAPACITY = 1.0
"""Capacity of a box that states none: one reference core."""

PERCENT = 100
"""Messages carry capacity in hundredths of a reference core."""

MAX_CAPACITY = 10_000.0
"""Largest capacity that is reported, in reference cores."""


def capacity_percent(capacity: float) -> int:
    """Return a capacity as it is reported; 0 only if none is stated."""
    if capacity <= 0:
        return 0
    return max(1, round(PERCENT * min(capacity, MAX_CAPACITY)))


def headroom(capacity: float, utilization: float, limit: float = 1.0) -> float:
    """Return the processor time left up to a utilization, in reference cores.

    Parameters
    ----------
    capacity
        Processor time of the box in reference cores, 0 if it states none.
    """
    return (capacity or REFERENCE_CAPACITY) * max(0, limit - utilization)
