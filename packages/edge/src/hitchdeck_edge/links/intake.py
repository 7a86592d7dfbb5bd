"""What every box does with news from a hub."""

from hitchdeck_core.ids import Address
from hitchdeck_core.quarantine.messages import decode_news
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.wire.spread_pb2 import HubFrame
from hitchdeck_edge.links.records import decode_upstreams
from hitchdeck_edge.model.document import DocumentVersion
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry


def take_news(
    hub: Address,
    frame: HubFrame,
    documents: Documents,
    registry: Registry,
    quarantine: Quarantine,
) -> None:
    """Take newer documents, upstreams and verdicts from a hub's frame."""
    if frame.HasField('document'):
        version = DocumentVersion(int(frame.document.version))
        documents.offer(version, frame.document.body, hub)
    for upstream in decode_upstreams(frame.upstreams):
        registry.merge(upstream, hub)
    if frame.HasField('quarantine'):
        quarantine.take(decode_news(frame.quarantine, quarantine.now()), hub)
