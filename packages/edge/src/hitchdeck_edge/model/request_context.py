"""State of a caller's request within an entry box."""

from dataclasses import field

from hitchdeck_core.ids import AccountName, SoftwareVersion, UpstreamName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.fingerprints import (
    Fingerprint,
    RequestKeys,
    fingerprint_of,
    part_fingerprints,
)
from hitchdeck_edge.model.calls import Call
from hitchdeck_edge.model.document import DocumentVersion, Pool, RepeatPolicy, Route
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.model.stream_origins import (
    StreamKey,
    StreamOrigin,
    content_key,
    request_key,
)

THIS_BOX = 'this box'
"""Value of ``decided_by`` for requests that were placed locally."""


@dataclass(slots=True)
class RequestContext:
    """One request, with its route, its account and its progress.

    Attributes
    ----------
    version
        Version of the document by which it was routed.
    arrived, deadline
        When it was received, and when its final response is due, in seconds of the
        local clock.
    tried
        Upstreams that it was sent to, or that were unreachable.
    sent
        Number of upstreams that it was sent to.
    may_have_run
        Whether some upstream may have run it.
    last_event
        Id of the last stream event that the caller received.
    decided_by
        Address of the scheduler that made the last decision, or ``THIS_BOX``.
    areas
        Areas in which it may be served; no restriction if empty.
    priority
        Urgency by its account or route; 0 is the most urgent.
    retry_after
        Seconds after which it can be served, if it was refused and they were predicted.
    origin
        Where the stream that it continues began: set by its first event, or from the
        start if the caller resumes a stream.
    streams
        Keys of that stream; none if nobody can resume it.
    fingerprint
        Digest of account and content; equal for every retry, whatever the request's id.
    keys
        What of it may crash an upstream: its content, or a shared part of its prompt.
    quarantined
        The key for which it was refused, if it was quarantined.
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
    priority: int = 0
    retry_after: float = 0.0
    origin: StreamOrigin | None = None
    quarantined: Fingerprint | None = None
    streams: tuple[StreamKey, ...] = field(init=False)
    fingerprint: Fingerprint = field(init=False)
    keys: RequestKeys = field(init=False)

    def __post_init__(self) -> None:
        """Compute the fingerprints of the request, and the keys of its stream."""
        call = self.call
        self.fingerprint = fingerprint_of(
            call.method,
            call.host.encode(),
            call.target,
            (self.account or '').encode(),
            self.body,
        )
        shared = call.prompt.shared_parts if call.prompt else ()
        parts = part_fingerprints(part.part_id for part in shared)
        self.keys = RequestKeys(self.fingerprint, parts)
        self.streams = ()
        if self.route.streams and self.route.resumable:
            request = call.resumed or call.request
            by_request = (request_key(self.account, request),) if request else ()
            self.streams = (*by_request, content_key(self.fingerprint))

    def placement_query(self, domain: str) -> PlacementQuery:
        """Return the placement query of this request, for a box in ``domain``."""
        return PlacementQuery(
            request=self.call.request,
            pool=self.pool.name,
            domain=domain,
            slots=self.pool.engine.slots if self.pool.engine else 0,
            goal=self.route.goal,
            account=self.account,
            prompt=self.call.prompt,
            tried=frozenset(self.tried),
            resumes=bool(self.sent or self.last_event or self.origin),
            areas=self.areas,
            body_bytes=len(self.body),
            priority=self.priority,
            repeatable=self.repeatable,
            software=self.software,
            streams=self.streams,
        )

    @property
    def software(self) -> SoftwareVersion:
        """Return the version at which its stream must go on; empty if it is new."""
        return self.origin.software if self.origin else SoftwareVersion('')

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may be retried after it may have run."""
        if self.route.streams:
            return self.route.resumable
        return self.route.repeat is RepeatPolicy.freely
