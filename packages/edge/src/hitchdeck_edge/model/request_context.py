"""A caller's request on its way through an entry box."""

from dataclasses import dataclass, field

from hitchdeck_core.ids import AccountName, UpstreamName
from hitchdeck_core.quarantine.fingerprints import Fingerprint, fingerprint_of
from hitchdeck_edge.model.calls import Call
from hitchdeck_edge.model.document import DocumentVersion, Pool, RepeatPolicy, Route
from hitchdeck_edge.model.placing import PlacementQuery

THIS_BOX = 'this box'
"""Who decided on a request for which no scheduler answered."""


@dataclass(slots=True)
class RequestContext:
    """One request, what was decided on it, and how far it is.

    Attributes
    ----------
    version
        Document under which it was routed.
    arrived, deadline
        When it was read, and when its final answer is due at the latest.
    tried
        Upstreams that it was sent to, or that could not be reached.
    sent
        How many upstreams it was sent to.
    may_have_run
        Whether some upstream may have run it.
    last_event
        Id of the last event of a stream that the caller has.
    decided_by
        The scheduler that decided on it last, or this box.
    areas
        Areas in which it may be served; everywhere if empty.
    fingerprint
        What is the same in each repeat of it, whatever the request's id.
    """

    call: Call
    body: bytes
    route: Route
    pool: Pool
    account: AccountName | None
    version: DocumentVersion
    arrived: float
    deadline: float
    tried: set[UpstreamName] = field(default_factory=set)
    sent: int = 0
    may_have_run: bool = False
    last_event: str = ''
    decided_by: str = ''
    areas: frozenset[str] = frozenset()
    fingerprint: Fingerprint = field(init=False)

    def __post_init__(self) -> None:
        """Take the fingerprint of what the caller sent."""
        call = self.call
        self.fingerprint = fingerprint_of(
            call.method,
            call.host.encode(),
            call.target,
            (self.account or '').encode(),
            self.body,
        )

    def placement_query(self, domain: str) -> PlacementQuery:
        """Return what this request asks of a placement."""
        return PlacementQuery(
            request=self.call.request,
            pool=self.pool.name,
            domain=domain,
            slots=self.pool.engine.slots if self.pool.engine else 0,
            goal=self.route.goal,
            account=self.account,
            prompt=self.call.prompt,
            tried=frozenset(self.tried),
            resumes=bool(self.sent or self.last_event),
            areas=self.areas,
            body_bytes=len(self.body),
        )

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run a second time."""
        if self.route.streams:
            return self.route.resumable
        return self.route.repeat is RepeatPolicy.freely
