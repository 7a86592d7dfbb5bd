"""The two loads of ``docs/design/hard-load.md``; accounts and bursts are drawn."""

from dataclasses import replace
from random import Random

from bench.lab.deployment import (
    Burst,
    Deployment,
    EngineSheet,
    Kind,
    Shared,
    Stalls,
    Waves,
)
from hitchdeck_platform.settings import GOAL_WAIT

EVENT_TOKENS = 8
BURST_SECONDS = 7
BURST_BEGINS = (3, 13)
SECONDS = 24
ACCOUNTS = 30
LINK_MBPS = 550_000


def load_a(random: Random) -> Deployment:
    """Return deployment A: some accounts send most of the traffic."""
    sheet = EngineSheet(
        places=64,
        memory=498_732,
        step=3.09,
        per_place=0.102,
        per_context=0,
        read=56.9,
        pairs=0,
        first_delay=13,
        token_bytes=18_432,
        link_mbps=LINK_MBPS,
        move_setup=3.3,
    )
    long = _kind('long', 88.6, (1, 15), (5.5, 0.55))
    middle = _kind('middle', 247, (1, 12), (1, 0.1))
    short = _kind('short', 132, (1.5, 3), (0.39, 0.039))
    bursts = tuple(
        _burst(random, begins, random.randint(1, 14), random.uniform(4, 10), 0.02)
        for begins in BURST_BEGINS
    )
    return Deployment(
        engines=30,
        sheet=sheet,
        kinds=tuple(replace(one, gap_goal=0.6) for one in (long, middle, short)),
        accounts=ACCOUNTS,
        skew=random.uniform(0.8, 1.5),
        capacity=650_000,
        seconds=SECONDS,
        again_seconds=10,
        again_price=0.0005,
        floods=(),
        faults=(),
        bursts=bursts,
        waves=Waves(0.27, 11, 4),
        slower=(1, 1, 1.3),
        charged=True,
        waits=GOAL_WAIT,
    )


def load_b(random: Random) -> Deployment:
    """Return deployment B: fast and slow engines, goals of 0.3 to 0.6 seconds."""
    sheet = EngineSheet(
        places=32,
        memory=783_641,
        step=3.23,
        per_place=0.048,
        per_context=0,
        read=112,
        pairs=0,
        first_delay=47,
        token_bytes=35_136,
        link_mbps=LINK_MBPS,
        move_setup=2.7,
    )
    bursts = tuple(
        _burst(random, begins, random.randint(1, 14), 13, 1) for begins in BURST_BEGINS
    )
    return Deployment(
        engines=30,
        sheet=sheet,
        kinds=(
            _kind('long', 194, (0.601, 12.012), (3.7, 0.37)),
            _kind('middle', 139, (0.3, 12.01), (2, 0.2)),
            _kind('short', 309, (0.4, 2.502), (0.34, 0.034)),
        ),
        accounts=ACCOUNTS,
        skew=random.uniform(0.8, 1.5),
        capacity=1_200_000,
        seconds=SECONDS,
        again_seconds=10,
        again_price=0.0005,
        floods=(),
        faults=(),
        bursts=bursts,
        waves=Waves(0.55, 15, 1),
        # Three engines at the stated rates to one that is 2.2 times as fast.
        slower=(1, 1, 1, 1 / 2.2),
        stalls=Stalls(2.5, 0.6, 8),
        charged=True,
        waits=GOAL_WAIT,
    )


_PROMPTS = {
    # Few exist, one subject shares; mean and most of the own part; events.
    'long': ((512, 3), (4870, 484), (6610, 54_600), 48),
    'middle': ((119, 16), (79, 781), (628, 3300), 36),
    'short': ((341, 40), (227, 718), (1800, 6900), 3),
}


def _kind(
    name: str,
    per_second: float,
    times: tuple[float, float],
    worth: tuple[float, float],
) -> Kind:
    few, subjects, own, events = _PROMPTS[name]
    made = events * EVENT_TOKENS
    return Kind(
        name=name,
        per_second=per_second,
        shared=(Shared(*few, owned=False), Shared(*subjects, owned=True)),
        own=own[0],
        own_spread=1,
        own_most=own[1],
        made=made,
        made_spread=0.6,
        made_most=3 * made,
        goal=times[0],
        gap_goal=0.3,
        limit=times[1],
        worth=worth[0],
        late_worth=worth[1],
    )


def _burst(
    random: Random,
    begins: float,
    count: int,
    factor: float,
    rest: float,
) -> Burst:
    accounts = frozenset(random.sample(range(ACCOUNTS), count))
    return Burst(accounts, factor, rest, begins, BURST_SECONDS)
