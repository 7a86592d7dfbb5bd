"""Order of the incarnations of an upstream when a clock was set back.

Incarnations are ordered by the start time that they report.  One that started after its
machine's clock was set back seems to precede the latest known one, and its reports look
like delayed ones.  It is accepted as the latest once it has reported for
``CONFIRMATION_SECONDS`` while the seemingly later incarnation is unresponsive or gone.
"""

from dataclasses import replace

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.state.registry import Registry

CONFIRMATION_SECONDS = 10.0
"""Longer than a report can be delayed in transit (some seconds)."""

MAX_UNCONFIRMED = 256
"""Maximum number of unconfirmed incarnations kept; the oldest is dropped first."""


@dataclass(frozen=True, slots=True)
class UnconfirmedIncarnation:
    """First report of an incarnation that seems to precede the latest known one.

    Attributes
    ----------
    since
        When the report arrived, in seconds.
    sequence
        Sequence number of the report.
    """

    since: float
    sequence: int


class IncarnationOrder:
    """Decides which reports of an instance are from its latest incarnation."""

    def __init__(self, registry: Registry, now: Clock) -> None:
        self.registry = registry
        self.now = now
        self.unconfirmed: dict[UpstreamName, UnconfirmedIncarnation] = {}

    def resolve(self, upstream: Upstream) -> Upstream | None:
        """Return a report with its start time corrected.

        Returns ``None`` if the report is from an earlier incarnation.
        """
        known = self.registry.records.get(upstream.name)
        if known is not None:
            # The start time may have been corrected when it was accepted.
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
