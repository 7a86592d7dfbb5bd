"""Deployments on paper: engines, kinds of requests, accounts, floods, faults.

They are drawn from ranges, so that no policy is fitted to one of them.
"""

from dataclasses import dataclass, replace
from enum import Enum
from random import Random


@dataclass(frozen=True, slots=True)
class EngineSheet:
    """What one engine can do; times in milliseconds, sizes in tokens.

    A step takes ``step``, ``per_place`` for each running request,
    ``per_context`` for each thousand tokens in memory, ``1 / read`` for each
    token read in it, and ``pairs`` for each million of pairs of a token read
    and one before it.  ``first_delay`` passes before each first event.
    A move of cached tokens between engines takes ``move_setup`` and the time
    of ``token_bytes`` for each of them on a link of ``link_mbps``; none is
    possible at 0.
    """

    places: int
    memory: int
    step: float
    per_place: float
    per_context: float
    read: float
    pairs: float
    chunk: int = 2048
    first_delay: float = 0.0
    token_bytes: float = 0.0
    link_mbps: float = 0.0
    move_setup: float = 0.0

    def slower(self, factor: float) -> 'EngineSheet':
        """Return the sheet of an engine that takes ``factor`` times as long."""
        return replace(
            self,
            step=self.step * factor,
            per_place=self.per_place * factor,
            per_context=self.per_context * factor,
            read=self.read / factor,
            pairs=self.pairs * factor,
        )


