"""Moves of cached prompt parts between engines: from which engine, and at what cost.

Load that it answers: accounts at ten times their usual traffic on few subjects.  The
engine that has a subject's part cached is busy, and another one would have to read the
part again.  It takes the part from the first one instead, in a tenth of the time or
less.
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

SETUP_SECONDS = 0.0056
"""Assumed time to set up a move, which documents don't state: two round trips between
failure domains of 1.4 ms one way, for a connection and a request."""

MAX_MOVES = 8
"""Maximum number of moves in flight from one engine.  They are made one after another:
eight of 7 ms delay the last one by a fifth of the shortest goal, 0.3 s.  It also
bounds how many requests one engine that hangs can delay."""

FEW_MOVES = 1
"""Moves in flight up to which a source is as good as an idle one: looking further would
cost more than the time of a short move is worth."""

SILENT_SECONDS = 0.3
"""Time without a first event from an engine, while a request was sent to it or a move
from it is in flight, after which it is not asked for more: the shortest goal that was
stated."""


LinkOf = Callable[[PoolName], CacheLink | None]

NOWHERE = -1


def _no_link(_: PoolName) -> None:
    """Return the costs of moves where nothing can be moved."""


class MovesInFlight:
    """Moves that were begun, by source, with the time when each one began.

    A move counts until the first event of its request, by which it has ended.

    Attributes
    ----------
    failed_at
        When a request last ended without an event while it took a part from a source.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.begun: dict[UpstreamName, dict[Hashable, float]] = {}
        self.failed_at: dict[UpstreamName, float] = {}

    def begin(self, source: UpstreamName, key: Hashable) -> None:
        """Count a move."""
        self.begun.setdefault(source, {})[key] = self.now()

    def end(self, source: UpstreamName, key: Hashable, *, begun: bool) -> None:
        """Remove a move; further calls have no effect.

        Parameters
        ----------
        begun
            Whether its request had a first event, so that the move has succeeded.
        """
        moves = self.begun.get(source)
        if moves is None or key not in moves:
            return
        if not begun:
            self.failed_at[source] = self.now()
        moves.pop(key, None)
        if not moves:
            self.begun.pop(source)

    def count(self, source: UpstreamName) -> int:
        """Return the number of moves in flight from an engine."""
        moves = self.begun.get(source)
        return len(moves) if moves else 0

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop what is known of all other sources without moves in flight."""
        for name in self.failed_at.keys() - names:
            self.failed_at.pop(name)

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

    def saved(self, unread: int) -> float:
        """Return the tokens by which moving costs less than reading; below 0 if more.

        A token that is moved weighs as much as one that is read again, beside its own
        time: each copy takes memory and link time of two engines.  With cheap moves,
        seven times as many tokens were moved as had been read again without any, mostly
        in place of cache hits.
        """
        return (unread - self.unread) * (1 - self.per_token) - self.fixed


class ReadCosts:
    """What it costs each engine to have a prompt in its cache, in tokens to be read.

    Attributes
    ----------
    own
        Length of the last part of the prompt, which no other request shares.
    weight
        Cost of each shared token that is read again, beyond its own time.
    read_rate
        Tokens that an engine of the pool reads in a second.
    source
        Engine from which cached parts can be taken.
    """

    __slots__ = ('own', 'read_rate', 'source', 'weight')

    def __init__(self, own: int, weight: float, read_rate: float) -> None:
        self.own = own
        self.weight = weight
        self.read_rate = read_rate
        self.source: Source | None = None

    def lowest(self, unread: list[int]) -> list[float]:
        """Return, for each engine, the lower cost of reading and of moving.

        Parameters
        ----------
        unread
            Prompt tokens that each engine has not cached.
        """
        own, weight, source = self.own, self.weight, self.source
        costs = [
            tokens + weight * (tokens - own) if tokens > own else tokens
            for tokens in unread
        ]
        if source is None:
            return costs
        return [
            cost - max(0, source.saved(tokens))
            for tokens, cost in zip(unread, costs, strict=True)
        ]

    def left(self, unread: int) -> int:
        """Return what an engine reads if it does what costs less.

        It is less than ``unread`` if it takes a part from the source.
        """
        source = self.source
        return source.unread if source and source.saved(unread) > 0 else unread


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
        costs: ReadCosts,
    ) -> Source | None:
        """Return the engine that has read most of a prompt, or ``None``.

        Among equal ones it is the one with the fewest moves in flight.  A retry takes
        from none: the source may be why the first attempt failed.

        Parameters
        ----------
        unread
            Tokens of the prompt that each of the candidates has not cached.
        """
        link = self.link_of(query.pool)
        if link is None or query.tried or query.prompt is None:
            return None
        if not query.may_move:
            return None
        rate = costs.read_rate
        setup = SETUP_SECONDS * rate
        # What the source has beyond the others must take longer to read than the setup.
        limit = max(unread) - setup
        if min(unread) >= limit:
            return None
        left, moves, position = self._best(candidates, unread, query.prompt, limit)
        if position == NOWHERE:
            return None
        per_token = link.token_bytes / link.bytes_per_second * rate
        return Source(candidates[position], int(left), setup * (moves + 1), per_token)

    def is_trusted(self, source: Upstream) -> bool:
        """Tell whether an engine is neither suspected to have crashed nor ejected."""
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
    ) -> tuple[float, int, int]:
        """Return the best source that lacks fewer tokens than ``limit``.

        Returns
        -------
        tuple
            Tokens that the source lacks, its moves in flight, and its position among
            the candidates, which is ``NOWHERE`` if there is none.
        """
        least = min(unread)
        fewest, found = MAX_MOVES, NOWHERE
        for position, tokens in enumerate(unread):
            if tokens > limit:
                continue
            source = candidates[position]
            left = self.prefix_cache.not_read(source.name, prompt)
            moves = self.in_flight.count(source.name)
            if (left, moves) < (limit, fewest) and self._may_ask(source, moves):
                limit, fewest, found = left, moves, position
                if left == least and moves <= FEW_MOVES:
                    break
        return limit, fewest, found

    def _may_ask(self, source: Upstream, moves: int) -> bool:
        """Tell whether an engine with these moves in flight may be asked for more."""
        if moves >= MAX_MOVES or not self.is_trusted(source):
            return False
        earliest = self.in_flight.now() - SILENT_SECONDS
        if self.prefix_cache.asked_at(source.name) < earliest:
            return False
        heard_at = self.prefix_cache.heard_at(source.name)
        # A source that hangs would otherwise delay each burst of requests anew.
        if heard_at <= self.in_flight.failed_at.get(source.name, -math.inf):
            return False
        if not moves:
            return True
        return self.in_flight.oldest(source.name) >= earliest or heard_at > earliest
