"""What a box has yet to tell its scheduler, and when the next frame is due."""

import asyncio

from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import PlacingFrame
from hitchdeck_core.wire.spread_pb2 import Wanted as WantedMessage

PROGRESS_DELAY_SECONDS = 0.02
"""Word of progress waits so long for a frame to go with."""


class Outbox:
    """The next frame to the scheduler.

    Attributes
    ----------
    frame
        What it says so far.
    due
        Whether it is to be sent now.
    """

    def __init__(self) -> None:
        self.frame = PlacingFrame()
        self.due = False
        self.became_due = Signal()

    def add_query(self, query: WantedMessage) -> None:
        """Send a question at once, and what waits with it."""
        self.frame.wanted.append(query)
        self._make_due()

    def add_progress(self, progress: PlacingFrame) -> None:
        """Send word with the next frame, a little later at the latest."""
        if not self.frame.ByteSize():
            loop = asyncio.get_running_loop()
            loop.call_later(PROGRESS_DELAY_SECONDS, self._make_due)
        self.frame.MergeFrom(progress)

    async def wait(self, seconds: float) -> None:
        """Return when a frame is due, or so many seconds later."""
        if not self.due:
            await self.became_due.wait(seconds)
        # Before the frame is looked at: it may become due while one is sent.
        self.due = False

    def take(self) -> PlacingFrame | None:
        """Return the frame and begin the next one; ``None`` if it is empty."""
        if not self.frame.ByteSize():
            return None
        frame, self.frame = self.frame, PlacingFrame()
        return frame

    def clear(self) -> None:
        """Forget what waits: a new scheduler is told all in its first frame."""
        self.frame = PlacingFrame()

    def _make_due(self) -> None:
        self.due = True
        self.became_due.notify()
