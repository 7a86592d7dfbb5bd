"""The replicated state of a hub: the newest document, and nothing else.

Highest version wins, and the first content committed under a version is the
one that stays; the log decides which of two operators was first.
"""

import zlib
from collections.abc import Callable

from hitchdeck_core.wire.spread_pb2 import Document as DocumentMessage
from hitchdeck_edge.model.document import DocumentVersion

Committed = Callable[[DocumentVersion, bytes], None]


class DocumentMachine:
    """Applies log entries, in log order, the same on every replica."""

    def __init__(self, committed: Committed) -> None:
        self.newest = DocumentMessage()
        self.committed = committed

    def apply(self, command: bytes) -> DocumentVersion:
        """Apply one entry, and return the newest version.

        An entry without content is a new leader's first.
        """
        if command:
            self._take(DocumentMessage.FromString(command))
        return DocumentVersion(int(self.newest.version))

    def dump(self) -> bytes:
        """Return the state for a snapshot."""
        return self.newest.SerializeToString()

    def load(self, encoded: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self._take(DocumentMessage.FromString(encoded))

    def _take(self, document: DocumentMessage) -> None:
        if document.version <= self.newest.version:
            return
        self.newest = document
        self.committed(DocumentVersion(int(document.version)), document.body)


def pack(version: DocumentVersion, text: bytes) -> DocumentMessage:
    """Return a document as it is kept and sent."""
    return DocumentMessage(version=version, body=zlib.compress(text))
