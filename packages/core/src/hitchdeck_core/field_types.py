"""Field types shared by settings and resources."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from hitchdeck_core.checks import NAME_PATTERN, check_address
from hitchdeck_core.ids import Address

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
AddressText = Annotated[Address, AfterValidator(check_address)]


class Section(BaseModel):
    """Base of all settings sections; rejects unknown keys."""

    model_config = ConfigDict(extra='forbid', frozen=True)
