"""Settings of hubs and entry boxes.

Durations are in seconds, addresses are ``IP:port``.
"""

from collections.abc import Callable, Mapping
from dataclasses import field
from functools import partial
from pathlib import Path

from hitchdeck_core.checks import (
    check_address,
    check_boolean,
    check_name,
    check_number,
    check_text,
)
from hitchdeck_core.errors import SettingsError
from hitchdeck_core.ids import Address
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms

MIN_TOKEN_LENGTH = 8
"""Minimum length of a fleet token, in characters: a shorter one is easily guessed."""

_MAX_HEARTBEAT_SECONDS = 5
_MAX_ELECTION_SECONDS = 60

Check = Callable[[object], object]

_positive = partial(check_number, above=0)
_not_negative = partial(check_number, minimum=0)
_LIMITS = ('capacity', 'memory_limit', 'descriptor_limit')
_BOX_CHECKS: tuple[tuple[str, Check], ...] = (
    ('box', check_name),
    ('domain', check_name),
    ('stop_grace', _not_negative),
    ('address_ttl', _not_negative),
    ('share_window', _not_negative),
    ('goal_wait', partial(check_number, minimum=0, maximum=1)),
    ('retry_share', _not_negative),
    ('retry_extra', _not_negative),
    ('retry_window', _not_negative),
    ('capacity', _not_negative),
    ('memory_limit', _not_negative),
    ('descriptor_limit', _not_negative),
    ('learn_engines', check_boolean),
    ('scheduler_agreement', check_boolean),
    ('share_service_health', check_boolean),
    ('move_cache', check_boolean),
    ('fleet_token', partial(check_text, min_length=MIN_TOKEN_LENGTH)),
)
_HUB_CHECKS: tuple[tuple[str, Check], ...] = (
    ('may_found', check_boolean),
    ('disks_lost', _not_negative),
    ('report_period', _positive),
    ('catch_up', _not_negative),
    ('heartbeat', partial(check_number, above=0, maximum=_MAX_HEARTBEAT_SECONDS)),
    ('election_timeout', partial(check_number, above=0, maximum=_MAX_ELECTION_SECONDS)),
)


@dataclass(frozen=True, kw_only=True)
class BoxSettings:
    """Settings that hubs and entry boxes have in common.

    Attributes
    ----------
    box, domain
        Name of this process in the fleet, and its failure domain.
    seeds
        Addresses at which some hubs accept boxes; the other hubs are discovered
        through them.
    areas
        Area of each failure domain, for the domains whose area is configured.
    stop_grace
        Grace period: how long a graceful stop may take before the process is
        killed, in seconds.
    address_ttl
        Upper bound on the time for which callers may cache the addresses of entry
        boxes, in seconds.
    share_window
        Window over which client accounts share capacity, in seconds.
    goal_wait
        Part of its goal for which a request that an engine can't begin now may wait
        for a place; at 0 it is refused at once.
    retry_share, retry_extra, retry_window
        Retry budget of the whole fleet: in each window of ``retry_window`` seconds,
        at most ``retry_share`` retries per request, plus ``retry_extra`` retries.
        Both may be fractions.
    learn_engines
        Whether the speed of each engine is learned, and its memory tracked; otherwise
        the engines of a pool are taken to be alike.
    scheduler_agreement
        Whether boxes and hubs agree on which schedulers are excluded after losses, and
        hubs that schedule at the same time share their view of engines and accounts.
    share_service_health
        Whether boxes share what they observe of plain services through the scheduler;
        otherwise each goes by its own calls.
    move_cache
        Whether engines may take cached prompt parts from each other, where the document
        allows it.
    mechanisms
        Mechanisms that take part in placing requests.  Some are disabled only for
        measurements.
    capacity
        Processor time of this process in reference cores; 0 if it is not stated.
    memory_limit
        Memory above which this process is killed, in bytes; 0 if it is not stated.
    descriptor_limit
        Maximum number of open descriptors; 0 if it is not stated.
    fleet_token
        Shared secret by which the processes of the fleet authenticate one another.
        The default protects only where the network admits no other processes.
    """

    box: str
    domain: str
    seeds: tuple[Address, ...] = ()
    metrics_listen: Address | None = None
    areas: Mapping[str, str] = field(default_factory=dict)
    stop_grace: float = 8
    address_ttl: float = 5
    share_window: float = 4
    goal_wait: float = 0
    retry_share: float = 0.2
    retry_extra: float = 50
    retry_window: float = 10
    learn_engines: bool = False
    scheduler_agreement: bool = False
    share_service_health: bool = False
    move_cache: bool = True
    mechanisms: Mechanisms = ALL_MECHANISMS
    capacity: float = 0
    memory_limit: float = 0
    descriptor_limit: float = 0
    fleet_token: str = 'hitchdeck-fleet'

    def __post_init__(self) -> None:
        """Raise ``SettingsError``, naming the field, if a field is invalid."""
        _check_fields(self, _BOX_CHECKS)
        if not self.mechanisms.box_resources:
            for name in _LIMITS:
                object.__setattr__(self, name, 0)
        for seed in self.seeds:
            _check_field('seeds', seed, check_address)
        _check_addresses(self, 'metrics_listen')


