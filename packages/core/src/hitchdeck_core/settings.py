"""Settings of a process: a TOML file that is validated before startup."""

import tomllib
from enum import Enum
from pathlib import Path
from typing import Any, Self

from pydantic import (
    Field,
    ValidationError,
    model_validator,
)

from hitchdeck_core.errors import SettingsError
from hitchdeck_core.field_types import AddressText, Name, Section
from hitchdeck_core.resources import explain


class Role(Enum):
    """Role of a process."""

    control = 'control'
    router = 'router'


class ControlSection(Section):
    """The ``[control]`` table: a replica of the control group.

    Times are in seconds; ``snapshot_every`` is in log entries;
    ``ledger_retention`` is how long the idempotency keys of non-repeatable requests
    are kept; ``weight_store_rate`` is the throughput of the store that upstreams
    load model weights from, in bytes per second.
    """

    listen: AddressText
    data_folder: Path
    heartbeat: float = Field(default=0.1, gt=0, le=5)
    election_timeout: float = Field(default=0.6, gt=0, le=60)
    snapshot_every: int = Field(default=2000, ge=10)
    router_lease: float = Field(default=3, ge=0.5, le=30)
    ledger_retention: float = Field(default=86_400, ge=1)
    weight_store_rate: float = Field(default=1_000_000_000, gt=0)
    operator_key_hashes: tuple[str, ...] = ()

    @model_validator(mode='after')
    def check_times(self) -> Self:
        """Reject timeouts with which a healthy leader could be deposed."""
        if self.election_timeout < 3 * self.heartbeat:
            raise ValueError('election_timeout must be >= 3 heartbeats')
        return self


class RouterSection(Section):
    """The ``[router]`` table: an entry box.

    Times are in seconds: ``address_ttl`` is how long callers may cache a response
    of ``/v1/addresses``, and ``stop_grace`` limits how long a graceful shutdown
    waits for open streams after that.
    """

    listen: AddressText
    wire_listen: AddressText
    control: tuple[AddressText, ...] = Field(min_length=1)
    address_ttl: float = Field(default=10, ge=0, le=3600)
    stop_grace: float = Field(default=600, ge=0)
    addresses_per_account: int = Field(default=3, ge=1, le=64)
    body_limit: int = Field(default=1_048_576, ge=1024)
    response_limit: int = Field(default=67_108_864, ge=1024)
    attempts: int = Field(default=3, ge=1, le=10)


class Settings(Section):
    """All settings of a process."""

    box: Name
    domain: Name
    fleet_token: str = Field(min_length=8)
    roles: tuple[Role, ...] = Field(min_length=1)
    control: ControlSection | None = None
    router: RouterSection | None = None

    @model_validator(mode='after')
    def check_roles(self) -> Self:
        """Reject a role without its table, and a table without its role."""
        if len(set(self.roles)) < len(self.roles):
            raise ValueError('a role is listed twice')
        tables = {Role.control: self.control, Role.router: self.router}
        for role, table in tables.items():
            if (role in self.roles) != (table is not None):
                raise ValueError(
                    f'role {role.value!r} and table [{role.value}] go together',
                )
        return self

    @model_validator(mode='after')
    def check_addresses(self) -> Self:
        """Reject an address that is used by two listeners."""
        listeners = [table.listen for table in (self.control, self.router) if table]
        if self.router:
            listeners.append(self.router.wire_listen)
        if len(set(listeners)) < len(listeners):
            raise ValueError(f'an address is listened on twice: {listeners}')
        return self


def load_settings(path: Path) -> Settings:
    """Return validated settings, or raise ``SettingsError`` naming the file."""
    try:
        content = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error
    return parse_settings(content, str(path))


def parse_settings(content: dict[str, Any], origin: str) -> Settings:
    """Return validated settings from a mapping; errors name its ``origin``."""
    try:
        return Settings.model_validate(content)
    except ValidationError as error:
        raise SettingsError(f'{origin}: {explain(error)}') from error
