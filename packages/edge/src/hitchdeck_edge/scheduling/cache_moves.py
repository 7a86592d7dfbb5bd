"""Moves of cached prompt parts between engines: from which engine, and at what cost.

Load that it answers: accounts at ten times their usual traffic on few subjects.  The
engine that has a subject's part cached is busy, and another one would have to read the
part again.  It takes the part from the first one instead, in a tenth of the time or
less, so that the queues decide between the engines.
"""

import math
from collections.abc import Callable, Hashable

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.document import CacheLink
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.health import Health
from hitchdeck_edge.scheduling.prefix_cache import PrefixCacheModel

SETUP_SECONDS = 0.0033
"""Time to set up a move, which documents don't state: 3.3 ms and 2.7 ms in the two
deployments that were described."""

MAX_MOVES = 8
"""Maximum number of moves in flight from one engine.  They are made one after another:
eight of 5 ms delay the last one by an eighth of the shortest goal, 0.3 s.  It also
bounds how many requests one engine that hangs can delay."""

SILENT_SECONDS = 0.3
"""Time without a first event from an engine, while a move from it is in flight, after
which it is not asked for more: the shortest goal that was stated."""


LinkOf = Callable[[PoolName], CacheLink | None]

Weighed = tuple[float, int, int]
"""Tokens that a source lacks, its moves in flight, and its position among the
candidates."""

_NOWHERE = -1


def _no_link(_: PoolName) -> None:
    """Return the costs of moves where nothing can be moved."""


class MovesInFlight:
    """Moves that were begun, by source, with the time when each one began.

    A move counts until the first event of its request, by which it has ended.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.begun: dict[UpstreamName, dict[Hashable, float]] = {}

    def begin(self, source: UpstreamName, key: Hashable) -> None:
        """Count a move."""
        self.begun.setdefault(source, {})[key] = self.now()

    def end(self, source: UpstreamName, key: Hashable) -> None:
        """Remove a move; further calls have no effect."""
        moves = self.begun.get(source)
        if moves is None:
            return
        moves.pop(key, None)
        if not moves:
            self.begun.pop(source)

    def count(self, source: UpstreamName) -> int:
        """Return the number of moves in flight from an engine."""
        moves = self.begun.get(source)
        return len(moves) if moves else 0

    def oldest(self, source: UpstreamName) -> float:
        """Return when the oldest move in flight from an engine began."""
        return next(iter(self.begun[source].values()))


@dataclass(frozen=True, slots=True)
class Source:
    """An engine from which others can take a part of a prompt.

    Attributes
    ----------
    unread
        Prompt tokens that it has not cached itself.
    fixed
        Cost of a move whatever its size, in tokens to be read.
    per_token
        Cost of each token that is moved, in tokens to be read.
    """

    upstream: Upstream
    unread: int
    fixed: float
    per_token: float

    def expected(self, unread: list[int]) -> list[int]:
        """Return the cost for each engine, in tokens to be read.

        The lower one of reading all that it lacks, and of taking from the source what
        that has cached.

        Parameters
        ----------
        unread
            Prompt tokens that each engine has not cached.
        """
        ratio = self.per_token
        least = self.unread
        base = int(least * (1 - ratio) + self.fixed)
        return [
            min(tokens, base + int(tokens * ratio)) if tokens > least else tokens
            for tokens in unread
        ]


class CacheMoves:
    """Finds sources of moves.

    Attributes
    ----------
    link_of
        Returns the stated costs of moves in a pool; ``None`` if nothing can be moved.
    chosen, chosen_tokens
        Numbers of moves that were decided, and of tokens to be moved by them.
    """

    def __init__(
        self, in_flight: MovesInFlight, prefix_cache: PrefixCacheModel, health: Health
    ) -> None:
        self.in_flight = in_flight
        self.prefix_cache = prefix_cache
        self.health = health
        self.link_of: LinkOf = _no_link
        self.chosen = 0
        self.chosen_tokens = 0

    def source(
        self,
        query: PlacementQuery,
        candidates: list[Upstream],
        unread: list[int],
        read_rate: float,
    ) -> Source | None:
        """Return the engine that has read most of a prompt, or ``None``.

        Among equal ones it is the one with the fewest moves in flight.  A retry takes
        from none: the source may be why the first attempt failed.

        Parameters
        ----------
        unread
            Tokens of the prompt that each of the candidates has not cached.
        read_rate
            Tokens that an engine of the pool reads in a second.
        """
        link = self.link_of(query.pool)
        if link is None or query.tried or query.prompt is None:
            return None
        setup = SETUP_SECONDS * read_rate
        # What the source has beyond the others must be worth the setup of a move.
        limit = max(unread) - setup
        if min(unread) >= limit:
            return None
        left, moves, position = self._best(candidates, unread, query.prompt, limit)
        if position < 0:
            return None
        per_token = link.token_bytes / link.bytes_per_second * read_rate
        return Source(candidates[position], int(left), setup * (moves + 1), per_token)

    def is_trusted(self, source: Upstream) -> bool:
        """Tell whether nothing is known against an engine as a source."""
        return not source.unresponsive and not self.health.is_ejected(source.name)

    def record(self, query: PlacementQuery, choice: Choice) -> None:
        """Count and log a decision by which a part is moved."""
        if choice.source is None:
            return
        self.chosen += 1
        self.chosen_tokens += choice.moved
        logs.info(
            'cached part moved',
            request=query.request,
            upstream=choice.upstream.name,
            source=choice.source.name,
            tokens=choice.moved,
            left=choice.tokens,
            queue=round(choice.queue, 3),
            moves=self.in_flight.count(choice.source.name),
        )

    def _best(
        self,
        candidates: list[Upstream],
        unread: list[int],
        prompt: Prompt,
        limit: float,
    ) -> Weighed:
        """Return the best source that lacks fewer tokens than ``limit``, if any."""
        least = min(unread)
        best: Weighed = (limit, 0, _NOWHERE)
        for position, tokens in enumerate(unread):
            if tokens > best[0]:
                continue
            weighed = self._weigh(candidates[position], prompt)
            best = min(best, (*weighed, position))
            if best[:2] == (least, 0):
                # An idle source of all that any engine has cached.
                break
        return best

    def _weigh(self, source: Upstream, prompt: Prompt) -> tuple[float, int]:
        """Return the tokens that a source lacks, and its moves in flight.

        The first number is infinite if it must not be asked.
        """
        moves = self.in_flight.count(source.name)
        if moves >= MAX_MOVES or not self.is_trusted(source):
            return math.inf, moves
        if moves and self._is_silent(source.name):
            return math.inf, moves
        return self.prefix_cache.not_read(source.name, prompt), moves

    def _is_silent(self, name: UpstreamName) -> bool:
        """Tell whether a source has given no sign since it was asked for a part."""
        oldest = self.in_flight.oldest(name)
        if self.in_flight.now() - oldest < SILENT_SECONDS:
            return False
        return self.prefix_cache.heard_at(name) <= oldest
