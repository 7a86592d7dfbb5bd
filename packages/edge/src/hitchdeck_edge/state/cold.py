"""Which upstreams are cold, and for how much longer.

A cold upstream bears only a few requests a second for some time after its start.  Each
report says how long that will last; the report with the highest sequence counts, so
what is relayed between processes never circulates.
"""

import math
from dataclasses import dataclass

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName

MIN_CHANGE_SECONDS = 0.3
"""Smaller differences come from delays of reports and are not passed on."""

MAX_COLD_SECONDS = 120.0
"""Cap on what an upstream reports: it must not go unused for good."""


@dataclass(slots=True)
class ColdSpell:
    """End of an upstream's cold time on the local clock, by report and by inference."""

    sequence: int = -1
    reported: float = -math.inf
    assumed: float = -math.inf

    @property
    def until(self) -> float:
        """Return when the upstream is warm, as far as known."""
        return max(self.reported, self.assumed)


class ColdUpstreams:
    """Cold times by upstream.

    ``latest`` is when the last of them ends, so that the usual case costs one look.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.spells: dict[UpstreamName, ColdSpell] = {}
        self.latest = -math.inf

    def report(self, name: UpstreamName, sequence: int, left: float) -> bool:
        """Take a report; tell whether it says something new.

        Parameters
        ----------
        sequence
            Number of the report, which grows with every report of an incarnation.
        left
            Seconds that the upstream will remain cold.
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
        """Return how much longer an upstream is cold, 0 if it is not."""
        spell = self.spells.get(name)
        return 0 if spell is None else max(0, spell.until - self.now())

    def cold_now(self) -> frozenset[UpstreamName]:
        """Return the upstreams that are cold."""
        now = self.now()
        if now >= self.latest:
            return frozenset()
        return frozenset(
            name for name, spell in self.spells.items() if spell.until > now
        )

    def forget(self, name: UpstreamName) -> None:
        """Drop what is known of an upstream."""
        self.spells.pop(name, None)
