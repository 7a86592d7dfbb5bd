"""Load of upstreams and demand of accounts, as boxes report them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import field
from typing import TypeVar

from hitchdeck_core.ids import AccountName, UpstreamName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Demand, HubFrame, Load

MAX_UINT32 = 4_294_967_295
"""Largest number that a message field of type ``uint32`` can hold.  Sizes that callers
state may add up to more, and a frame that cannot be encoded would break the box's
stream."""

Name = TypeVar('Name', UpstreamName, AccountName)


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
        _add(self.waiting, other.waiting, 1)
        _add(self.running, other.running, 1)
        _add(self.asked, other.asked, 1)

    def without(self, other: 'Tally') -> 'Tally':
        """Return the difference of this tally and another one."""
        rest = Tally(self.waiting.copy(), self.running.copy(), self.asked.copy())
        _add(rest.waiting, other.waiting, -1)
        _add(rest.running, other.running, -1)
        _add(rest.asked, other.asked, -1)
        return rest

    def loads(self) -> list[Load]:
        """Return the load as messages, without idle upstreams."""
        loads: list[Load] = []
        for name in self.waiting.keys() | self.running.keys():
            waiting = self.waiting.get(name, 0)
            running = self.running.get(name, 0)
            if waiting > 0 or running > 0:
                loads.append(
                    Load(
                        upstream=name,
                        waiting_tokens=_as_uint32(waiting),
                        running=_as_uint32(running),
                    )
                )
        return loads

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


def _add(counts: Counter[Name], others: Counter[Name], factor: int) -> None:
    """Add a multiple of other counts; ``Counter.update`` checks types on each call."""
    known = counts.get
    for name, count in others.items():
        counts[name] = known(name, 0) + factor * count


def _as_uint32(number: int) -> int:
    return number if 0 <= number <= MAX_UINT32 else min(MAX_UINT32, max(0, number))
