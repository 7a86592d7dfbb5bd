"""Replicated state of the hubs: the newest document, and evacuation orders.

The document with the highest version wins.  For one version the content that is
committed first stays: the log decides which of two operators was first.

An order carries the edition that its hub knew when it received the order.  If a later
order on the same domain has been committed since, the order is a delayed retry and has
no effect.
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
    """Applies log entries in log order, with the same result on every replica."""

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
        """Apply one entry; return whether the state that it requests is in force.

        A new leader commits an entry without content first.
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
        """Replace the state with that of a snapshot."""
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
    """Return a document compressed, as it is stored and sent."""
    return DocumentMessage(version=version, body=zlib.compress(text))
