"""Queue of messages from a box to its scheduler, combined into frames."""

import asyncio

from hitchdeck_core.signals import Signal
from hitchdeck_core.ticks import until_tick
from hitchdeck_core.wire.spread_pb2 import PlacingFrame
from hitchdeck_core.wire.spread_pb2 import Wanted as WantedMessage

PROGRESS_DELAY_SECONDS = 0.02
"""Maximum delay of progress messages, which are combined with other messages."""


class Outbox:
    """The next frame to the scheduler.

    Attributes
    ----------
    frame
        Messages queued so far.
    due
        Whether the frame is to be sent now.
    became_due
        Notified when the frame becomes due.
    """

    def __init__(self) -> None:
        self.frame = PlacingFrame()
        self.due = False
        self.became_due = Signal()

    def add_query(self, query: WantedMessage) -> None:
        """Queue a query, and send it at once with all queued messages."""
        self.frame.wanted.append(query)
        self.make_due()

    def add_progress(self, progress: PlacingFrame) -> None:
        """Queue progress for the next frame, sent after a short delay at the latest."""
        if not self.frame.ByteSize():
            loop = asyncio.get_running_loop()
            loop.call_later(PROGRESS_DELAY_SECONDS, self.make_due)
        self.frame.MergeFrom(progress)

    async def wait(self, interval: float) -> None:
        """Wait until a frame is due, at most until the next tick of an interval."""
        if not self.due:
            await self.became_due.wait(until_tick(interval))
        # Reset before the frame is taken: a new one may become due during the send.
        self.due = False

    def take(self) -> PlacingFrame | None:
        """Return the frame and start the next one; ``None`` if it is empty."""
        if not self.frame.ByteSize():
            return None
        frame, self.frame = self.frame, PlacingFrame()
        return frame

    def clear(self) -> None:
        """Drop queued messages: the first frame to a new scheduler holds everything."""
        self.frame = PlacingFrame()

    def make_due(self) -> None:
        """Send the frame, with what is added to it until then, at once."""
        self.due = True
        self.became_due.notify()
