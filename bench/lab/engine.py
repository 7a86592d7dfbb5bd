"""An engine on paper: continuous batching, read in chunks, a prefix cache."""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.lab.deployment import EngineSheet
from bench.lab.timeline import Timeline

MS = 0.001
"""Seconds in a millisecond."""

RESERVE = 0.03
"""Part of the memory that is left for what running requests make."""

MEGABIT_BYTES = 125_000

STRIDE = 3
"""Tokens in one event of a stream: a pause is measured over so many steps."""


@dataclass(slots=True, eq=False)
class Run:
    """One request at an engine.

    Attributes
    ----------
    parts
        Ids and sizes of its prompt's parts, in order.
    made
        Tokens that it makes before it ends.
    on_first, on_end
        Called with its first token, and at its whole end.
    on_lost
        Called if the engine loses it.
    unread, kept
        Tokens still to be read, and those that the cache held.
    """

    parts: tuple[tuple[str, int], ...]
    made: int
    gap_goal: float
    on_first: Callable[[], None]
    on_end: Callable[['Run'], None]
    on_lost: Callable[[], None]
    unread: int = 0
    kept: int = 0
    first_at: float = 0.0
    paused: bool = False
    missing: list[tuple[str, int]] = field(default_factory=list)


class Memory:
    """Parts of prompts that an engine keeps; the longest unused yield first."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.idle: OrderedDict[str, int] = OrderedDict()
        self.held: dict[str, int] = {}
        self.sizes: dict[str, int] = {}
        self.idle_tokens = 0
        self.held_tokens = 0

    def missing(self, run: Run) -> list[tuple[str, int]]:
        """Return the parts of a prompt that must be read."""
        for position, (part, _) in enumerate(run.parts):
            if part not in self.idle and part not in self.held:
                return list(run.parts[position:])
        return []

    def takes(self, run: Run) -> bool:
        """Tell whether there is room for a prompt beside those that run."""
        need = sum(tokens for part, tokens in run.parts if part not in self.held)
        return self.held_tokens + need <= self.size * (1 - RESERVE)

    def hold(self, run: Run) -> None:
        """Keep a prompt's parts while it runs."""
        for part, tokens in run.parts:
            if part in self.held:
                self.held[part] += 1
                continue
            if part in self.idle:
                self.idle_tokens -= self.idle.pop(part)
            self.held[part] = 1
            self.sizes[part] = tokens
            self.held_tokens += tokens
        self._yield()

    def release(self, run: Run) -> None:
        """Let a prompt's parts yield to others, the last used last."""
        for part, _ in reversed(run.parts):
            self.held[part] -= 1
            if self.held[part]:
                continue
            self.held.pop(part)
            tokens = self.sizes.pop(part)
            self.held_tokens -= tokens
            self.idle[part] = tokens
            self.idle_tokens += tokens
        self._yield()

    def add(self, part: str, tokens: int) -> None:
        """Keep a part that came from another engine."""
        if part in self.held or part in self.idle:
            return
        self.idle[part] = tokens
        self.idle_tokens += tokens
        self._yield()

    def _yield(self) -> None:
        while self.idle and self.idle_tokens + self.held_tokens > self.size:
            _, tokens = self.idle.popitem(last=False)
            self.idle_tokens -= tokens


