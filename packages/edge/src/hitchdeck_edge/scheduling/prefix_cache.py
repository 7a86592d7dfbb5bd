"""Which parts of prompts an upstream's engine probably has in its cache."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.calls import Part, PartId, Prompt

DEFAULT_CACHE_TOKENS = 400_000
"""An engine's memory where no document states it: the size of today's."""

CACHE_TTL_SECONDS = 20.0
"""What was not used for so long is not counted on: other boxes may have sent
there what this one does not know of."""


@dataclass(frozen=True, slots=True)
class CachedPart:
    """A part in an engine's memory: its tokens, and when it was last used."""

    tokens: int
    used: float


class EngineCacheModel:
    """What one engine keeps: what was unused for the longest time yields."""

    def __init__(self) -> None:
        self.parts: OrderedDict[PartId, CachedPart] = OrderedDict()
        self.tokens = 0

    def touch(self, part: Part, now: float, capacity: int) -> None:
        """Note the use of a part; ``capacity`` is the engine's memory in tokens."""
        known = self.parts.pop(part.part_id, None)
        if known is not None:
            self.tokens -= known.tokens
        self.parts[part.part_id] = CachedPart(part.tokens, now)
        self.tokens += part.tokens
        while self.tokens > capacity:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted.tokens

    def cached(self, prompt: Prompt, horizon: float) -> int:
        """Return how many tokens of a prompt are kept from its start on."""
        total = 0
        for part in prompt.parts:
            known = self.parts.get(part.part_id)
            if known is None or known.used < horizon:
                break
            total += part.tokens
        return total


class PrefixCacheModel:
    """Parts that this box sent to each upstream, and when.

    Attributes
    ----------
    size
        Memory of an engine, in tokens.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.size = DEFAULT_CACHE_TOKENS
        self.engines: dict[UpstreamName, EngineCacheModel] = {}

    def uncached(self, name: UpstreamName, prompt: Prompt) -> int:
        """Return how many tokens of a prompt the engine must read."""
        return self.uncached_at([name], prompt)[0]

    def uncached_at(self, names: Iterable[UpstreamName], prompt: Prompt) -> list[int]:
        """Return how many tokens of a prompt each of some engines must read."""
        horizon = self.now() - CACHE_TTL_SECONDS
        first = prompt.parts[0].part_id if prompt.parts else None
        unread: list[int] = []
        for name in names:
            known = self.engines.get(name)
            if known is None or first not in known.parts:
                unread.append(prompt.tokens)
            else:
                unread.append(max(0, prompt.tokens - known.cached(prompt, horizon)))
        return unread

    def record_prompt(self, name: UpstreamName, prompt: Prompt) -> None:
        """Note that a prompt is sent to an upstream, or has been read there."""
        engine = self.engines.setdefault(name, EngineCacheModel())
        for part in prompt.parts:
            engine.touch(part, self.now(), self.size)

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop what is known of all other upstreams."""
        for name in self.engines.keys() - names:
            self.engines.pop(name)
