"""Open requests and unread prompt tokens at each upstream.

They add up what this process has in flight and what other boxes report.
"""

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.state.tallies import Tally


class OpenWorkEntry:
    """One request in an ``OpenWorkTable``, from being sent until it ends.

    Attributes
    ----------
    tokens
        Prompt tokens that the engine must read before it generates.
    expected
        ``tokens`` and those ahead of them at the upstream when the entry was made.
    reading
        Whether the first token is still awaited.
    """

    def __init__(
        self, open_work: 'OpenWorkTable', upstream: UpstreamName, tokens: int
    ) -> None:
        self.open_work = open_work
        self.upstream = upstream
        self.tokens = tokens
        self.opened = open_work.now()
        self.expected = open_work.waiting(upstream) + tokens
        self.reading = True
        self.open = True
        open_work.own.waiting[upstream] += tokens
        open_work.own.running[upstream] += 1

    def start(self) -> None:
        """Record the first token, by which the prompt has been read."""
        if self.reading:
            self.reading = False
            self.open_work.own.waiting[self.upstream] -= self.tokens

    def close(self) -> None:
        """Remove the request from the table; further calls have no effect."""
        self.start()
        if self.open:
            self.open = False
            self.open_work.own.running[self.upstream] -= 1


class OpenWorkTable:
    """Unread tokens and open requests by upstream.

    Attributes
    ----------
    own, others
        What this process has in flight, and what the other boxes report.
    assumed_boxes
        Number of boxes, this one included, that are assumed to have the same load
        as this one; 1 while the other boxes report theirs.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.own = Tally()
        self.others = Tally()
        self.assumed_boxes = 1

    def waiting(self, name: UpstreamName) -> int:
        """Return the number of tokens still to be read at an upstream."""
        own = self.own.waiting.get(name, 0) * self.assumed_boxes
        return max(0, own + self.others.waiting.get(name, 0))

    def running(self, name: UpstreamName) -> int:
        """Return the number of open requests at an upstream."""
        own = self.own.running.get(name, 0) * self.assumed_boxes
        return max(0, own + self.others.running.get(name, 0))

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop every other upstream without open requests of this process."""
        for name in self.own.running.keys() - names:
            if not self.own.running[name]:
                self.own.running.pop(name, None)
                self.own.waiting.pop(name, None)
