"""Lives that seem earlier than the latest one known, because a clock was set back.

A life is ordered by when it says that it started.  Started after its machine's clock
was set back, it seems to be an earlier one, and every report of it a late one.  The
rule: it is believed once it has reported for ``CONFIRMATION_SECONDS`` and the life that
seems later is silent or gone.
"""

from dataclasses import dataclass, replace

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.state.registry import Registry

CONFIRMATION_SECONDS = 10.0
"""Longer than a report may be late on its way (some seconds)."""

MAX_UNCONFIRMED = 256
"""Bounds the memory; the one doubted first is dropped."""


@dataclass(frozen=True, slots=True)
class UnconfirmedIncarnation:
    """A life that seems earlier: its first report, and when that came."""

    since: float
    sequence: int


class IncarnationOrder:
    """Settles which reports of an instance are those of its latest life."""

    def __init__(self, registry: Registry, now: Clock) -> None:
        self.registry = registry
        self.now = now
        self.unconfirmed: dict[UpstreamName, UnconfirmedIncarnation] = {}

    def resolve(self, upstream: Upstream) -> Upstream | None:
        """Return a report as it counts, ``None`` if it is of an earlier life."""
        known = self.registry.records.get(upstream.name)
        if known is not None:
            # It may have been set later than it says.
            upstream = replace(upstream, born=known.born)
        newest = self.registry.latest_incarnation(upstream.instance_key)
        if newest is None or upstream.incarnation_rank >= newest.incarnation_rank:
            self.unconfirmed.pop(upstream.name, None)
            return upstream
        if known is not None or not self._is_confirmed(upstream, newest):
            return None
        logs.warning(
            'clock set back',
            upstream=upstream.name,
            seems_before=newest.name,
        )
        return replace(upstream, born=newest.born + 1)

    def _is_confirmed(self, upstream: Upstream, newest: Upstream) -> bool:
        fresh = UnconfirmedIncarnation(self.now(), upstream.sequence)
        first = self.unconfirmed.setdefault(upstream.name, fresh)
        if len(self.unconfirmed) > MAX_UNCONFIRMED:
            self.unconfirmed.pop(next(iter(self.unconfirmed)))
        lasted = self.now() - first.since >= CONFIRMATION_SECONDS
        ended = newest.unresponsive or newest.phase is Phase.gone
        return ended and lasted and upstream.sequence > first.sequence
