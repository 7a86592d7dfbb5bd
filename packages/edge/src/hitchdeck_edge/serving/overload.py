"""Load shedding when a box runs out of processor time.

An overloaded box that admits every request makes all of them wait: streams stall,
responses are not forwarded, and callers disconnect before their request is read.  A
rejection costs a small fraction of serving a request, and other boxes have capacity.
"""

import random

CLOSE_UTILIZATION = 0.5
"""Utilization above which each response closes its connection.  Callers prefer the
connection that is free first, and that of a box that rejects at once always is: in a
flood, one of 24 boxes received half of all requests and rejected most of them."""

REJECT_UTILIZATION = 0.9
"""Utilization up to which a box admits every request."""

REJECT_LAG_SECONDS = 0.1
"""Lag of the event loop above which requests are rejected at random: a request takes
several turns of the loop."""

REJECT_ALL_LAG_SECONDS = 0.3
"""Lag of the event loop from which every request is rejected."""


def should_close(utilization: float) -> bool:
    """Tell whether callers should open their next connection to another box."""
    return utilization > CLOSE_UTILIZATION


def is_overloaded(utilization: float, lag: float = 0) -> bool:
    """Tell whether a box may have to reject requests."""
    return utilization > REJECT_UTILIZATION or lag > REJECT_LAG_SECONDS


def should_admit(utilization: float, lag: float = 0) -> bool:
    """Tell whether a box admits another request.

    Parameters
    ----------
    utilization
        Fraction of its time that the box is busy.  Above ``REJECT_UTILIZATION``
        requests are admitted with a probability that falls to 0 at full utilization, so
        that the load settles below it.
    lag
        How long an event waits for the event loop, in seconds.  Utilization does not
        show how much work is queued: requests admitted earlier may keep the box fully
        busy.
    """
    if not is_overloaded(utilization, lag):
        return True
    by_utilization = (1 - utilization) / (1 - REJECT_UTILIZATION)
    by_lag = (REJECT_ALL_LAG_SECONDS - lag) / (
        REJECT_ALL_LAG_SECONDS - REJECT_LAG_SECONDS
    )
    return random.random() < min(by_utilization, by_lag)
