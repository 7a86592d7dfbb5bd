"""Engines that are considered for a request, in turn, before it is refused."""

from collections.abc import Callable, Iterator
from dataclasses import replace

from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.scheduling.placement import Placement
from hitchdeck_edge.scheduling.queue_limit import max_queue_seconds


class EngineOrder:
    """Yields choices for a request, and tells which of them are in time.

    ``mechanisms`` returns the switches, which are read at each decision.
    """

    def __init__(
        self, placement: Placement, mechanisms: Callable[[], Mechanisms]
    ) -> None:
        self.placement = placement
        self.mechanisms = mechanisms

    def alternatives(
        self,
        query: PlacementQuery,
        choice: Choice,
        share_used: float,
    ) -> Iterator[Choice]:
        """Yield the choices for a request in the order in which they are considered.

        A choice with a move must be in time even if the source fails; the engine that
        has the part cached may be in time where that one is not.
        """
        moves = False
        for one in self._preferred(query, choice, share_used):
            moves = moves or one.source is not None
            yield one
        if moves:
            unmoved = self.placement.choose(replace(query, may_move=False))
            if unmoved is not None:
                yield unmoved

    def in_time(
        self, query: PlacementQuery, choice: Choice, share_used: float
    ) -> Choice:
        """Return a choice by which the first token comes in time, or the given one.

        Load: prompts that an engine reads for a large part of their goal.  The engine
        that has their shared part cached may be slow, or read others first.  Where
        requests may not wait, and beyond the share of the account, the engine with the
        lowest cost is kept.
        """
        left = query.goal - query.waited
        if not (self.mechanisms().goal_first and query.longest_wait) or left <= 0:
            return choice
        if share_used > 1 or choice.queue + choice.reading <= left:
            return choice
        soonest = self.placement.soonest(query)
        if soonest is None or soonest.queue + soonest.reading > left:
            return choice
        return soonest

    def starts_in_time(
        self,
        query: PlacementQuery,
        choice: Choice,
        share_used: float,
    ) -> bool:
        """Tell whether an engine is expected to begin a request in time."""
        longest = max_queue_seconds(
            query,
            choice,
            share_used,
            yielding=self.mechanisms().yielding,
            even_sizes=self.mechanisms().even_sizes and query.longest_wait > 0,
            late_retries=self.mechanisms().late_retries,
        )
        return choice.queue <= longest

    def _preferred(
        self,
        query: PlacementQuery,
        choice: Choice,
        share_used: float,
    ) -> Iterator[Choice]:
        """Yield the choices at several engines in the order of preference.

        The engine with the lowest cost may have a long queue, if it is nearby or has
        the prompt cached.  Before the request is refused, the best engine of another
        domain is tried; and if the account is within its share, the one that makes the
        first token soonest, although it must read again what another has cached.
        """
        yield choice
        if not self.mechanisms().another_engine:
            return
        far = self._choose_far(query, choice)
        if far is not None:
            yield far
        if share_used > 1:
            return
        soonest = self.placement.soonest(query)
        if soonest is not None:
            yield soonest

    def _choose_far(self, query: PlacementQuery, choice: Choice) -> Choice | None:
        """Return the choice without the preference for the box's own domain.

        ``None`` if it is in the same domain as ``choice``.
        """
        far = self.placement.choose(replace(query, domain=''))
        if far is None or far.upstream.domain == choice.upstream.domain:
            return None
        return far
