"""Load and demand as the boxes of a fleet report them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from hitchdeck_core.ids import AccountName, UpstreamName
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Demand, HubFrame, Load

MAX_UINT32 = 4_294_967_295
"""Largest number of a message's 32-bit field.  What callers say of their sizes adds up
to more, and a frame that can't be written would end a box's stream."""


@dataclass(slots=True)
class Tally:
    """Open work by upstream, and tokens asked for by account."""

    waiting: Counter[UpstreamName] = field(default_factory=Counter)
    running: Counter[UpstreamName] = field(default_factory=Counter)
    asked: Counter[AccountName] = field(default_factory=Counter)

    def add(self, other: 'Tally') -> None:
        """Add another tally to this one."""
        self.waiting.update(other.waiting)
        self.running.update(other.running)
        self.asked.update(other.asked)

    def without(self, other: 'Tally') -> 'Tally':
        """Return this tally less another one."""
        rest = Tally(self.waiting.copy(), self.running.copy(), self.asked.copy())
        rest.waiting.subtract(other.waiting)
        rest.running.subtract(other.running)
        rest.asked.subtract(other.asked)
        return rest

    def loads(self) -> list[Load]:
        """Return the open work as messages, without idle upstreams."""
        names = self.waiting.keys() | self.running.keys()
        return [
            Load(
                upstream=name,
                waiting_tokens=_as_uint32(self.waiting[name]),
                running=_as_uint32(self.running[name]),
            )
            for name in names
            if self.waiting[name] > 0 or self.running[name] > 0
        ]

    def demands(self) -> list[Demand]:
        """Return the tokens asked for as messages."""
        return [
            Demand(account=name, tokens=_as_uint32(tokens))
            for name, tokens in self.asked.items()
            if tokens > 0
        ]


def tally_of(frame: BoxFrame | HubFrame) -> Tally:
    """Return what a frame reports."""
    tally = Tally()
    for load in frame.loads:
        tally.waiting[UpstreamName(load.upstream)] = int(load.waiting_tokens)
        tally.running[UpstreamName(load.upstream)] = int(load.running)
    for demand in frame.demands:
        tally.asked[AccountName(demand.account)] = int(demand.tokens)
    return tally


def total_of(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of tallies."""
    total = Tally()
    for tally in tallies:
        total.add(tally)
    return total


def _as_uint32(number: int) -> int:
    return min(MAX_UINT32, max(0, number))
