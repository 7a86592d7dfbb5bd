"""Answers of the scheduler that requests wait for."""

from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import Placed


class Answer:
    """Answer of the scheduler that a request waits for.

    It wakes the request directly: ``asyncio.wait`` with a timeout takes two futures,
    and another turn of the event loop.

    Attributes
    ----------
    placed
        The answer; ``None`` if there is none yet, or will be none.
    is_lost
        Whether the stream to the scheduler ended before the answer.
    settled
        Notified when one of the two is known.
    """

    __slots__ = ('is_lost', 'placed', 'settled')

    def __init__(self) -> None:
        self.placed: Placed | None = None
        self.is_lost = False
        self.settled = Signal()

    @property
    def is_settled(self) -> bool:
        """Tell whether there is nothing to wait for."""
        return self.is_lost or self.placed is not None

    def settle(self, placed: Placed | None) -> None:
        """Wake the request; without an answer, it is lost."""
        if not self.is_settled:
            self.placed = placed
            self.is_lost = placed is None
            self.settled.notify()
