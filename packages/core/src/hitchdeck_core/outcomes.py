"""What the control group answers to commands.

Apart from the commands, whose codecs take a tenth of a second to build: a
process that only passes outcomes on starts without them.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from hitchdeck_core.ids import Incarnation


class Message(BaseModel):
    """Base of commands and outcomes: immutable and closed."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class Applied(Message):
    """The command took effect; ``version`` is the configuration after it."""

    result: Literal['applied'] = 'applied'
    version: int


class Refused(Message):
    """The command had no effect."""

    result: Literal['refused'] = 'refused'
    code: Literal[
        'number-reused',
        'number-too-old',
        'version-conflict',
        'not-found',
        'invalid',
        'expired',
        'content-conflict',
    ]
    reason: str


class Granted(Message):
    """The claim is the router's: it may dispatch once, now."""

    result: Literal['granted'] = 'granted'


class Settled(Message):
    """The request ran earlier; this is what is kept of its answer."""

    result: Literal['settled'] = 'settled'
    ran: str
    status: int
    content_type: str
    body: str


class Pending(Message):
    """Another router life holds the claim and has not said how it ended."""

    result: Literal['pending'] = 'pending'
    router: str
    incarnation: Incarnation
    request: str


Outcome = Annotated[
    Applied | Refused | Granted | Settled | Pending,
    Field(discriminator='result'),
]
