"""Where a stream began: it goes on only at upstreams of the same software version.

A stream has two keys.  One is made of the id of the caller's request that brought its
first event, which a request that resumes it names.  The other one is made of the
content of the request, for callers that do not name that id.
"""

from typing import NewType

from hitchdeck_core.hashing import short_digest
from hitchdeck_core.ids import AccountName, PoolName, RequestId, SoftwareVersion
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.fingerprints import Fingerprint

StreamKey = NewType('StreamKey', int)
"""A 64-bit hash, which is even if made of an id, and odd if made of a content."""

_KEY_BYTES = 8


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The pool and the software version of the upstream that began a stream.

    The version is empty if streams with this key began at several.
    """

    pool: PoolName
    software: SoftwareVersion


def request_key(account: AccountName | None, request: RequestId) -> StreamKey:
    """Return the key by request; callers choose ids, so the account is part of it."""
    return StreamKey(short_digest(account or '', request) & ~1)


def content_key(fingerprint: Fingerprint) -> StreamKey:
    """Return the key by content, whose fingerprint contains the account."""
    return StreamKey(int.from_bytes(fingerprint[:_KEY_BYTES], 'big') | 1)


def is_by_content(key: StreamKey) -> bool:
    """Tell whether several streams may have a key."""
    return bool(key & 1)
