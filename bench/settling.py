"""How many records processes exchange until they agree on their upstreams.

``python -m bench.settling`` lets every upstream be suspected at two hubs and report
once, and tells how many records were sent until nobody has news, beside the bound of
the design note, for fleets of several sizes.
"""

from dataclasses import dataclass, field
from itertools import permutations, product
from random import Random

import fire

from bench.common import append_row, listed
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName, UpstreamIncarnation, UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.hub.liveness import Liveness
from hitchdeck_edge.links.records import decode_upstreams, encode_upstream
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.hub_api import decode_upstream

PERIOD = 1.2
POOL = PoolName('llm')
ADDRESS = '10.0.0.1:80'
ORIGIN = 'another process'
OUTPUT = 'bench/results/settling.jsonl'

View = set[tuple[UpstreamName, str, Phase, bool]]


def report(instance: str, sequence: int, **more: object) -> Upstream:
    """Return a report as it comes to a hub's door."""
    body = {
        'service': POOL,
        'address': ADDRESS,
        'slots': 4,
        'state': 'ready',
        'sequence': sequence,
        **more,
    }
    return decode_upstream(instance, body)


def view_of(registry: Registry) -> View:
    """Return what decides where requests are sent."""
    return {
        (one.name, one.address, one.phase, one.unresponsive)
        for one in registry.records.values()
        if one.phase is not Phase.gone
    }


@dataclass
class Fleet:
    """Hubs that exchange records with each other, and tell boxes."""

    clock: Clock
    hub_count: int
    box_count: int
    hubs: list[Liveness] = field(init=False)
    registries: list[Registry] = field(init=False)
    links: list[tuple[int, int]] = field(init=False)
    sent: dict[tuple[int, int], int] = field(default_factory=dict)
    records_sent: int = 0

    def __post_init__(self) -> None:
        self.registries = [
            Registry(self.clock, Signal(), hears_reports=number < self.hub_count)
            for number in range(self.hub_count + self.box_count)
        ]
        self.hubs = [
            Liveness(one, self.clock, PERIOD)
            for one in self.registries[: self.hub_count]
        ]
        hubs = range(self.hub_count)
        to_boxes = product(hubs, range(self.hub_count, len(self.registries)))
        self.links = [*permutations(hubs, 2), *to_boxes]

    def deliver(self, link: tuple[int, int], *, again: bool = False) -> None:
        """Send what the receiver lacks; ``again`` sends everything, as at first."""
        sender, receiver = link
        source = self.registries[sender]
        fresh = source.since(0 if again else self.sent_to(link))
        self.sent[link] = source.changes
        if not again:
            self.records_sent += len(fresh)
        for record in decode_upstreams(map(encode_upstream, fresh)):
            self.registries[receiver].merge(record, ORIGIN)

    def sent_to(self, link: tuple[int, int]) -> int:
        """Return up to which change a link has sent."""
        return self.sent.get(link, 0)

    def has_news(self, link: tuple[int, int]) -> bool:
        """Tell whether a link has something to send."""
        return self.sent_to(link) < self.registries[link[0]].changes

    def settle(self, random: Random, most: int) -> bool:
        """Deliver in any order until nobody has news; tell whether that came about.

        Gives up after ``most`` records.
        """
        while waiting := list(filter(self.has_news, self.links)):
            self.deliver(random.choice(waiting))
            if self.records_sent > most:
                return False
        return True

    def exchange(self) -> bool:
        """Deliver over all links at the same moment; tell whether anything was."""
        frames: list[tuple[int, list[Upstream]]] = []
        for link in self.links:
            sender, receiver = link
            frames.append((receiver, self.registries[sender].since(self.sent_to(link))))
            self.sent[link] = self.registries[sender].changes
        for receiver, fresh in frames:
            self.records_sent += len(fresh)
            for record in decode_upstreams(map(encode_upstream, fresh)):
                self.registries[receiver].merge(record, ORIGIN)
        return any(fresh for _, fresh in frames)


def play(hubs: int, boxes: int, upstreams: int, random: Random) -> dict[str, int]:
    """Let every upstream be suspected at two hubs and report once; count records."""
    fleet = Fleet(float, hubs, boxes)
    names = [f'e{number}' for number in range(upstreams)]
    for place, name in enumerate(names):
        fleet.hubs[place % hubs].report(
            report(name, 1, address=f'10.0.0.1:{place + 1}')
        )
    while fleet.exchange():
        fleet.records_sent = 0
    for place, name in enumerate(names):
        for suspecting in random.sample(fleet.registries[:hubs], 2):
            suspecting.suspect(UpstreamIncarnation(name))
        fleet.exchange()
        fleet.hubs[place % hubs].report(
            report(name, 2, address=f'10.0.0.1:{place + 1}')
        )
    rounds = 0
    while fleet.exchange():
        rounds += 1
    return {
        'hubs': hubs,
        'boxes': boxes,
        'upstreams': upstreams,
        'records': fleet.records_sent,
        # Two suspicions and the report that clears them.
        'bound': 3 * upstreams * hubs * (hubs - 1 + boxes),
        'rounds_after_the_last': rounds,
    }


def main(sizes: str = '3x9x12,5x65x95,10x200x200') -> None:
    """Play fleets of so many hubs, boxes and upstreams each."""
    for size in listed(sizes):
        hubs, boxes, upstreams = map(int, size.split('x'))
        append_row(OUTPUT, play(hubs, boxes, upstreams, Random(0)))


if __name__ == '__main__':
    fire.Fire(main)
