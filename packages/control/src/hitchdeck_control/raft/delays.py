"""Delays of this process itself, which are no silence of its peers."""

import asyncio

from hitchdeck_core.clock import Clock

FADING = 0.8
"""Part of a delay that still counts at the next observation."""

TURNS = 4
"""Turns of the event loop that an exchange with a peer takes at this end."""


class OwnDelay:
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

    def __init__(self, now: Clock, most: float) -> None:
        self.now = now
        self.most = most
        self.lag = 0.0

    async def sleep(self, seconds: float) -> None:
        """Sleep, and observe how late it ends."""
        due = self.now() + seconds
        await asyncio.sleep(seconds)
        late = min(self.most, max(0, self.now() - due))
        self.lag = max(late, FADING * self.lag)

    def allowance(self) -> float:
        """Return what to add to the time given to a peer, in seconds."""
        return TURNS * self.lag
