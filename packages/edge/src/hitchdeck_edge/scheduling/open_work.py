"""Open work at each upstream: this box's own, and what the others report."""

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.state.tallies import Tally


class OpenWorkEntry:
    """One request's entry in the books.

    ``tokens`` is what the engine must read before its first token.
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
        """Note the first token: the prompt has been read."""
        if self.reading:
            self.reading = False
            self.open_work.own.waiting[self.upstream] -= self.tokens

    def close(self) -> None:
        """Note the end of the request."""
        self.start()
        if self.open:
            self.open = False
            self.open_work.own.running[self.upstream] -= 1


class OpenWorkTable:
    """Waiting tokens and running requests by upstream.

    Attributes
    ----------
    own, others
        What this process has open, and what the other boxes report.
    alike
        Boxes that are taken to have as much open as this one; 1 where the
        others report.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.own = Tally()
        self.others = Tally()
        self.assumed_boxes = 1

    def waiting(self, name: UpstreamName) -> int:
        """Return the tokens that wait to be read at an upstream."""
        own = self.own.waiting.get(name, 0) * self.assumed_boxes
        return max(0, own + self.others.waiting.get(name, 0))

    def running(self, name: UpstreamName) -> int:
        """Return the requests that are open at an upstream."""
        own = self.own.running.get(name, 0) * self.assumed_boxes
        return max(0, own + self.others.running.get(name, 0))

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop all other upstreams at which nothing is open."""
        for name in self.own.running.keys() - names:
            if not self.own.running[name]:
                self.own.running.pop(name, None)
                self.own.waiting.pop(name, None)
