"""What is asked of a placement, and what it decides."""

from dataclasses import dataclass

from hitchdeck_core.ids import AccountName, PoolName, RequestId, UpstreamName
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.upstreams import Upstream


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """A request that wants an upstream.

    Attributes
    ----------
    request
        The caller's id of it, for the log.
    domain
        Failure domain of the box that will send it.
    slots
        Requests that an engine of the pool runs at once; 0 for plain services.
    goal
        Seconds in which its first event is due.
    tried
        Upstreams that it was sent to, or that could not be reached.
    resumes
        It has begun before, so its account's share does not matter.
    avoid
        Upstreams that want nothing from the box that will send it.
    areas
        Areas in which it may be served; everywhere if empty.
    body_bytes
        Size of its body.
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


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream, and what sending the request there means.

    ``tokens`` must be read there; ``queue`` is the expected time until that
    begins, and ``reading`` how long it will take, in seconds; all are 0 for
    plain services.  ``ticket`` is the scheduler's number for the request, 0 if
    this box chose by itself.
    """

    upstream: Upstream
    tokens: int
    queue: float
    ticket: int = 0
    reading: float = 0.0
