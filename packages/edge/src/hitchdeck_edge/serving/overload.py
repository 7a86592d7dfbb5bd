"""When a box has no processor time left for another request.

Requests that it takes all the same wait for each other: streams stall, answers
that are there are not passed on, and callers leave before they are looked at.  A
refusal takes a small part of what a request does, and other boxes have room.
"""

import random

CLOSE_UTILIZATION = 0.5
"""Part of its time from which a box asks callers to leave with each answer.  A
caller takes the connection that is free first, and that of a box that refuses at
once always is: one of 24 boxes got a half of all requests in a flood, and turned
away most of them."""

REJECT_UTILIZATION = 0.9
"""Part of its time that a box may work and still take every request."""


REJECT_LAG_SECONDS = 0.1
"""Lag of the event loop from which requests are rejected by chance: a request takes
several turns of the loop."""

REJECT_ALL_LAG_SECONDS = 0.3
"""Lag from which every request is rejected."""


def should_close(utilization: float) -> bool:
    """Tell whether callers are to open their next connection anywhere else."""
    return utilization > CLOSE_UTILIZATION


def is_overloaded(utilization: float, lag: float = 0) -> bool:
    """Tell whether a box may have to reject requests."""
    return utilization > REJECT_UTILIZATION or lag > REJECT_LAG_SECONDS


def should_admit(utilization: float, lag: float = 0) -> bool:
    """Tell whether a box takes another request.

    Parameters
    ----------
    busy
        Part of its time that the box works.
        From ``REJECT_UTILIZATION`` on it takes requests
        by chance, none at all without a pause, so that its load settles.
    lag
        How long an event waits for the event loop, in seconds.  What was admitted
        before may take all of the box's time for a while: its utilization says nothing
        of how much waits.
    """
    if not is_overloaded(utilization, lag):
        return True
    by_utilization = (1 - utilization) / (1 - REJECT_UTILIZATION)
    by_lag = (REJECT_ALL_LAG_SECONDS - lag) / (
        REJECT_ALL_LAG_SECONDS - REJECT_LAG_SECONDS
    )
    return random.random() < min(by_utilization, by_lag)
