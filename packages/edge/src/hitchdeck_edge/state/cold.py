"""Which upstreams are cold, and for how much longer.

A cold upstream handles only a few requests per second for some time after its start.
Each of its reports states the time left.  The report with the highest sequence wins, so
relayed reports never circulate between processes.
"""

import math

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.lazy_dataclasses import dataclass

MIN_CHANGE_SECONDS = 0.3
"""Smaller changes are caused by the delay of reports and are not propagated."""

MAX_COLD_SECONDS = 120.0
"""Upper bound of a reported time, so that no upstream goes unused for ever."""


@dataclass(slots=True)
class ColdSpell:
    """End of an upstream's cold time on the local clock, as reported and as assumed."""

    sequence: int = -1
    reported: float = -math.inf
    assumed: float = -math.inf

    @property
    def until(self) -> float:
        """Return when the upstream will be warm, on the local clock."""
        return max(self.reported, self.assumed)


class ColdUpstreams:
    """Cold times by upstream.

    Attributes
    ----------
    latest
        End of the last cold time.  While no upstream is cold, the usual case, one
        comparison with it suffices.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.spells: dict[UpstreamName, ColdSpell] = {}
        self.latest = -math.inf

    def report(self, name: UpstreamName, sequence: int, left: float) -> bool:
        """Apply a report; tell whether it changes the cold time.

        Parameters
        ----------
        sequence
            Number of the report; it grows with every report of an incarnation.
        left
            Seconds for which the upstream will remain cold.
        """
        spell = self.spells.setdefault(name, ColdSpell())
        if sequence <= spell.sequence:
            return False
        now = self.now()
        before = max(now, spell.reported)
        spell.sequence = sequence
        spell.reported = now + min(MAX_COLD_SECONDS, left)
        self.latest = max(self.latest, spell.reported)
        return abs(spell.reported - before) > MIN_CHANGE_SECONDS

    def assume(self, name: UpstreamName, seconds: float) -> None:
        """Treat an upstream as cold for some seconds, whatever it reports."""
        spell = self.spells.setdefault(name, ColdSpell())
        spell.assumed = self.now() + min(MAX_COLD_SECONDS, seconds)
        self.latest = max(self.latest, spell.assumed)

    def seconds_left(self, name: UpstreamName) -> float:
        """Return the seconds for which an upstream remains cold, 0 if it is warm."""
        spell = self.spells.get(name)
        return 0 if spell is None else max(0, spell.until - self.now())

    def cold_now(self) -> frozenset[UpstreamName]:
        """Return the upstreams that are cold at present."""
        now = self.now()
        if now >= self.latest:
            return frozenset()
        return frozenset(
            name for name, spell in self.spells.items() if spell.until > now
        )

    def forget(self, name: UpstreamName) -> None:
        """Drop the cold time of an upstream."""
        self.spells.pop(name, None)
