"""The replicated state of a hub: the newest document, and evacuation orders.

Of documents the highest version wins, and the first content committed under a version
is the one that stays; the log decides which of two operators was first.

An order names the edition that its hub knew when it was read.  Where a later order on
the same domain has been committed since, it is a delayed repeat and has no effect.
"""

import zlib
from collections.abc import Callable

from hitchdeck_core.wire.spread_pb2 import Document as DocumentMessage
from hitchdeck_core.wire.spread_pb2 import (
    EvacuationList,
    EvacuationOrder,
    GroupEntry,
)
from hitchdeck_edge.model.document import DocumentVersion
from hitchdeck_edge.model.evacuations import (
    DomainOrder,
    decode_orders,
    edition_of,
    encode_orders,
    is_active,
)

DocumentCommitted = Callable[[DocumentVersion, bytes], None]
EvacuationsCommitted = Callable[[EvacuationList], None]


class GroupStateMachine:
    """Applies log entries, in log order, the same on every replica."""

    def __init__(
        self,
        document_committed: DocumentCommitted,
        evacuations_committed: EvacuationsCommitted,
    ) -> None:
        self.newest = DocumentMessage()
        self.edition = 0
        self.orders: dict[str, DomainOrder] = {}
        self.document_committed = document_committed
        self.evacuations_committed = evacuations_committed

    def apply(self, command: bytes) -> bool:
        """Apply one entry, and tell whether what it asks for holds now.

        An entry without content is a new leader's first.
        """
        entry = GroupEntry.FromString(command)
        if entry.HasField('order'):
            return self._apply_order(entry.order)
        self._apply_document(entry)
        return True

    def dump(self) -> bytes:
        """Return the state for a snapshot."""
        state = GroupEntry(version=self.newest.version, body=self.newest.body)
        if self.edition:
            state.evacuations.CopyFrom(encode_orders(self.edition, self.orders))
        return state.SerializeToString()

    def load(self, encoded: bytes) -> None:
        """Replace the state by that of a snapshot."""
        state = GroupEntry.FromString(encoded)
        self._apply_document(state)
        if state.evacuations.edition > self.edition:
            self.edition = int(state.evacuations.edition)
            self.orders = decode_orders(state.evacuations.orders)
            self.evacuations_committed(state.evacuations)

    def _apply_document(self, entry: GroupEntry) -> None:
        if entry.version <= self.newest.version:
            return
        self.newest = DocumentMessage(version=entry.version, body=entry.body)
        self.document_committed(DocumentVersion(int(entry.version)), entry.body)

    def _apply_order(self, order: EvacuationOrder) -> bool:
        if is_active(self.orders, order.domain) == order.active:
            return True
        if edition_of(self.orders, order.domain) > order.seen_edition:
            return False
        self.edition += 1
        self.orders[order.domain] = DomainOrder(
            order.domain,
            order.active,
            self.edition,
        )
        self.evacuations_committed(encode_orders(self.edition, self.orders))
        return True


def pack_document(version: DocumentVersion, text: bytes) -> DocumentMessage:
    """Return a document as it is kept and sent."""
    return DocumentMessage(version=version, body=zlib.compress(text))
