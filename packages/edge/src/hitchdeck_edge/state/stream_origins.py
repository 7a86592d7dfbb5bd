"""Which software version began each recent stream.

It is soft state in two generations.  Records of streams that are still open are
renewed, so that a stream may last longer than a record.
"""

from collections.abc import Iterable

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName, SoftwareVersion
from hitchdeck_edge.model.document import Document
from hitchdeck_edge.model.stream_origins import (
    StreamKey,
    StreamOrigin,
    is_by_content,
)
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry

GENERATION_SECONDS = 30.0
"""A record is kept for one to two generations after its last renewal.  Callers resume a
stream within the time for which they wait for it, some 15 s."""

MAX_GENERATION_RECORDS = 100_000
"""Maximum number of records in a generation: two generations take 18 MB.  At 11,000 new
records a second, those of 5,500 streams, a record is still kept for 9 to 18 s."""

OwnRecord = tuple[StreamKey, StreamOrigin]


class StreamOrigins:
    """Origins of recent streams.

    Attributes
    ----------
    recent, older
        Records of the current generation and of the one before.
    open
        Streams that this process is serving.
    own
        Records of streams that this process serves or served, oldest first, as long as
        they are kept.
    complete_since
        Since when every record of which this process was told is kept, in seconds.
    own_count
        Number of such records so far, with those that were dropped.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.recent: dict[StreamKey, StreamOrigin] = {}
        self.older: dict[StreamKey, StreamOrigin] = {}
        self.open: dict[StreamKey, StreamOrigin] = {}
        self.own: list[OwnRecord] = []
        self.own_count = 0
        self.own_older = 0
        self.began_at = now()
        self.complete_since = self.began_at

    def find(self, key: StreamKey) -> StreamOrigin | None:
        """Return the origin of a stream, without a version if it has several."""
        self._drop_expired()
        return self.recent.get(key) or self.older.get(key)

    def remember(self, keys: Iterable[StreamKey], origin: StreamOrigin) -> None:
        """Record where a stream began, unless the version is unknown."""
        if not origin.software:
            return
        for key in keys:
            known = self.find(key)
            if is_by_content(key) and known not in {None, origin}:
                self.recent[key] = StreamOrigin(origin.pool, SoftwareVersion(''))
            else:
                self.recent[key] = origin

    def begin(self, keys: Iterable[StreamKey], origin: StreamOrigin) -> None:
        """Record the first event of a stream that this process serves."""
        self.remember(keys, origin)
        if not origin.software:
            return
        for key in keys:
            self.open[key] = origin
            self._add_own(key, origin)

    def end(self, keys: Iterable[StreamKey]) -> None:
        """Record that this process no longer serves a stream; its record is kept."""
        for key in keys:
            self.open.pop(key, None)

    def own_since(self, count: int) -> tuple[list[OwnRecord], int]:
        """Return this process's records after the first ``count``, and their number."""
        self._drop_expired()
        dropped = self.own_count - len(self.own)
        return self.own[max(0, count - dropped) :], self.own_count

    def _add_own(self, key: StreamKey, origin: StreamOrigin) -> None:
        self.own.append((key, origin))
        self.own_count += 1

    def _drop_expired(self) -> None:
        """Begin a new generation if the current one is over or full."""
        ended = self.now() - self.began_at > GENERATION_SECONDS
        # Repeated requests have equal keys, so that their records are counted as well.
        largest = max(len(self.recent), len(self.own) - self.own_older)
        if not ended and largest < MAX_GENERATION_RECORDS:
            return
        self.complete_since = self.began_at
        self.began_at = self.now()
        self.older, self.recent = self.recent, {}
        self.own = self.own[self.own_older :]
        self.own_older = len(self.own)
        for key, origin in self.open.items():
            # A content that began at several versions stays one.
            self.remember((key,), origin)
            self._add_own(key, origin)


class StreamVersions:
    """Tells whether the upstreams of resumable streams differ in pool or version.

    Where all of them are alike, no origin can be mistaken for another one.

    Attributes
    ----------
    differ
        The last result.
    counted_at
        Number of the registry's change and version of the document that it is based on.
    """

    def __init__(self, registry: Registry, documents: Documents) -> None:
        self.registry = registry
        self.documents = documents
        self.differ = False
        self.counted_at = (-1, -1)

    def are_several(self) -> bool:
        """Tell whether they differ; those gone count as long as they are known."""
        current = (self.registry.changes, int(self.documents.version))
        if self.counted_at != current:
            self.counted_at = current
            self.differ = len(self._origins()) > 1
        return self.differ

    def _origins(self) -> set[tuple[PoolName, str]]:
        pools = _pools_of_streams(self.documents.document)
        records = self.registry.records.values()
        return {(one.pool, one.software) for one in records if one.pool in pools}


def _pools_of_streams(document: Document | None) -> set[PoolName]:
    if document is None:
        return set()
    resumable = (one for one in document.routes if one.streams and one.resumable)
    return {target.pool for route in resumable for target in route.targets}
