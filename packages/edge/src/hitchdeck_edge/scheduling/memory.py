"""Which parts of prompts an upstream's engine probably has in its cache."""

from collections import OrderedDict

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.calls import PartId, Prompt

REMEMBERED_PARTS = 2000
"""For each upstream: more shared parts than its memory can hold."""

REMEMBERED_SECONDS = 20.0
"""An engine evicts what was not used for the longest time; under load its
memory turns over within about half a minute."""


class PrefixMemory:
    """Parts that this box sent to each upstream, and when."""

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.parts: dict[UpstreamName, OrderedDict[PartId, float]] = {}

    def uncached(self, name: UpstreamName, prompt: Prompt) -> int:
        """Return how many tokens of a prompt the engine must read."""
        known = self.parts.get(name)
        if known is None:
            return prompt.tokens
        horizon = self.now() - REMEMBERED_SECONDS
        cached = 0
        for part in prompt.parts:
            if known.get(part.part, float('-inf')) < horizon:
                break
            cached += part.tokens
        return max(0, prompt.tokens - cached)

    def note(self, name: UpstreamName, prompt: Prompt) -> None:
        """Note that a prompt is sent to an upstream."""
        known = self.parts.setdefault(name, OrderedDict())
        for part in prompt.parts:
            known[part.part] = self.now()
            known.move_to_end(part.part)
        while len(known) > REMEMBERED_PARTS:
            known.popitem(last=False)

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop what is known of all other upstreams."""
        for name in self.parts.keys() - names:
            self.parts.pop(name)
