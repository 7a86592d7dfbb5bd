"""Where a stream began: it goes on only at upstreams of the same software version."""

from typing import NewType

from hitchdeck_core.hashing import short_digest
from hitchdeck_core.ids import AccountName, PoolName, RequestId, SoftwareVersion
from hitchdeck_core.lazy_dataclasses import dataclass

StreamKey = NewType('StreamKey', int)
"""Hash of an account and the id of its request that brought a stream's first event."""

NO_STREAM = StreamKey(0)
"""Key of a request without an id, which nobody can resume."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The pool and the software version of the upstream that began a stream."""

    pool: PoolName
    software: SoftwareVersion


def stream_key(account: AccountName | None, request: RequestId) -> StreamKey:
    """Return the key of a stream; callers choose the ids of their requests."""
    if not request:
        return NO_STREAM
    return StreamKey(short_digest(account or '', request))
