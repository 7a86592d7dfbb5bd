"""Settings of a hub and of an entry box; seconds, and addresses as IP:port."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
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
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms

MIN_TOKEN_LENGTH = 8
"""Characters of a fleet token: a shorter one is soon guessed."""

_MAX_HEARTBEAT_SECONDS = 5
_MAX_ELECTION_SECONDS = 60

Check = Callable[[object], object]

_positive = partial(check_number, above=0)
_not_negative = partial(check_number, minimum=0)
_BOX_CHECKS: tuple[tuple[str, Check], ...] = (
    ('box', check_name),
    ('domain', check_name),
    ('stop_grace', _not_negative),
    ('address_ttl', _not_negative),
    ('share_window', _not_negative),
    ('retry_share', _not_negative),
    ('retry_extra', _not_negative),
    ('retry_window', _not_negative),
    ('fleet_token', partial(check_text, min_length=MIN_TOKEN_LENGTH)),
)
_HUB_CHECKS: tuple[tuple[str, Check], ...] = (
    ('may_found', check_boolean),
    ('disks_lost', _not_negative),
    ('report_period', _positive),
    ('heartbeat', partial(check_number, above=0, maximum=_MAX_HEARTBEAT_SECONDS)),
    ('election_timeout', partial(check_number, above=0, maximum=_MAX_ELECTION_SECONDS)),
)


@dataclass(frozen=True, kw_only=True)
class BoxSettings:
    """What a hub and an entry box have in common.

    Attributes
    ----------
    box, domain
        Name of this process in the fleet, and its failure domain.
    seeds
        Addresses of some hubs, for boxes; the others are learned from them.
    areas
        The area of each failure domain of the deployment, as far as stated.
    stop_grace
        How long a planned stop may take before the process is killed.
    address_ttl
        The longest that callers may be told to keep an answer about
        addresses.
    share_window
        Span over which client accounts share capacity.
    retry_share, retry_extra, retry_window
        In each window, sends beyond the first of each request may be this
        part of all requests and so many more, over the whole fleet; either
        may be a fraction.
    mechanisms
        What takes part in deciding; all of it, but for measurements.
    fleet_token
        What the fleet's processes show one another.  The default only keeps
        strangers' frames out where the network itself admits the fleet alone.
    """

    box: str
    domain: str
    seeds: tuple[Address, ...] = ()
    metrics_listen: Address | None = None
    areas: Mapping[str, str] = field(default_factory=dict)
    stop_grace: float = 8
    address_ttl: float = 5
    share_window: float = 4
    retry_share: float = 0.2
    retry_extra: float = 50
    retry_window: float = 10
    mechanisms: Mechanisms = ALL_MECHANISMS
    fleet_token: str = 'hitchdeck-fleet'

    def __post_init__(self) -> None:
        """Raise ``SettingsError``, naming the field, for what can't be used."""
        _check_fields(self, _BOX_CHECKS)
        for seed in self.seeds:
            _check_field('seeds', seed, check_address)
        _check_addresses(self, 'metrics_listen')


@dataclass(frozen=True, kw_only=True)
class EntrySettings(BoxSettings):
    """An entry box: where callers and readiness checks reach it.

    ``relief_listen`` is where other boxes hand connections on to it, if anywhere.
    """

    listen: Address
    ready_listen: Address
    relief_listen: Address | None = None

    def __post_init__(self) -> None:
        """Raise ``SettingsError``, naming the field, for what can't be used."""
        super().__post_init__()
        _check_addresses(self, 'listen', 'ready_listen', 'relief_listen')


@dataclass(frozen=True, kw_only=True)
class HubSettings(BoxSettings):
    """A hub: where boxes, upstreams, operators and callers reach it.

    ``data_folder`` is absent without a disk.  ``may_found`` is set at the
    very first start of a fleet only.  ``disks_lost`` is how many disks may be
    lost at once without loss of what was accepted.  ``report_period`` is the
    time between two reports of one upstream.
    """

    listen: Address
    control_listen: Address
    directory_listen: Address
    data_folder: Path | None = None
    may_found: bool = False
    disks_lost: int = 1
    report_period: float = 1.2
    heartbeat: float = 0.1
    election_timeout: float = 0.6

    def __post_init__(self) -> None:
        """Raise ``SettingsError``, naming the field, for what can't be used."""
        super().__post_init__()
        _check_addresses(self, 'listen', 'control_listen', 'directory_listen')
        _check_fields(self, _HUB_CHECKS)

    @property
    def voters_needed(self) -> int:
        """Return how many voters keep a majority without the lost disks."""
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
