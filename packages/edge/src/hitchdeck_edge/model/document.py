"""A document of configuration: one whole, under one version."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from hitchdeck_core.ids import AccountName, PoolName
from hitchdeck_edge.errors import DocumentError

DocumentVersion = NewType('DocumentVersion', int)
"""Version of a document; the highest that was accepted is in force."""

RouteName = NewType('RouteName', str)


class RepeatPolicy(Enum):
    """What a route allows after a request may have run."""

    freely = 'freely'
    """The request may run more than once."""

    never = 'never'
    """The request runs at most once for each id."""


@dataclass(frozen=True, slots=True)
class Target:
    """A share of a route's requests."""

    pool: PoolName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are served; seconds.

    ``time_limit`` is the longest a request may be held, ``goal`` the time in
    which its answer is worth most, ``gap_goal`` the longest pause between two
    events of a stream that is still on time.
    ``allowed_areas`` are the areas in which its
    requests may be served; everywhere if empty.
    """

    name: RouteName
    host: str
    prefix: str
    repeat: RepeatPolicy
    streams: bool
    resumable: bool
    targets: tuple[Target, ...]
    attempts: int
    time_limit: float
    goal: float
    gap_goal: float
    priority: int
    needs_key: bool
    allowed_areas: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Engine:
    """What a pool of model engines has: requests at once, memory in tokens."""

    slots: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of upstreams; ``engine`` is absent for plain services.

    ``cold_seconds`` is how long its upstreams are cold after a start during traffic,
    ``cold_rate`` how many requests a second each bears meanwhile (0: as many as ever).
    """

    name: PoolName
    connections: int
    engine: Engine | None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what callers send; bytes and seconds.

    ``tokens_per_second`` is what all engines together may be taken to give,
    a token read counted once and a token made twice; 0 where not said.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float
    tokens_per_second: float


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, the keys that stand for it, and its homes; see ``Route``."""

    name: AccountName
    keys: tuple[str, ...]
    priority: int | None
    allowed_areas: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Document:
    """A whole configuration."""

    version: DocumentVersion
    routes: tuple[Route, ...]
    pools: dict[PoolName, Pool]
    limits: Limits
    accounts: tuple[ClientAccount, ...]


def cold_seconds(document: Document | None, pool: PoolName) -> float:
    """Return how long upstreams of a pool are cold after a start, in seconds."""
    known = document.pools.get(pool) if document else None
    return known.cold_seconds if known else 0


def cold_rate(document: Document | None, pool: PoolName) -> float:
    """Return the requests a second that a cold upstream bears, 0 where not limited."""
    known = document.pools.get(pool) if document else None
    return known.cold_rate if known else 0


def common_areas(route: Route, account: ClientAccount | None) -> frozenset[str] | None:
    """Return the areas in which a request may be served; everywhere if empty.

    Where route and account both have homes, both bind; ``None`` if no area is left.
    """
    if account is None or not account.allowed_areas:
        return route.allowed_areas
    if not route.allowed_areas:
        return account.allowed_areas
    return route.allowed_areas & account.allowed_areas or None


def check_document(document: Document) -> None:
    """Raise ``DocumentError`` unless the parts of a document fit together."""
    _check_routes(document)
    seen: set[str] = set()
    for account in document.accounts:
        for key in account.keys:
            if key in seen:
                raise DocumentError(f'account {account.name}: a key stands twice')
            seen.add(key)


def _check_routes(document: Document) -> None:
    places: set[tuple[str, str]] = set()
    for route in document.routes:
        place = (route.host, route.prefix)
        if place in places:
            raise DocumentError(f'route {route.name}: another has {place}')
        places.add(place)
        _check_route(document, route)


def _check_route(document: Document, route: Route) -> None:
    for target in route.targets:
        if target.pool not in document.pools:
            raise DocumentError(f'route {route.name}: no pool {target.pool}')
        if target.weight < 0:
            raise DocumentError(f'route {route.name}: a weight is negative')
    if sum(target.weight for target in route.targets) <= 0:
        raise DocumentError(f'route {route.name}: its weights add up to nothing')
    if route.time_limit <= 0:
        raise DocumentError(f'route {route.name}: its time limit is not positive')
    if route.attempts < 1:
        raise DocumentError(f'route {route.name}: it allows no attempt')
