"""Placement queries and their results."""

from hitchdeck_core.ids import (
    AccountName,
    PoolName,
    RequestId,
    SoftwareVersion,
    UpstreamName,
)
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.refusals import Refusal, Refused
from hitchdeck_edge.model.stream_origins import StreamKey
from hitchdeck_edge.model.upstreams import Upstream


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Request for which an upstream is to be chosen.

    Attributes
    ----------
    request
        The caller's request id, for the log.
    domain
        Failure domain of the box that will send the request.
    slots
        Concurrent requests per engine of the pool; 0 for plain services.
    goal
        Seconds within which the first event is due.
    tried
        Upstreams that the request was sent to, or that were unreachable.
    resumes
        Whether the request has started before; its account's share then does not
        matter.
    avoid
        Upstreams that requested backoff from the box that will send the request.
    areas
        Areas in which the request may be served; no restriction if empty.
    body_bytes
        Size of the request body.
    priority
        Urgency; 0 is the most urgent.
    longest_wait
        Seconds that the request may wait at the scheduler; 0 for a decision at once.
    waited
        Seconds since it first arrived, if it has waited there or is a retry of a
        refused request.
    repeatable
        Whether it may be sent again after it may have run.
    returned
        Whether it is a retry of a refused request.
    may_move
        Whether a cached part may be taken from another engine.
    software
        Software version of the upstreams that may get the request; any if empty.
    streams
        Keys of the stream that it begins or resumes; none if nobody can resume it.
    """

    request: RequestId
    pool: PoolName
    domain: str
    slots: int
    goal: float
    account: AccountName | None
    prompt: Prompt | None
    tried: frozenset[UpstreamName]
    resumes: bool
    avoid: frozenset[UpstreamName] = frozenset()
    areas: frozenset[str] = frozenset()
    body_bytes: int = 0
    priority: int = 0
    longest_wait: float = 0.0
    waited: float = 0.0
    repeatable: bool = False
    returned: bool = False
    may_move: bool = True
    software: SoftwareVersion = SoftwareVersion('')
    streams: tuple[StreamKey, ...] = ()


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream, and what the request is expected to cost there.

    Attributes
    ----------
    tokens
        Prompt tokens that the engine must read; 0 for plain services.
    queue
        Expected seconds until it begins to read; 0 for plain services.
    ticket
        The scheduler's number for the request; 0 if it was placed locally.
    reading
        Expected seconds that reading takes; 0 for plain services.
    fits
        Whether the engine has a slot, and memory as far as known, free for the
        request now.
    source
        Engine from which the upstream is to take a cached part of the prompt.
    moved
        Prompt tokens that it is expected to take from there.  ``reading`` contains the
        time to read them in case the source fails; ``tokens`` does not contain them.
    """

    upstream: Upstream
    tokens: int
    queue: float
    ticket: int = 0
    reading: float = 0.0
    fits: bool = True
    source: Upstream | None = None
    moved: int = 0


PlacementDecision = Choice | Refusal | Refused
