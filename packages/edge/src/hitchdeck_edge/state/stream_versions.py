"""Whether streams can begin at several software versions."""

from hitchdeck_core.ids import PoolName
from hitchdeck_edge.model.document import Document
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry


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
