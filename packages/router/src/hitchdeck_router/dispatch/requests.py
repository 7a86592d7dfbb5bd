"""Admitted requests, and their idempotency keys and prompt prefixes."""

import hashlib
import json
from collections.abc import Callable, Set
from dataclasses import dataclass, field
from typing import Any

from hitchdeck_core.hashing import stable_hash
from hitchdeck_core.ids import (
    AccountName,
    PoolName,
    RequestId,
    SoftwareVersion,
    UpstreamName,
)
from hitchdeck_core.quarantine.fingerprints import (
    MAX_SHARED_PARTS,
    Fingerprint,
    RequestKeys,
    fingerprint_of,
    part_fingerprints,
)
from hitchdeck_core.resources import Urgency
from hitchdeck_core.wire.hitchdeck_pb2 import Ticket

_MAX_PREFIX_BLOCKS = 8


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """An idempotency key; ``issued`` is the time of its creation in Unix seconds."""

    text: str
    issued: float
    digest: str


@dataclass(slots=True)
class AdmittedRequest:
    """A request that passed admission and may be scheduled.

    Attributes
    ----------
    deadline
        Seconds from admission, 0 for none.
    prefix
        Hashes of growing prefixes of the prompt, the shortest first.
    upstream
        Upstream to which it was sent last, for the log.
    software
        Software version that began its response, at which it must go on; ``None``
        until it has begun.
    has_disconnected
        Returns whether the caller has closed the connection, from its socket.
    target
        Method and path of the request.
    parts
        Fingerprints of the parts of its prompt that other requests may have too.
    keys
        What of it may crash an upstream.
    """

    request: RequestId
    account: AccountName
    pool: PoolName
    urgency: Urgency
    deadline: float
    hint: float
    body: bytes
    session: str = ''
    prefix: tuple[int, ...] = ()
    key: IdempotencyKey | None = None
    admitted_at: float = 0.0
    avoid: set[UpstreamName] = field(default_factory=set)
    upstream: str = ''
    software: SoftwareVersion | None = None
    has_disconnected: Callable[[], bool] = bool
    target: str = ''
    parts: tuple[Fingerprint, ...] = ()
    keys: RequestKeys = field(init=False)

    def __post_init__(self) -> None:
        """Compute the fingerprint of the content."""
        target, account = self.target.encode(), self.account.encode()
        content = fingerprint_of(target, account, self.body)
        self.keys = RequestKeys(content, self.parts)

    @property
    def urgency_name(self) -> str:
        """Name of the urgency, a label of histograms."""
        return self.urgency.name

    def ticket(self, now: float, blocked: Set[UpstreamName]) -> Ticket:
        """Return a ticket for the scheduler; ``SlotFinder`` sets its number.

        ``blocked`` are the upstreams that accept no requests from this router.
        """
        left = 0
        if self.deadline:
            left = max(1, int((self.admitted_at + self.deadline - now) * 1000))
        return Ticket(
            account=self.account,
            urgency=self.urgency,
            deadline_ms=left,
            cost_hint=round(self.hint),
            session=self.session,
            prefix=self.prefix,
            avoid=sorted(blocked | self.avoid),
        )


def body_digest(path: str, body: bytes) -> str:
    """Return the digest that must match when a key is reused."""
    return hashlib.sha256(path.encode() + b'\0' + body).hexdigest()


def shared_messages(messages: list[dict[str, Any]]) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of all messages of a conversation but the last."""
    shared = messages[: min(len(messages) - 1, MAX_SHARED_PARTS)]
    return part_fingerprints(json.dumps(one, sort_keys=True) for one in shared)


def prefix_blocks(model: str, messages: list[dict[str, Any]]) -> tuple[int, ...]:
    """Return a hash for each growing prefix of a conversation."""
    blocks = []
    running = model
    for message in messages[:_MAX_PREFIX_BLOCKS]:
        text = json.dumps(message, sort_keys=True)
        running = str(stable_hash(running, text))
        blocks.append(int(running))
    return tuple(blocks)
