"""What every box does with news from a hub."""

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
    """What hubs and boxes alike know of the fleet."""

    @property
    def documents(self) -> Documents:
        """Return the configuration."""

    @property
    def evacuations(self) -> Evacuations:
        """Return the orders on failure domains."""

    @property
    def registry(self) -> Registry:
        """Return the upstreams."""

    @property
    def quarantine(self) -> Quarantine:
        """Return the verdicts on contents."""


def apply_hub_frame(hub: Address, frame: HubFrame, known: SharedState) -> None:
    """Take newer documents, orders, upstreams and verdicts from a hub's frame."""
    if frame.HasField('document'):
        version = DocumentVersion(int(frame.document.version))
        known.documents.offer(version, frame.document.body, hub)
    # Before the upstreams: none of an evacuated domain is to be used meanwhile.
    known.evacuations.offer(frame.evacuations, hub)
    for upstream in decode_upstreams(frame.upstreams):
        known.registry.merge(upstream, hub)
    if frame.HasField('quarantine'):
        news = decode_update(frame.quarantine, known.quarantine.now())
        known.quarantine.merge(news, hub)
