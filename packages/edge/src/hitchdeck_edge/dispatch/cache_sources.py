"""Engines from which an upstream is to take cached parts of a prompt."""

from hitchdeck_core.backpressure import Backpressure
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.placement import Placement


class CacheSources:
    """Checks the sources that a scheduler chose, by what this box knows of them.

    Attributes
    ----------
    sent, dropped
        Requests that named a source to their engine, and requests whose source this box
        knew to be of no use.
    """

    def __init__(self, placement: Placement, backpressure: Backpressure) -> None:
        self.placement = placement
        self.backpressure = backpressure
        self.sent = 0
        self.dropped = 0

    def find(self, choice: Choice) -> Upstream | None:
        """Return the engine to take a cached part from, unless it is of no use now."""
        placement = self.placement
        if choice.source is None or not placement.mechanisms.cache_moves:
            return None
        source = placement.registry.records.get(choice.source.name)
        if source is not None and self._may_take_from(source):
            self.sent += 1
            return source
        self.dropped += 1
        return None

    def _may_take_from(self, source: Upstream) -> bool:
        return (
            self.placement.registry.takes_work(source)
            and self.placement.moves.is_trusted(source)
            and self.backpressure.accepts_requests(source.name)
        )
