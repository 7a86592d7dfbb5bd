"""Expected time and cost of a call at each plain service.

By the calls of this process alone, or by those of the whole fleet where boxes share
what they observe.
"""

import random

from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.health import Health
from hitchdeck_edge.scheduling.open_work import OpenWorkTable
from hitchdeck_edge.scheduling.service_view import ServiceView, expected_seconds

FAILURE_WEIGHT = 4.0
"""Weight of the failure rate in the cost of a plain service."""

FAR_FACTOR = 1.1
"""Cost factor for a plain service in another failure domain; see ``NEAR_TOKENS``."""

JITTER_FACTOR = 1.05
"""Upper bound of a random cost factor, so that not all boxes choose the same one of
several equal upstreams."""

MIN_SERVICE_SECONDS = 0.005
"""Lower bound of a plain service's latency, so that a fast one does not cost
nothing."""


class ServiceCosts:
    """Weighs plain services.

    Attributes
    ----------
    view
        What the whole fleet observes of them; ``None`` if boxes do not share it.
    """

    def __init__(
        self, health: Health, open_work: OpenWorkTable, mechanisms: Mechanisms
    ) -> None:
        self.health = health
        self.open_work = open_work
        self.mechanisms = mechanisms
        self.view: ServiceView | None = None

    def cheapest(self, candidates: list[Upstream], query: PlacementQuery) -> Upstream:
        """Return the candidate with the lowest cost."""
        if self.view is not None:
            candidates = list(self.view.compared(candidates, query))
        return min(candidates, key=lambda one: self._cost(one, query))

    def responding(self, candidates: list[Upstream]) -> list[Upstream]:
        """Return the candidates that respond, as far as known."""
        view = self.view
        return [
            one
            for one in candidates
            if not one.unresponsive
            and not self.health.is_ejected(one.name)
            and not (view is not None and view.is_silent(one.name))
        ]

    def seconds(self, upstream: Upstream) -> float:
        """Return the expected time of a call."""
        name = upstream.name
        state = self.view.state(name) if self.view is not None else None
        if state is None:
            seconds = max(MIN_SERVICE_SECONDS, self.health.record(name).seconds)
            return (self.open_work.running(name) + 1) * seconds
        running = state.running + self.open_work.own.running.get(name, 0)
        seconds = max(MIN_SERVICE_SECONDS, state.seconds)
        if self.view is not None and state.failure_rate and not state.seconds:
            # It has only failed: how long a call takes there is not known.
            seconds = max(seconds, self.view.longest_seconds())
        return expected_seconds(seconds, running, upstream.slots)

    def _cost(self, upstream: Upstream, query: PlacementQuery) -> float:
        name = upstream.name
        state = self.view.state(name) if self.view is not None else None
        doubt = 1 + FAILURE_WEIGHT * (state or self.health.record(name)).failure_rate
        near = upstream.domain == query.domain or not self.mechanisms.near_first
        far = 1 if near else FAR_FACTOR
        jitter = random.uniform(1, JITTER_FACTOR)
        return self.seconds(upstream) * doubt * far * jitter
