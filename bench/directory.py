"""Callers of a whole fleet and what they are told, in virtual time.

``python -m bench.directory`` plays callers that keep an answer for its time, a
third of them three times as long; that take one of its addresses by chance for
each request and pass over those that failed them; with a flood in one domain,
single boxes lost, and a whole domain lost.  Each fleet is played with the
answers as they are and with the lowest addresses for everybody, as they were.
"""

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import fire

from bench.common import append_row, listed
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_edge.hub.directory import CallerKey, ReadyEntry, select_addresses
from hitchdeck_edge.hub.process import ADDRESS_TTL_SECONDS

MOST = 64
NOTICE_SECONDS = 1.5
"""Until hubs leave out a box that died without a word."""

SPAN_SECONDS = 30.0
FLOOD_SECONDS = (8.0, 16.0)
FLOOD_TIMES = 5
LOST_AT_SECONDS = 18.0
LOST_PART = 0.1
DOMAIN_LOST_AT_SECONDS = 24.0
CALLERS_PER_BOX = 4
LONG_KEEPERS = 3
KEEP_TIMES = 3

Tell = Callable[[CallerKey, str, list[ReadyEntry]], list[Address]]


@dataclass(slots=True)
class Caller:
    """One caller: what it was told, until when, and who failed it."""

    key: CallerKey
    domain: str
    keep: float
    told: list[Address] = field(default_factory=list)
    until: float = 0.0
    failed: set[Address] = field(default_factory=set)


@dataclass(slots=True)
class Play:
    """One fleet, one way to answer; what came of it."""

    entries: list[ReadyEntry]
    tell: Tell
    chance: random.Random
    lost_at: dict[Address, float] = field(default_factory=dict)
    used: Counter[Address] = field(default_factory=Counter)
    at_home: int = 0
    dead: int = 0
    tries: int = 0

    def ask(self, caller: Caller, at: float) -> None:
        """Let a caller make one request."""
        if at >= caller.until:
            seen = [one for one in self.entries if not self._noticed(one, at)]
            caller.told = self.tell(caller.key, caller.domain, seen)
            caller.until = at + caller.keep
            caller.failed.clear()
        for _ in range(2):
            choice = self._choose(caller)
            if choice is None or self._reach(caller, choice, at):
                return

    def _noticed(self, entry: ReadyEntry, at: float) -> bool:
        return self.lost_at.get(entry.address, math.inf) + NOTICE_SECONDS <= at

    def _choose(self, caller: Caller) -> Address | None:
        left = [one for one in caller.told if one not in caller.failed]
        return self.chance.choice(left) if left else None

    def _reach(self, caller: Caller, address: Address, at: float) -> bool:
        self.tries += 1
        if self.lost_at.get(address, math.inf) <= at:
            self.dead += 1
            caller.failed.add(address)
            return False
        self.used[address] += 1
        self.at_home += _domain_of(address) == caller.domain
        return True


def _domain_of(address: Address) -> str:
    return address.split('.')[1]


def lowest(
    _caller: CallerKey, _domain: str, entries: list[ReadyEntry]
) -> list[Address]:
    """Return what every caller was told before: the lowest addresses."""
    return sorted(entry.address for entry in entries)[:MOST]


def near(caller: CallerKey, domain: str, entries: list[ReadyEntry]) -> list[Address]:
    """Return what a caller is told now."""
    return select_addresses(caller, domain, entries, MOST).addresses


WAYS: dict[str, Tell] = {'lowest': lowest, 'near': near}


def doors_of(boxes: int, domains: int) -> list[ReadyEntry]:
    """Return a fleet's boxes, two of each domain beside hubs."""
    return [
        ReadyEntry(
            Address(f'10.{number % domains}.0.{number}:80'),
            BoxName(f'b{number}'),
            str(number % domains),
            shares_machine_with_hub=number < 2 * domains,
        )
        for number in range(boxes)
    ]


def play(way: str, boxes: int, domains: int, seed: int) -> dict[str, object]:
    """Play one fleet; return a row of figures."""
    chance = random.Random(seed)
    run = Play(doors_of(boxes, domains), WAYS[way], chance)
    callers = [
        Caller(
            CallerKey(f'c{number}'),
            str(number % domains),
            _keeps(number),
        )
        for number in range(boxes * CALLERS_PER_BOX)
    ]
    _lose(run, boxes)
    for at, caller in _requests(callers, chance):
        run.ask(caller, at)
    return {
        'way': way,
        'boxes': boxes,
        'domains': domains,
        'seed': seed,
        'busiest_by_mean': round(_spread(run, domains), 2),
        'idle_boxes': boxes - len(run.used),
        'at_home': round(run.at_home / run.tries, 3),
        'tries_on_dead_boxes': round(run.dead / run.tries, 4),
    }


def _lose(run: Play, boxes: int) -> None:
    for entry in run.chance.sample(run.entries, max(1, int(boxes * LOST_PART))):
        run.lost_at[entry.address] = LOST_AT_SECONDS
    for entry in run.entries:
        if entry.domain == '0':
            run.lost_at.setdefault(entry.address, DOMAIN_LOST_AT_SECONDS)


def _keeps(number: int) -> float:
    """Return how long a caller keeps an answer, in seconds."""
    times = 1 if number % LONG_KEEPERS else KEEP_TIMES
    return ADDRESS_TTL_SECONDS * times


def _requests(
    callers: list[Caller],
    chance: random.Random,
) -> list[tuple[float, Caller]]:
    """Return who asks when: each some once a second, the flooding ones more."""
    asked: list[tuple[float, Caller]] = []
    for caller in callers:
        at = chance.expovariate(1)
        while at < SPAN_SECONDS:
            asked.append((at, caller))
            floods = caller.domain == '1' and _is_flooded(at)
            at += chance.expovariate(FLOOD_TIMES if floods else 1)
    return sorted(asked, key=lambda one: one[0])


def _is_flooded(at: float) -> bool:
    begin, end = FLOOD_SECONDS
    return begin < at < end


def _spread(run: Play, domains: int) -> float:
    """Return the worst domain's busiest box against its mean, but the lost one's.

    Boxes that were lost early or are spared beside hubs are left out.
    """
    worst = 0.0
    for domain in range(1, domains):
        counts = [
            run.used[entry.address]
            for entry in run.entries
            if entry.domain == str(domain) and entry.address not in run.lost_at
        ]
        serving = [count for count in counts if count] or [1]
        worst = max(worst, max(counts) * len(serving) / max(1, sum(serving)))
    return worst


def main(
    fleets: object = '9:3,63:7,200:5,1000:12',
    seeds: int = 1,
    output: str = 'bench/results/directory.jsonl',
) -> None:
    """Play fleets, each BOXES:DOMAINS, and append a row a play to a file."""
    for fleet in listed(fleets):
        boxes, _, domains = fleet.partition(':')
        for way in WAYS:
            for seed in range(seeds):
                append_row(output, play(way, int(boxes), int(domains), seed))


if __name__ == '__main__':
    fire.Fire(main)
