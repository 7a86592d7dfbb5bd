"""Decoded requests of callers, and decoded marks of upstream responses."""

from typing import NewType

from hitchdeck_core.ids import RequestId
from hitchdeck_core.lazy_dataclasses import dataclass

PartId = NewType('PartId', str)
"""Id of a part of a prompt; parts with equal content have equal ids."""

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt, and its length in tokens."""

    part_id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Prompt of a generation, and its size in tokens.

    Attributes
    ----------
    tokens
        Length of the prompt.
    expected_output_tokens
        The caller's estimate of the output, or the most that it allows if it gives no
        estimate.
    parts
        Parts in the order of the prompt.  All but the last may be shared with other
        requests.
    """

    tokens: int
    expected_output_tokens: int
    parts: tuple[Part, ...]

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """Return the parts that other requests may have too."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller, decoded from its headers.

    Attributes
    ----------
    key
        API key; empty if there is none.
    timeout
        Seconds that the caller waits for the response, or ``None`` if not stated.
    last_event
        Id of the last event that the caller received of an interrupted stream.
    resumed
        Id of the caller's earlier request that brought the first event of that stream;
        empty if the request does not resume one.
    headers
        All headers as received.
    """

    request: RequestId
    method: bytes
    target: bytes
    host: str
    path: str
    key: str
    timeout: float | None
    last_event: str
    resumed: RequestId
    prompt: Prompt | None
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class ResponseMarks:
    """Marks in the status and headers of an upstream's response.

    Attributes
    ----------
    request
        Id of the request that it responds to; empty if not stated.
    sealed
        Whether the upstream marks the response as its own.
    not_run
        Whether the upstream states that it did not run the request.
    other_incarnation
        Whether another upstream has the address by now.
    backoff
        Seconds for which the upstream wants no requests from this box; 0 if not stated.
    leaving
        Whether the upstream is draining and will accept no further requests.
    """

    request: RequestId
    sealed: bool
    not_run: bool
    other_incarnation: bool
    backoff: float = 0.0
    leaving: bool = False
