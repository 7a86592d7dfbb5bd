"""What callers ask for, drawn for a whole play."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from bench.lab.deployment import Deployment, Kind, Shared, Waves
from hitchdeck_core.ids import AccountName


@dataclass(slots=True, eq=False)
class Asked:
    """One request of a caller, and what became of it.

    Attributes
    ----------
    made, expected_made
        Tokens that it will make, and the caller's estimate of them.
    worth
        What its answer is worth in time; ``late_worth`` later.
    earned
        What its answer was worth.
    tries
        How often it came.
    charges
        Parts of its worth that its refusals cost.
    held
        Seconds that it waited at the scheduler before it was refused.
    """

    kind: Kind
    account: AccountName
    at: float
    parts: tuple[tuple[str, int], ...]
    made: int
    expected_made: int
    worth: float
    earned: float = 0.0
    tries: int = 0
    outcome: str = ''
    first: float = 0.0
    charges: float = 0.0
    held: float = 0.0

    @property
    def read(self) -> int:
        """Return the size of the prompt."""
        return sum(tokens for _, tokens in self.parts)

    @property
    def tokens(self) -> int:
        """Return the size that shares count: a token made counts twice."""
        return self.read + 2 * self.made

    @property
    def late_worth(self) -> float:
        """Return what the answer is worth when it comes late."""
        return self.worth * self.kind.late_worth / self.kind.worth


def spread_draw(random: Random, mean: float, spread: float, most: float) -> int:
    """Return a size of a log-normal distribution, at most ``most``."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    size = random.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return max(1, min(int(most), round(size)))


def draw_arrivals(deployment: Deployment, random: Random) -> list[Asked]:
    """Return every request of a play, in order."""
    shares = _account_shares(deployment)
    asked = [
        _ask(deployment, kind, shares, at, random)
        for kind in deployment.kinds
        for at in _times(deployment, kind.per_second, shares, random)
    ]
    asked.sort(key=lambda one: one.at)
    return asked


def _account_shares(deployment: Deployment) -> list[float]:
    weights = [1 / (rank + 1) ** deployment.skew for rank in range(deployment.accounts)]
    return [weight / sum(weights) for weight in weights]


def _times(
    deployment: Deployment,
    rate: float,
    shares: list[float],
    random: Random,
) -> Iterator[float]:
    """Yield the moments of a Poisson process; waves make its rate rise and fall."""
    waves = deployment.waves
    if waves is not None:
        rate *= 1 + waves.swing
    at = random.expovariate(rate)
    while at < deployment.seconds:
        if waves is None or random.random() < _height(waves, shares, at):
            yield at
        at += random.expovariate(rate)


def _height(waves: Waves, shares: list[float], at: float) -> float:
    """Return the traffic of all accounts, as a part of the most that it can be."""
    traffic = sum(
        share * _wave(waves, account, at) for account, share in enumerate(shares)
    )
    return traffic / (1 + waves.swing)


def _draw_account(
    deployment: Deployment,
    shares: list[float],
    at: float,
    random: Random,
) -> int:
    """Return who asks: floods change whose requests come, not how many."""
    weights = [
        share * _factor(deployment, account, at) for account, share in enumerate(shares)
    ]
    return random.choices(range(len(weights)), weights)[0]


def _factor(deployment: Deployment, account: int, at: float) -> float:
    factor = 1.0
    for flood in deployment.floods:
        if flood.account == account and 0 <= at - flood.begins < flood.lasts:
            factor = max(factor, flood.factor)
    for burst in deployment.bursts:
        if 0 <= at - burst.begins < burst.lasts:
            factor = burst.factor if account in burst.accounts else burst.rest
    if deployment.waves is not None:
        factor *= _wave(deployment.waves, account, at)
    return factor


def _wave(waves: Waves, account: int, at: float) -> float:
    turns = at / waves.period + account % waves.groups / waves.groups
    return 1 + waves.swing * math.sin(2 * math.pi * turns)


def _ask(
    deployment: Deployment,
    kind: Kind,
    shares: list[float],
    at: float,
    random: Random,
) -> Asked:
    account = _draw_account(deployment, shares, at, random)
    shared = [
        _shared_part(
            kind.shared[depth], f'{kind.name}-{depth}', account, shares, random
        )
        for depth in range(len(kind.shared))
    ]
    own = spread_draw(random, kind.own, kind.own_spread, kind.own_most)
    made = spread_draw(random, kind.made, kind.made_spread, kind.made_most)
    guess = made * random.lognormvariate(0, kind.hint_spread)
    own_part = (f'{random.getrandbits(48):x}', own)
    size = own + sum(tokens for _, tokens in shared) + 10 * made
    mean = kind.own + sum(one.tokens for one in kind.shared) + 10 * kind.made
    return Asked(
        kind=kind,
        account=AccountName(f'account-{account}'),
        at=at,
        parts=(*shared, own_part),
        made=made,
        expected_made=min(kind.made_most, round(guess)),
        worth=kind.worth * min(4, 0.3 + 0.7 * size / mean),
    )


def _shared_part(
    shared: Shared,
    name: str,
    account: int,
    shares: list[float],
    random: Random,
) -> tuple[str, int]:
    count = shared.count
    if shared.owned:
        count = max(1, round(count * shares[account]))
        name = f'{name}-{account}'
    name = f'{name}-{random.randrange(count)}'
    # Every use of a part has its size: drawn by its name.
    return name, spread_draw(Random(name), shared.tokens, 0.5, shared.tokens * 3)
