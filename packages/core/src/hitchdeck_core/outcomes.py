"""Outcomes of commands to the control group.

Kept in a module apart from the commands, whose codecs take 0.1 s to build, so
that a process which only forwards outcomes doesn't spend that time at startup.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from hitchdeck_core.ids import Incarnation


class Message(BaseModel):
    """Base of commands, queries and outcomes: immutable, without extra fields."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class Applied(Message):
    """The command was applied; ``version`` is the resulting configuration version."""

    result: Literal['applied'] = 'applied'
    version: int


class Refused(Message):
    """The command was rejected and had no effect."""

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
    """The router holds the claim and may dispatch the request once, now."""

    result: Literal['granted'] = 'granted'


class Settled(Message):
    """The request was executed earlier; this is its stored response."""

    result: Literal['settled'] = 'settled'
    ran: str
    status: int
    content_type: str
    body: str


class Pending(Message):
    """Another router incarnation holds the claim and has reported no outcome."""

    result: Literal['pending'] = 'pending'
    router: str
    incarnation: Incarnation
    request: str


Outcome = Annotated[
    Applied | Refused | Granted | Settled | Pending,
    Field(discriminator='result'),
]