class Engine:
    """Runs requests step by step on a timeline.

    Attributes
    ----------
    on_read, on_moved
        Called with each part that had to be read or was moved here, and its size.
    link_free_at
        When the last move from here ends; they are made one after another.
    """

    def __init__(
        self,
        sheet: EngineSheet,
        timeline: Timeline,
        on_read: Callable[[str, int], None],
        on_moved: Callable[[str, int], None],
    ) -> None:
        self.sheet = sheet
        self.timeline = timeline
        self.on_read = on_read
        self.on_moved = on_moved
        self.link_free_at = 0.0
        self.moving: set[Run] = set()
        self.memory = Memory(sheet.memory)
        self.waiting: deque[Run] = deque()
        self.reading: deque[Run] = deque()
        self.making: list[tuple[int, int, Run]] = []
        self.runs: set[Run] = set()
        self.steps = 0
        self.started = 0
        self.made = 0
        self.busy = False
        self.alive = True
        self.recent: deque[float] = deque(maxlen=STRIDE)

    def submit(self, run: Run, source: 'Engine | None' = None) -> None:
        """Put a request behind those that wait, once its parts are moved here."""
        if source is not None and self._begin_move(run, source):
            return
        self.waiting.append(run)
        if not self.busy:
            self._begin_step()

    def parts_beyond(self, run: Run, memory: Memory) -> list[tuple[str, int]]:
        """Return the parts of a prompt that were read here and another one lacks."""
        unread = {part for one in self.reading for part, _ in one.missing}
        kept = self.memory.idle.keys() | self.memory.held.keys()
        parts: list[tuple[str, int]] = []
        for part, tokens in run.parts:
            if part not in kept or part in unread:
                break
            if part not in memory.idle and part not in memory.held:
                parts.append((part, tokens))
        return parts

    def crash(self) -> None:
        """Lose everything."""
        self.alive = False
        self.drop_all()

    def drop_all(self) -> None:
        """Lose every request: those who asked are gone."""
        lost = [*self.waiting, *self.runs, *self.moving]
        for run in self.runs:
            self.memory.release(run)
        self.waiting.clear()
        self.moving.clear()
        self.reading.clear()
        self.making.clear()
        self.runs.clear()
        self.made = 0
        for run in lost:
            run.on_lost()

    def _begin_move(self, run: Run, source: 'Engine') -> bool:
        parts = source.parts_beyond(run, self.memory)
        if not source.alive or not parts:
            return False
        sheet = self.sheet
        size = sheet.token_bytes * sum(tokens for _, tokens in parts)
        seconds = sheet.move_setup * MS + size / (sheet.link_mbps * MEGABIT_BYTES)
        now = self.timeline.now
        source.link_free_at = max(now, source.link_free_at) + seconds
        self.moving.add(run)
        self.timeline.after(
            source.link_free_at - now, lambda: self._end_move(run, parts)
        )
        return True

    def _end_move(self, run: Run, parts: list[tuple[str, int]]) -> None:
        if run not in self.moving:
            return
        self.moving.discard(run)
        for part, tokens in parts:
            self.memory.add(part, tokens)
            self.on_moved(part, tokens)
        self.submit(run)

    def _admit(self) -> None:
        while self.waiting and len(self.runs) < self.sheet.places:
            run = self.waiting[0]
            if not self.memory.takes(run):
                return
            self.waiting.popleft()
            run.missing = self.memory.missing(run)
            run.unread = max(1, sum(tokens for _, tokens in run.missing))
            run.kept = sum(tokens for _, tokens in run.parts) - run.unread
            for part, tokens in run.missing:
                self.on_read(part, tokens)
            self.memory.hold(run)
            self.runs.add(run)
            self.reading.append(run)

    def _begin_step(self) -> None:
        self._admit()
        if not self.runs or not self.alive:
            self.busy = False
            return
        self.busy = True
        taken, pairs = self._read_chunk()
        sheet = self.sheet
        context = self.memory.held_tokens + self.made
        seconds = MS * (
            sheet.step
            + sheet.per_place * len(self.runs)
            + sheet.per_context * context / 1000
            + taken / sheet.read
            + sheet.pairs * pairs / 1e6
        )
        self.timeline.after(seconds, lambda: self._end_step(seconds))

    def _read_chunk(self) -> tuple[int, float]:
        left = self.sheet.chunk
        pairs = 0.0
        for run in self.reading:
            take = min(left, run.unread)
            pairs += take * (run.kept + take / 2)
            run.unread -= take
            run.kept += take
            left -= take
            if not left:
                break
        return self.sheet.chunk - left, pairs

    def _end_step(self, seconds: float) -> None:
        self.recent.append(seconds)
        self.steps += 1
        self.made += len(self.making)
        pause = sum(self.recent)
        while self.making and self.making[0][0] <= self.steps:
            self._end(heapq.heappop(self.making)[2])
        if self.making and pause > self.making[0][2].gap_goal:
            for _, _, run in self.making:
                run.paused = True
        while self.reading and not self.reading[0].unread:
            self._start(self.reading.popleft())
        self._begin_step()

    def _start(self, run: Run) -> None:
        run.first_at = self.timeline.now
        self.started += 1
        heapq.heappush(self.making, (self.steps + run.made, self.started, run))
        run.on_first()

    def _end(self, run: Run) -> None:
        self.runs.discard(run)
        self.made -= run.made
        self.memory.release(run)
        run.on_end(run)
