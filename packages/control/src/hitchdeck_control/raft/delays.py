"""Delays of this process's own event loop, which must not count against peers."""

import asyncio

from hitchdeck_core.clock import Clock

DECAY = 0.8
"""Factor by which the recorded delay decreases at each observation."""

TURNS_PER_EXCHANGE = 4
"""Turns of the local event loop that a call to a peer takes."""


class SchedulingDelay:
    """Measures how late the event loop runs timers.

    Parameters
    ----------
    max_delay
        Limit of one delay in seconds, so that a suspension has no lasting effect.

    Attributes
    ----------
    lag
        The longest recent delay in seconds, which decays over time.
    """

    def __init__(self, now: Clock, max_delay: float) -> None:
        self.now = now
        self.max_delay = max_delay
        self.lag = 0.0

    async def sleep(self, seconds: float) -> None:
        """Sleep, and measure how late the sleep ends."""
        due = self.now() + seconds
        await asyncio.sleep(seconds)
        late = min(self.max_delay, max(0, self.now() - due))
        self.lag = max(late, DECAY * self.lag)

    def allowance(self) -> float:
        """Return the seconds by which to extend timeouts for peers."""
        return TURNS_PER_EXCHANGE * self.lag
