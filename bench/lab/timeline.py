"""Virtual time."""

import heapq
from collections.abc import Callable

Event = Callable[[], None]


class Timeline:
    """Events in the order of their time; equal ones as they were entered."""

    def __init__(self) -> None:
        self.now = 0.0
        self.entered = 0
        self.events: list[tuple[float, int, Event]] = []

    def after(self, seconds: float, event: Event) -> None:
        """Have something happen later."""
        self.entered += 1
        heapq.heappush(self.events, (self.now + seconds, self.entered, event))

    def play(self) -> None:
        """Let everything happen that was entered."""
        while self.events:
            self.now, _, event = heapq.heappop(self.events)
            event()
