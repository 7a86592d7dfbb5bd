"""Configuration document: the whole configuration, under one version."""

from enum import Enum
from typing import NewType

from hitchdeck_core.ids import AccountName, PoolName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_edge.errors import DocumentError

DocumentVersion = NewType('DocumentVersion', int)
"""Version of a document; the highest accepted one is in force."""

RouteName = NewType('RouteName', str)


class RepeatPolicy(Enum):
    """Whether a request may be retried after an upstream may have run it."""

    freely = 'freely'
    """The request is idempotent and may run more than once."""

    never = 'never'
    """The request must run at most once for each request id."""


@dataclass(frozen=True, slots=True)
class Target:
    """A pool that gets a part of a route's requests, in proportion to its weight."""

    pool: PoolName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are served.

    Attributes
    ----------
    streams
        Whether responses are streams of events.
    resumable
        Whether an interrupted stream can be resumed at another upstream.
    attempts
        Most upstreams that one request is sent to.
    time_limit
        Seconds after which a request is ended at the latest.
    goal
        Seconds within which a response has its full value.
    gap_goal
        Longest time between two events of a stream that is on time, in seconds.
    needs_key
        Whether a request needs the key of a client account.
    allowed_areas
        Areas in which its requests may be served; no restriction if empty.
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
class CacheLink:
    """What a move of cached tokens between two engines takes.

    Attributes
    ----------
    token_bytes
        Size of one cached token.
    bytes_per_second
        Rate of the link of an engine.
    """

    token_bytes: float
    bytes_per_second: float


@dataclass(frozen=True, slots=True)
class Engine:
    """Resources of each engine of a pool.

    Attributes
    ----------
    slots
        Concurrent requests.
    memory_tokens
        Size of its cache.
    cache_link
        Costs of moves of cached prompt parts; ``None`` if engines can't move any.
    """

    slots: int
    memory_tokens: int
    cache_link: CacheLink | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of upstreams.

    Attributes
    ----------
    connections
        Connection limit that the document states.
    engine
        Resources of its model engines; ``None`` for plain services.
    cold_seconds
        Time for which an upstream is cold after a start during traffic.
    cold_rate
        Requests per second that a cold upstream can handle; 0 if there is no limit.
    """

    name: PoolName
    connections: int
    engine: Engine | None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on requests of callers, in bytes and seconds, and the stated capacity.

    ``tokens_per_second`` is the capacity of all engines together, where input tokens
    count once and output tokens twice; 0 if not stated.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float
    tokens_per_second: float


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, its API keys, and the areas that it is restricted to."""

    name: AccountName
    keys: tuple[str, ...]
    priority: int | None
    allowed_areas: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Document:
    """A whole configuration.

    Attributes
    ----------
    has_accounts
        Whether it names client accounts at all, if only an empty list; without them no
        route needs a key.
    """

    version: DocumentVersion
    routes: tuple[Route, ...]
    pools: dict[PoolName, Pool]
    limits: Limits
    accounts: tuple[ClientAccount, ...]
    has_accounts: bool = True


def cold_seconds(document: Document | None, pool: PoolName) -> float:
    """Return the seconds for which upstreams of a pool are cold after a start."""
    known = document.pools.get(pool) if document else None
    return known.cold_seconds if known else 0


def cold_rate(document: Document | None, pool: PoolName) -> float:
    """Return the requests per second for a cold upstream of a pool; 0 for no limit."""
    known = document.pools.get(pool) if document else None
    return known.cold_rate if known else 0


def cache_link(document: Document | None, pool: PoolName) -> CacheLink | None:
    """Return the costs of moves in a pool; ``None`` if its engines can't move any."""
    known = document.pools.get(pool) if document else None
    return known.engine.cache_link if known and known.engine else None


def urgency(route: Route, account: ClientAccount | None) -> int:
    """Return the priority of a request; that of its account takes precedence."""
    if account is None or account.priority is None:
        return route.priority
    return account.priority


def common_areas(route: Route, account: ClientAccount | None) -> frozenset[str] | None:
    """Return the areas in which a request may be served; no restriction if empty.

    If both route and account are restricted, both restrictions apply; ``None`` if
    they have no area in common.
    """
    if account is None or not account.allowed_areas:
        return route.allowed_areas
    if not route.allowed_areas:
        return account.allowed_areas
    return route.allowed_areas & account.allowed_areas or None


def check_document(document: Document) -> None:
    """Raise ``DocumentError`` unless the parts of a document are consistent."""
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
