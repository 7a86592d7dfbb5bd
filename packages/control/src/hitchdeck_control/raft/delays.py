"""Delays of this process itself, which are no silence of its peers."""

import asyncio

from hitchdeck_core.clock import Clock

DECAY = 0.8
"""Part of a delay that still counts at the next observation."""

TURNS_PER_EXCHANGE = 4
"""Turns of the event loop that an exchange with a peer takes at this end."""


class SchedulingDelay:
    """How late this process does what is due.

    Parameters
    ----------
    most
        Cap on one delay in seconds, so that a suspension is soon forgotten.

    Attributes
    ----------
    lag
        The longest delay of late, in seconds.
    """

    def __init__(self, now: Clock, max_delay: float) -> None:
        self.now = now
        self.max_delay = max_delay
        self.lag = 0.0

    async def sleep(self, seconds: float) -> None:
        """Sleep, and observe how late it ends."""
        due = self.now() + seconds
        await asyncio.sleep(seconds)
        late = min(self.max_delay, max(0, self.now() - due))
        self.lag = max(late, DECAY * self.lag)

    def allowance(self) -> float:
        """Return what to add to the time given to a peer, in seconds."""
        return TURNS_PER_EXCHANGE * self.lag
