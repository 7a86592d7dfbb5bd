"""A caller's request, as the product sees it."""

from dataclasses import dataclass
from typing import NewType

from hitchdeck_core.ids import RequestId

PartId = NewType('PartId', str)
"""One part of a prompt; equal parts have equal ids."""

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt, and its length in tokens."""

    part_id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a generation, in tokens; ``parts`` in their order.

    All parts but the last may be shared with other requests.
    ``expected_output_tokens`` is the caller's own estimate of what the engine will make
    where it gives one, else the most that it allows.
    """

    tokens: int
    expected_output_tokens: int
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    Attributes
    ----------
    timeout
        Seconds that the caller waits, or ``None`` if it does not say.
    last_event
        Id of the last event that the caller has of a broken stream.
    headers
        All headers as they came.
    """

    request: RequestId
    method: bytes
    target: bytes
    host: str
    path: str
    key: str
    timeout: float | None
    last_event: str
    prompt: Prompt | None
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class ResponseMarks:
    """What an upstream's answer says besides its content.

    ``sealed`` says that the upstream vouches for it as its own; ``not_run``
    is its word that it did not run the request; ``other_incarnation`` that another
    upstream has the address by now.  ``backoff`` is for how many seconds it wants
    nothing from this box, 0 where it does not say; ``leaving`` that it leaves.
    """

    request: RequestId
    sealed: bool
    not_run: bool
    other_incarnation: bool
    backoff: float = 0.0
    leaving: bool = False
