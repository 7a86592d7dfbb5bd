"""Everything that an entry box knows of the fleet."""

from dataclasses import dataclass

from hitchdeck_edge.scheduling.books import Books
from hitchdeck_edge.scheduling.scheduler import Scheduler
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry


@dataclass(frozen=True, slots=True)
class Knowledge:
    """Configuration, upstreams, open work, and the box's own scheduler."""

    documents: Documents
    registry: Registry
    books: Books
    scheduler: Scheduler
