"""Failure detection for upstreams, from their reports to this hub and to others."""

import asyncio

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address, InstanceName, UpstreamName
from hitchdeck_core.ticks import until_tick
from hitchdeck_edge.hub.incarnation_order import IncarnationOrder
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.state.registry import Registry

MAX_MISSED_REPORTS = 4
"""Consecutive reports that an upstream may miss: one may be seconds late."""

CHECK_SECONDS = 0.5
"""Interval between checks for upstreams that stopped reporting."""


class Liveness:
    """Processes reports of upstreams, and marks those that stop as unresponsive.

    Attributes
    ----------
    last_reports
        When each upstream last reported to this hub itself, in seconds.
    last_sent
        When each other hub was last sent the upstreams heard here, in seconds.
    """

    def __init__(self, registry: Registry, now: Clock, period: float) -> None:
        self.registry = registry
        self.now = now
        self.period = period
        self.last_reports: dict[UpstreamName, float] = {}
        self.last_sent: dict[Address, float] = {}
        self.incarnation_order = IncarnationOrder(registry, now)

    def report(self, upstream: Upstream) -> UpstreamName:
        """Process a report that an upstream sent to this hub.

        Returns
        -------
        UpstreamName
            The latest incarnation of the upstream, which may not be the reporting one.
        """
        accepted = self.incarnation_order.resolve(upstream)
        if accepted is None:
            return self.registry.latest[upstream.instance_key]
        self.registry.merge(accepted, 'report')
        self.registry.hear(accepted.name)
        self.last_reports[accepted.name] = self.now()
        return self.registry.latest[accepted.instance_key]

    def end(self, instance: InstanceName, born: int = 0) -> UpstreamName:
        """Record that an upstream exits: its latest incarnation if ``born`` is 0.

        Returns
        -------
        UpstreamName
            The incarnation whose record says so, which may be a later one.
        """
        ended = self.registry.end(instance, 'report', born)
        for name in self.registry.gone():
            self.last_reports.pop(name, None)
        return ended

    def heard_since_last_frame(self, hub: Address) -> list[UpstreamName]:
        """Return the upstreams that reported here since the last frame to a hub."""
        since = self.last_sent.get(hub, 0)
        self.last_sent[hub] = self.now()
        return [name for name, at in self.last_reports.items() if at >= since]

    async def run(self) -> None:
        """Mark upstreams that stopped reporting as unresponsive; runs forever.

        A hub that hears no upstream at all is itself partitioned and marks none.
        """
        limit = MAX_MISSED_REPORTS * self.period
        while True:
            await asyncio.sleep(until_tick(CHECK_SECONDS))
            if self._hears_any_upstream(limit):
                self.registry.mark_unresponsive(limit)

    def _hears_any_upstream(self, limit: float) -> bool:
        newest = max(self.registry.last_heard.values(), default=0)
        alive = any(
            one.phase is not Phase.gone for one in self.registry.records.values()
        )
        return alive and self.now() - newest < limit / 2
