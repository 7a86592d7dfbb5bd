"""Open requests and unread prompt tokens at each upstream.

They add up what this process has in flight and what other boxes report.
"""

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.scheduling.cache_moves import MovesInFlight
from hitchdeck_edge.scheduling.engine_memory import MemoryTable
from hitchdeck_edge.scheduling.engine_model import EngineModel, EnginePace
from hitchdeck_edge.state.tallies import Tally

OVERDUE_FRACTION = 0.5
"""Fraction of the expected time by which a first event may be late before its engine
counts as overdue."""

OVERDUE_SECONDS = 0.05
"""Lateness of a first event that is common: a box that is busy for a moment."""

MAX_OVERDUE_SECONDS = 1.5
"""Lateness of a first event from which it counts as lost rather than late.  Stalls of
0.6 s were described; an engine that loses an answer must not go unused until the
request times out."""


class OpenWorkEntry:
    """One request in an ``OpenWorkTable``, from being sent until it ends.

    Attributes
    ----------
    tokens
        Prompt tokens that the engine must read before it generates.
    expected
        ``tokens`` and those ahead of them at the upstream when the entry was made.
    unread, running
        ``expected`` without what had been read by then, and the requests that ran.
    reading
        Whether the first token is still awaited.
    started
        When the first token came.
    source
        Engine from which a cached part of the prompt is taken.
    """

    def __init__(
        self,
        open_work: 'OpenWorkTable',
        upstream: UpstreamName,
        tokens: int,
        prompt: Prompt | None = None,
        source: UpstreamName | None = None,
    ) -> None:
        self.open_work = open_work
        self.upstream = upstream
        self.tokens = tokens
        self.prompt = prompt
        self.source = source
        self.opened = open_work.now()
        self.expected = open_work.waiting(upstream) + tokens
        self.unread = float(self.expected)
        self.running = 0
        if open_work.model is not None:
            self.unread -= open_work.tokens_read(upstream, self.opened)
            self.running = open_work.running(upstream)
        self.reading = True
        self.started: float | None = None
        self.open = True
        open_work.add(self)

    def start(self) -> None:
        """Record the first token, by which the prompt has been read."""
        self._end_reading(begun=True)

    def close(self) -> None:
        """Remove the request from the table; further calls have no effect."""
        self._end_reading(begun=False)
        if self.open:
            self.open = False
            self.open_work.remove(self)

    def _end_reading(self, *, begun: bool) -> None:
        if self.reading:
            self.reading = False
            self.started = self.open_work.now()
            self.open_work.mark_read(self, begun=begun)


class ReadingQueue:
    """Requests of this process that an engine has still to read, in their order.

    Attributes
    ----------
    tokens
        Their prompt tokens.
    running
        Open requests at the engine, whether it has read them or not.
    event_at
        When the first of them was last read, or given up.
    seen_at
        When any of them was last read.
    """

    __slots__ = ('entries', 'event_at', 'running', 'seen_at', 'tokens')

    def __init__(self) -> None:
        self.entries: dict[OpenWorkEntry, None] = {}
        self.event_at = 0.0
        self.seen_at = 0.0
        self.tokens = 0
        self.running = 0

    def add(self, entry: OpenWorkEntry) -> None:
        """Append a request."""
        self.entries[entry] = None
        self.tokens += entry.tokens
        self.running += 1

    def mark_read(self, entry: OpenWorkEntry, now: float) -> None:
        """Remove a request; if it was the first, the next one is being read."""
        self.tokens -= entry.tokens
        if next(iter(self.entries), None) is entry:
            self.event_at = now
        self.entries.pop(entry, None)

    def progress(self, pace: EnginePace, now: float) -> tuple[float, float]:
        """Return the tokens read of those that wait, and the seconds overdue.

        A first token is noticed only its fixed latency after its prompt was read, and
        the engine reads the next prompt meanwhile.
        """
        if not self.entries:
            return 0, 0
        head = next(iter(self.entries))
        elapsed = now - max(head.opened, self.event_at - pace.latency)
        expected = head.tokens * pace.per_token + pace.latency
        if elapsed <= expected:
            return elapsed / pace.per_token, 0
        # An engine from which other first events came meanwhile has not stalled: the
        # answer is lost, or was overtaken.
        late = min(elapsed - expected, now - self.seen_at)
        common = OVERDUE_SECONDS + OVERDUE_FRACTION * expected
        if not common < late < MAX_OVERDUE_SECONDS:
            late = 0
        return expected / pace.per_token, late


