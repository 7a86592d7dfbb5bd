"""Estimate of which prompt prefixes each engine has in its cache."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.calls import Part, PartId, Prompt

DEFAULT_CACHE_TOKENS = 400_000
"""Capacity of an engine's cache, in tokens, unless a document states it."""

CACHE_TTL_SECONDS = 20.0
"""Time since its last use after which a part is not expected in the cache: requests
of other boxes, which this one does not see, may have evicted it."""


@dataclass(frozen=True, slots=True)
class CachedPart:
    """A part that an engine has cached: its length in tokens, and its last use.

    ``read`` tells whether the engine has read it; otherwise a request that contains it
    may still be queued there.
    """

    tokens: int
    used: float
    read: bool = False


class EngineCacheModel:
    """Model of one engine's prefix cache, with LRU eviction.

    Attributes
    ----------
    heard_at
        When a first event last came from the engine.
    """

    def __init__(self) -> None:
        self.parts: OrderedDict[PartId, CachedPart] = OrderedDict()
        self.tokens = 0
        self.heard_at = 0.0

    def touch(self, part: Part, now: float, capacity: int) -> None:
        """Record the use of a part; ``capacity`` is the cache size in tokens."""
        known = self.parts.pop(part.part_id, None)
        read = False
        if known is not None:
            self.tokens -= known.tokens
            read = known.read and known.used >= now - CACHE_TTL_SECONDS
        self.parts[part.part_id] = CachedPart(part.tokens, now, read)
        self.tokens += part.tokens
        while self.tokens > capacity:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted.tokens

    def mark_read(self, prompt: Prompt) -> None:
        """Record that the engine has read the parts of a prompt."""
        for part in prompt.parts:
            known = self.parts.get(part.part_id)
            if known is not None and not known.read:
                # The order of use does not change.
                self.parts[part.part_id] = CachedPart(known.tokens, known.used, True)

    def read_tokens(self, prompt: Prompt, horizon: float) -> int:
        """Return the length in tokens of the cached prefix that was read for sure."""
        total = 0
        for part in prompt.parts:
            known = self.parts.get(part.part_id)
            if known is None or not known.read or known.used < horizon:
                break
            total += part.tokens
        return total

    def cached(self, prompt: Prompt, horizon: float) -> int:
        """Return the length in tokens of the cached prefix of a prompt.

        Parts that were last used before ``horizon`` count as not cached.
        """
        total = 0
        for part in prompt.parts:
            known = self.parts.get(part.part_id)
            if known is None or known.used < horizon:
                break
            total += part.tokens
        return total


class PrefixCacheModel:
    """Models of the prefix caches of all engines, from the prompts sent to each.

    Attributes
    ----------
    size
        Capacity of an engine's cache, in tokens.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.size = DEFAULT_CACHE_TOKENS
        self.engines: dict[UpstreamName, EngineCacheModel] = {}

    def uncached(self, name: UpstreamName, prompt: Prompt) -> int:
        """Return the tokens of a prompt that an engine has not cached."""
        return self.uncached_at([name], prompt)[0]

    def uncached_at(self, names: Iterable[UpstreamName], prompt: Prompt) -> list[int]:
        """Return, for each engine, the tokens of a prompt that it has not cached."""
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
        """Record that a prompt is sent to an engine, which will cache it."""
        engine = self.engines.setdefault(name, EngineCacheModel())
        for part in prompt.parts:
            engine.touch(part, self.now(), self.size)

    def record_read(self, name: UpstreamName, prompt: Prompt | None) -> None:
        """Record a first event, by which an engine has read a prompt, if known."""
        engine = self.engines.get(name)
        if engine is None:
            return
        engine.heard_at = self.now()
        if prompt is not None:
            engine.mark_read(prompt)

    def not_read(self, name: UpstreamName, prompt: Prompt) -> int:
        """Return the tokens of a prompt that an engine has not read and cached yet."""
        engine = self.engines.get(name)
        if engine is None:
            return prompt.tokens
        read = engine.read_tokens(prompt, self.now() - CACHE_TTL_SECONDS)
        return max(0, prompt.tokens - read)

    def heard_at(self, name: UpstreamName) -> float:
        """Return when a first event last came from an engine."""
        engine = self.engines.get(name)
        return engine.heard_at if engine else 0

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop the models of all other upstreams."""
        for name in self.engines.keys() - names:
            self.engines.pop(name)
