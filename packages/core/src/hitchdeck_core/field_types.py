"""Types of fields that settings and resources have in common."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from hitchdeck_core.ids import Address

_NAME_PATTERN = r'^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$'
_LAST_PORT = 65535


def check_address(text: str) -> str:
    """Return ``IP:port`` text, or raise ``ValueError`` naming what is wrong."""
    host, colon, port = text.rpartition(':')
    if not colon or not port.isdigit() or int(port) > _LAST_PORT:
        raise ValueError(f'{text!r} is not IP:port')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise ValueError(f'{text!r} has no IP number: {error}') from error
    return text


Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
AddressText = Annotated[Address, AfterValidator(check_address)]


class Section(BaseModel):
    """Base of every section of settings: unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)