@dataclass(frozen=True, slots=True)
class Shared:
    """A part of prompts that stands in many: mean size, and how many exist.

    ``owned`` parts belong to one account each.
    """

    tokens: float
    count: int
    owned: bool


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; sizes in tokens, times in seconds.

    ``spread`` of a size is its standard deviation as a part of its mean.
    ``hint_spread`` is that of the caller's estimate of the tokens made.
    """

    name: str
    per_second: float
    shared: tuple[Shared, ...]
    own: float
    own_spread: float
    own_most: int
    made: float
    made_spread: float
    made_most: int
    goal: float
    gap_goal: float
    limit: float
    worth: float
    late_worth: float
    hint_spread: float = 0.5


@dataclass(frozen=True, slots=True)
class Flood:
    """An account that sends many times its usual for a while."""

    account: int
    factor: float
    begins: float
    lasts: float


@dataclass(frozen=True, slots=True)
class Burst:
    """Some accounts send ``factor`` times their usual, the others ``rest`` times."""

    accounts: frozenset[int]
    factor: float
    rest: float
    begins: float
    lasts: float


@dataclass(frozen=True, slots=True)
class Waves:
    """Traffic that rises and falls by ``swing``, in groups of accounts.

    Group ``n`` of ``groups`` is ``n / groups`` of a ``period`` behind the first.
    """

    swing: float
    period: float
    groups: int


@dataclass(frozen=True, slots=True)
class Stalls:
    """Each engine is ``factor`` times as slow for ``lasts``, some ``every`` seconds."""

    factor: float
    lasts: float
    every: float


class FaultKind(Enum):
    """What happens at a moment."""

    crash = 'crash'
    """Engines lose their runs and caches, and come back under new names."""

    restart = 'restart'
    """Every process of the fleet is killed; runs are lost, caches are not."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: ``count`` engines are hit, for ``lasts`` seconds."""

    kind: FaultKind
    at: float
    lasts: float
    count: int = 0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Everything that a play needs to know; rates are for the whole fleet.

    Attributes
    ----------
    slower
        Factors by which engines in turn take longer than ``sheet``.
    charged
        Whether refusals and waits are charged as the page of the work states.
    waits
        Part of its goal for which a request may wait at the scheduler.
    """

    engines: int
    sheet: EngineSheet
    kinds: tuple[Kind, ...]
    accounts: int
    skew: float
    capacity: float
    seconds: float
    again_seconds: float
    again_price: float
    floods: tuple[Flood, ...]
    faults: tuple[Fault, ...]
    bursts: tuple[Burst, ...] = ()
    waves: Waves | None = None
    slower: tuple[float, ...] = (1,)
    stalls: Stalls | None = None
    charged: bool = False
    waits: float = 0.0

    def with_load(self, factor: float) -> 'Deployment':
        """Return the same deployment with all rates multiplied."""
        kinds = tuple(
            replace(kind, per_second=kind.per_second * factor) for kind in self.kinds
        )
        return replace(self, kinds=kinds)


def draw_deployment(random: Random, *, quiet: bool) -> Deployment:
    """Return a deployment within the ranges of those that were described."""
    sheet = EngineSheet(
        places=random.choice((16, 32, 48, 64)),
        memory=random.randrange(200_000, 600_000),
        step=random.uniform(3, 6),
        per_place=random.uniform(0.01, 0.03),
        per_context=random.uniform(0.004, 0.01),
        read=random.uniform(35, 65),
        pairs=random.uniform(0.2, 0.5),
    )
    engines = random.randrange(6, 15)
    kinds = (_long(random), _middle(random), _short(random))
    deployment = Deployment(
        engines=engines,
        sheet=sheet,
        kinds=kinds,
        accounts=random.randrange(8, 24),
        skew=random.uniform(0.8, 2),
        capacity=0,
        seconds=36,
        again_seconds=random.uniform(7, 12),
        again_price=0.0005,
        floods=_floods(random, quiet=quiet),
        faults=() if quiet else _faults(random, engines),
    )
    return _loaded(deployment, random, quiet=quiet)


def _loaded(deployment: Deployment, random: Random, *, quiet: bool) -> Deployment:
    """Set the rates by what the engines can read, and state a capacity."""
    sheet = deployment.sheet
    busy = sum(
        kind.per_second * (kind.own + kind.made * 4) for kind in deployment.kinds
    )
    able = deployment.engines * sheet.read * 1000
    part = random.uniform(0.25, 0.4) if quiet else random.uniform(0.5, 0.8)
    loaded = deployment.with_load(able * part / busy)
    stated = able * random.uniform(0.4, 0.9)
    return replace(loaded, capacity=stated)


def _long(random: Random) -> Kind:
    return Kind(
        name='long',
        per_second=random.uniform(25, 45),
        shared=(
            Shared(random.uniform(300, 600), 1, owned=False),
            Shared(random.uniform(3500, 6000), random.randrange(150, 300), owned=True),
        ),
        own=random.uniform(2500, 7000),
        own_spread=random.uniform(0.7, 1.5),
        own_most=54_600,
        made=random.uniform(50, 400),
        made_spread=random.uniform(0.4, 0.8),
        made_most=1200,
        goal=random.uniform(0.5, 0.9),
        gap_goal=random.uniform(0.2, 0.4),
        limit=random.uniform(6, 15),
        worth=random.uniform(4, 6.5),
        late_worth=random.uniform(1.2, 3),
    )


def _middle(random: Random) -> Kind:
    return Kind(
        name='middle',
        per_second=random.uniform(40, 60),
        shared=(
            Shared(random.uniform(250, 400), 40, owned=False),
            Shared(random.uniform(150, 300), random.randrange(200, 300), owned=True),
        ),
        own=1800,
        own_spread=random.uniform(0.8, 1.4),
        own_most=6900,
        made=random.uniform(10, 30),
        made_spread=random.uniform(0.6, 1.4),
        made_most=90,
        goal=random.uniform(0.4, 1),
        gap_goal=random.uniform(0.2, 0.4),
        limit=random.uniform(3, 4),
        worth=random.uniform(0.5, 1.2),
        late_worth=random.uniform(0.25, 0.4),
    )


def _short(random: Random) -> Kind:
    return Kind(
        name='short',
        per_second=random.uniform(35, 90),
        shared=(
            Shared(random.uniform(80, 150), 8, owned=False),
            Shared(random.uniform(50, 100), random.randrange(300, 420), owned=True),
        ),
        own=random.uniform(500, 700),
        own_spread=random.uniform(0.8, 1.2),
        own_most=3300,
        made=random.uniform(120, 300),
        made_spread=random.uniform(0.5, 0.8),
        made_most=950,
        goal=random.uniform(0.4, 1),
        gap_goal=random.uniform(0.2, 0.4),
        limit=random.uniform(12, 15),
        worth=random.uniform(0.4, 1.8),
        late_worth=random.uniform(0.1, 0.8),
    )


def _floods(random: Random, *, quiet: bool) -> tuple[Flood, ...]:
    floods: list[Flood] = []
    for begins in (4, 10, 14):
        for _ in range(random.randrange(2, 5 if quiet else 7)):
            account = random.randrange(8)
            factor = random.uniform(2, 9)
            floods.append(Flood(account, factor, begins, random.uniform(5, 8)))
    return tuple(floods)


def _faults(random: Random, engines: int) -> tuple[Fault, ...]:
    return (
        Fault(
            FaultKind.crash,
            random.uniform(8, 14),
            random.uniform(2, 5),
            max(1, round(engines * random.uniform(0.1, 0.25))),
        ),
        Fault(FaultKind.restart, random.uniform(20, 26), random.uniform(0.5, 1.5)),
    )
