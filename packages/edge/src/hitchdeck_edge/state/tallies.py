"""Load of upstreams and demand of accounts, as boxes report them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import field

from hitchdeck_core.ids import AccountName, UpstreamName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Demand, HubFrame, Load

MAX_UINT32 = 4_294_967_295
"""Largest number that a message field of type ``uint32`` can hold.  Sizes that callers
state may add up to more, and a frame that cannot be encoded would break the box's
stream."""


@dataclass(slots=True)
class Tally:
    """Load by upstream, and demand by account.

    Attributes
    ----------
    waiting
        Tokens to be read, by upstream.
    running
        Open requests, by upstream.
    asked
        Tokens demanded, by account.
    """

    waiting: Counter[UpstreamName] = field(default_factory=Counter)
    running: Counter[UpstreamName] = field(default_factory=Counter)
    asked: Counter[AccountName] = field(default_factory=Counter)

    def add(self, other: 'Tally') -> None:
        """Add another tally to this one, in place."""
        self.waiting.update(other.waiting)
        self.running.update(other.running)
        self.asked.update(other.asked)

    def without(self, other: 'Tally') -> 'Tally':
        """Return the difference of this tally and another one."""
        rest = Tally(self.waiting.copy(), self.running.copy(), self.asked.copy())
        rest.waiting.subtract(other.waiting)
        rest.running.subtract(other.running)
        rest.asked.subtract(other.asked)
        return rest

    def loads(self) -> list[Load]:
        """Return the load as messages, without idle upstreams."""
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
        """Return the demand as messages."""
        return [
            Demand(account=name, tokens=_as_uint32(tokens))
            for name, tokens in self.asked.items()
            if tokens > 0
        ]


def tally_of(frame: BoxFrame | HubFrame) -> Tally:
    """Return the load and demand that a frame reports."""
    tally = Tally()
    for load in frame.loads:
        tally.waiting[UpstreamName(load.upstream)] = int(load.waiting_tokens)
        tally.running[UpstreamName(load.upstream)] = int(load.running)
    for demand in frame.demands:
        tally.asked[AccountName(demand.account)] = int(demand.tokens)
    return tally


def total_of(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of several tallies."""
    total = Tally()
    for tally in tallies:
        total.add(tally)
    return total


def _as_uint32(number: int) -> int:
    return min(MAX_UINT32, max(0, number))
