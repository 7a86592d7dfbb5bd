"""Everything that an entry box knows of the fleet."""

from dataclasses import dataclass

from hitchdeck_edge.scheduling.books import Books
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry


@dataclass(frozen=True, slots=True)
class Knowledge:
    """Configuration, upstreams, open work, and what accounts ask for."""

    documents: Documents
    registry: Registry
    books: Books
    shares: Shares
