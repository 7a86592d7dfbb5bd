"""The newest accepted configuration document that a process knows."""

import zlib
from collections.abc import Callable

from hitchdeck_core import logs
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import Document as DocumentMessage
from hitchdeck_edge.errors import DocumentError
from hitchdeck_edge.model.document import Document, DocumentVersion
from hitchdeck_edge.state.routing import RoutingTable

ReadDocument = Callable[[bytes], Document]


class Documents:
    """Holds the newest accepted document; it never reverts to an earlier version.

    Attributes
    ----------
    packed
        The operator's text, compressed with zlib, as it is stored and sent.
    table
        Routing table of the document in force.
    changed
        Notified of each newer document.
    """

    def __init__(self, read: ReadDocument, changed: Signal) -> None:
        self.read = read
        self.version = DocumentVersion(0)
        self.packed = b''
        self.document: Document | None = None
        self.table = RoutingTable()
        self.changed = changed

    def offer(self, version: DocumentVersion, packed: bytes, origin: str) -> None:
        """Put an accepted document in force if it is newer than the present one."""
        if version <= self.version:
            return
        try:
            document = self.read(zlib.decompress(packed))
        except (DocumentError, zlib.error) as error:
            # Documents are validated before they are accepted, so this is a bug.
            logs.failure('cannot decode an accepted document', error, version=version)
            return
        self.version = version
        self.packed = packed
        self.document = document
        self.table = RoutingTable(document)
        logs.info(
            'document in force',
            version=version,
            origin=origin,
            tokens_per_second=document.limits.tokens_per_second,
            accounts=len(document.accounts),
            routes=len(document.routes),
        )
        self.changed.notify()

    def message(self) -> DocumentMessage:
        """Return the document in force as a message, as it is stored and sent."""
        return DocumentMessage(version=self.version, body=self.packed)
