"""Cache-aware choice of an upstream.

The index records where the scheduler itself sent requests.  Cache events of
engines arrive late and incompletely; they may add or remove entries as hints.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from hitchdeck_core.ids import UpstreamName

_MAX_ENTRIES = 20_000


class CacheIndex:
    """Maps prompt prefix blocks and sessions to the upstream that last served them."""

    def __init__(self, max_entries: int = _MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.blocks: OrderedDict[int, UpstreamName] = OrderedDict()
        self.sessions: OrderedDict[str, UpstreamName] = OrderedDict()

    def add(
        self,
        upstream: UpstreamName,
        prefix: Iterable[int],
        session: str = '',
    ) -> None:
        """Record that an upstream has served this prefix and session."""
        for block in prefix:
            self.blocks[block] = upstream
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.max_entries:
            self.blocks.popitem(last=False)
        if not session:
            return
        self.sessions[session] = upstream
        self.sessions.move_to_end(session)
        while len(self.sessions) > self.max_entries:
            self.sessions.popitem(last=False)

    def forget(self, upstream: UpstreamName, blocks: Iterable[int]) -> None:
        """Remove blocks that an upstream reports as evicted."""
        for block in blocks:
            if self.blocks.get(block) == upstream:
                self.blocks.pop(block)

    def lookup(self, prefix: tuple[int, ...], session: str) -> UpstreamName | None:
        """Return the upstream with the session or the longest known prefix."""
        if session in self.sessions:
            return self.sessions[session]
        for block in reversed(prefix):
            if block in self.blocks:
                return self.blocks[block]
        return None


def choose_upstream(
    available: Mapping[UpstreamName, int],
    preferred: UpstreamName | None,
) -> UpstreamName | None:
    """Return the preferred upstream if it has a free slot, else the least loaded.

    A request does not wait for a full upstream that has its cache: computing
    the prompt again costs less than leaving a slot idle.
    """
    if preferred is not None and available.get(preferred, 0) > 0:
        return preferred
    most_free = max(available, key=lambda name: (available[name], name), default=None)
    if most_free is None or available[most_free] <= 0:
        return None
    return most_free