class OpenWorkTable:
    """Unread tokens and open requests by upstream.

    Attributes
    ----------
    own, others
        What this process has in flight, and what the other boxes report.
    assumed_boxes
        Number of boxes, this one included, that are assumed to have the same load
        as this one; 1 while the other boxes report theirs.
    queues
        Requests of this process that engines have still to read.
    memory, model
        Memory in use, and learned speeds; ``None`` where they take no part.
    moves
        Moves of cached prompt parts.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.own = Tally()
        self.others = Tally()
        self.assumed_boxes = 1
        self.queues: dict[UpstreamName, ReadingQueue] = {}
        self.memory: MemoryTable | None = None
        self.model: EngineModel | None = None
        self.moves = MovesInFlight(now)

    def add(self, entry: OpenWorkEntry) -> None:
        """Count a request that is being sent."""
        name = entry.upstream
        self.own.waiting[name] += entry.tokens
        self.own.running[name] += 1
        if self.model is not None:
            queue = self.queues.get(name)
            if queue is None:
                queue = self.queues.setdefault(name, ReadingQueue())
            queue.add(entry)
        if self.memory is not None and entry.prompt is not None:
            self.memory.engine(name).hold(entry.prompt)
        if entry.source is not None:
            self.moves.begin(entry.source, entry)

    def mark_read(self, entry: OpenWorkEntry, *, begun: bool) -> None:
        """Count a prompt as read, or as given up if its response has not begun."""
        self.own.waiting[entry.upstream] -= entry.tokens
        if entry.source is not None:
            self.moves.end(entry.source, entry, begun=begun)
        queue = self.queues.get(entry.upstream)
        if queue is not None:
            queue.mark_read(entry, self.now())
            if begun:
                queue.seen_at = self.now()
        if self.memory is not None and entry.prompt is not None:
            self.memory.engine(entry.upstream).start(entry.prompt, self.now())

    def remove(self, entry: OpenWorkEntry) -> None:
        """Count a request as ended."""
        self.own.running[entry.upstream] -= 1
        queue = self.queues.get(entry.upstream)
        if queue is not None:
            queue.running -= 1
        if self.memory is not None and entry.prompt is not None:
            memory = self.memory.engine(entry.upstream)
            memory.release(entry.prompt, entry.started)

    def tokens_read(self, name: UpstreamName, now: float) -> float:
        """Return how many of the waiting tokens an engine has read by now."""
        queue = self.queues.get(name)
        pace = self.model.paces.get(name) if self.model is not None else None
        if queue is None or pace is None:
            return 0
        return min(self.waiting(name), queue.progress(pace, now)[0])

    def waiting(self, name: UpstreamName) -> int:
        """Return the number of tokens still to be read at an upstream."""
        own = self.own.waiting.get(name, 0) * self.assumed_boxes
        return max(0, own + self.others.waiting.get(name, 0))

    def running(self, name: UpstreamName) -> int:
        """Return the number of open requests at an upstream."""
        own = self.own.running.get(name, 0) * self.assumed_boxes
        return max(0, own + self.others.running.get(name, 0))

    def loads(self, names: list[UpstreamName]) -> list[tuple[int, int]]:
        """Return ``waiting`` and ``running`` of many upstreams at once."""
        boxes = self.assumed_boxes
        own_waiting, own_running = self.own.waiting.get, self.own.running.get
        waiting, running = self.others.waiting.get, self.others.running.get
        loads: list[tuple[int, int]] = []
        for name in names:
            tokens = own_waiting(name, 0) * boxes + waiting(name, 0)
            requests = own_running(name, 0) * boxes + running(name, 0)
            loads.append((tokens if tokens > 0 else 0, requests if requests > 0 else 0))
        return loads

    def sees_all(self) -> bool:
        """Tell whether there are no other boxes whose requests count too."""
        others = self.others
        return self.assumed_boxes == 1 and not others.waiting and not others.running

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop every other upstream without open requests of this process."""
        for name in self.own.running.keys() - names:
            if not self.own.running[name]:
                self.own.running.pop(name, None)
                self.own.waiting.pop(name, None)
                self.queues.pop(name, None)