@dataclass(frozen=True, kw_only=True)
class EntrySettings(BoxSettings):
    """Settings of an entry box.

    Attributes
    ----------
    listen
        Address at which callers connect.
    ready_listen
        Address of the readiness check.
    relief_listen
        Address at which overloaded boxes hand off connections to this one, or
        ``None`` if it accepts none.
    stream_reuse
        Whether a stream that is not resumed may use a connection to its upstream that
        was kept for longer than a moment, if the upstream is reachable over it.  It
        saves connections; a connection that fails without a sign costs the stream.
    response_bytes
        Maximum size of a response that is held until it is complete, or that is
        forwarded and is no stream of events, in bytes.
    """

    listen: Address
    ready_listen: Address
    relief_listen: Address | None = None
    stream_reuse: bool = False
    response_bytes: int = 16_777_216

    def __post_init__(self) -> None:
        """Raise ``SettingsError``, naming the field, if a field is invalid."""
        super().__post_init__()
        _check_addresses(self, 'listen', 'ready_listen', 'relief_listen')
        _check_field('response_bytes', self.response_bytes, _positive)
        _check_field('stream_reuse', self.stream_reuse, check_boolean)


@dataclass(frozen=True, kw_only=True)
class HubSettings(BoxSettings):
    """Settings of a hub.

    Attributes
    ----------
    listen
        Address at which entry boxes and other hubs connect.
    control_listen
        Address at which upstreams report and operators send documents and orders.
    directory_listen
        Address at which callers look up entry boxes.
    data_folder
        Where accepted documents and orders are stored; ``None`` without a disk.
    may_found
        Whether this hub may found a new group; set only at the first start of a fleet.
    disks_lost
        How many disks may fail at once without losing an accepted document or order.
    report_period
        Time between two reports of one upstream, in seconds.
    catch_up
        Time after its start or its return from which a hub has to bear the loss of
        others, in seconds.
    heartbeat, election_timeout
        Raft timing of the group of hubs, in seconds.
    """

    listen: Address
    control_listen: Address
    directory_listen: Address
    data_folder: Path | None = None
    may_found: bool = False
    disks_lost: int = 1
    report_period: float = 1.2
    catch_up: float = 4
    heartbeat: float = 0.1
    election_timeout: float = 0.6

    def __post_init__(self) -> None:
        """Raise ``SettingsError``, naming the field, if a field is invalid."""
        super().__post_init__()
        _check_addresses(self, 'listen', 'control_listen', 'directory_listen')
        _check_fields(self, _HUB_CHECKS)

    @property
    def voters_needed(self) -> int:
        """Return how many voters keep a majority when ``disks_lost`` disks fail."""
        return 2 * self.disks_lost + 1


def _check_fields(settings: BoxSettings, checks: tuple[tuple[str, Check], ...]) -> None:
    for name, check in checks:
        _check_field(name, getattr(settings, name), check)


def _check_addresses(settings: BoxSettings, *names: str) -> None:
    for name in names:
        address = getattr(settings, name)
        if address is not None:
            _check_field(name, address, check_address)


def _check_field(name: str, given: object, check: Check) -> None:
    try:
        check(given)
    except ValueError as error:
        raise SettingsError(f'{name}: {error}') from error
