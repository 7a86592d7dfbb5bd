"""Processing of frames from hubs, common to entry boxes and hubs."""

from typing import Protocol

from hitchdeck_core.ids import Address
from hitchdeck_core.quarantine.messages import decode_update
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.wire.spread_pb2 import HubFrame
from hitchdeck_edge.links.records import decode_upstreams
from hitchdeck_edge.model.document import DocumentVersion
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.evacuations import Evacuations
from hitchdeck_edge.state.registry import Registry


class SharedState(Protocol):
    """Fleet state that hubs and entry boxes have in common."""

    @property
    def documents(self) -> Documents:
        """Return the documents, which hold the configuration."""

    @property
    def evacuations(self) -> Evacuations:
        """Return the evacuation orders on failure domains."""

    @property
    def registry(self) -> Registry:
        """Return the registry of upstreams."""

    @property
    def quarantine(self) -> Quarantine:
        """Return the quarantine with its verdicts."""


def apply_hub_frame(hub: Address, frame: HubFrame, known: SharedState) -> None:
    """Merge the document, orders, upstreams and verdicts of a hub's frame."""
    if frame.HasField('document'):
        version = DocumentVersion(int(frame.document.version))
        known.documents.offer(version, frame.document.body, hub)
    # Before the upstreams, so that none of an evacuated domain is used meanwhile.
    known.evacuations.offer(frame.evacuations, hub)
    for upstream in decode_upstreams(frame.upstreams):
        known.registry.merge(upstream, hub)
    if frame.HasField('quarantine'):
        update = decode_update(frame.quarantine, known.quarantine.now())
        known.quarantine.merge(update, hub)
