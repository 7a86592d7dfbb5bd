"""Memory that running and waiting requests occupy at each engine.

Load that it answers: long prompts that fill the memory of an engine, which then
preempts the newest request and reads it again.
"""

from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_edge.model.calls import Part, PartId, Prompt

GROWTH_LEFT = 0.5
"""Fraction of the output still to be made for which room is kept.  By the time that
some requests have grown, others have ended."""

MAX_OUTPUT_TOKENS = 4096
"""Bound of the output that is expected of one request.  Callers that give no estimate
state the most that they allow, which is far more than is made."""

MIN_RUN_SECONDS = 0.001
"""Lower bound of a run's duration, which is a divisor."""


def exceeds_memory(prompt: Prompt, memory_tokens: int) -> bool:
    """Tell whether a prompt leaves no room for output in an otherwise empty engine.

    Such a request is rejected by every engine, so it need not be sent to one.
    """
    return 0 < memory_tokens <= prompt.tokens


class EngineMemory:
    """What occupies the memory of one engine, in tokens.

    Attributes
    ----------
    shared, uses
        Size of each shared part in use, and the number of requests that use it.
    requests
        Number of open requests.
    prompts
        Own parts, and shared parts in use, each of these once.
    output, started, started_at
        Expected output of all requests, of those that have begun to make it, and the
        sum of their starts weighted with it.
    """

    __slots__ = (
        'output',
        'prompts',
        'requests',
        'shared',
        'started',
        'started_at',
        'uses',
    )

    def __init__(self) -> None:
        self.shared: dict[PartId, int] = {}
        self.uses: dict[PartId, int] = {}
        self.requests = 0
        self.prompts = 0
        self.output = 0
        self.started = 0
        self.started_at = 0.0

    def hold(self, prompt: Prompt) -> None:
        """Count a request that is sent to the engine."""
        self.requests += 1
        self.prompts += own_tokens(prompt)
        for part in shared_parts(prompt):
            uses = self.uses.get(part.part_id, 0)
            self.uses[part.part_id] = uses + 1
            if not uses:
                self.shared[part.part_id] = part.tokens
                self.prompts += part.tokens
        self.output += output_tokens(prompt)

    def start(self, prompt: Prompt, now: float) -> None:
        """Count a request that begins to make output."""
        self.started += output_tokens(prompt)
        self.started_at += output_tokens(prompt) * now

    def release(self, prompt: Prompt, started: float | None) -> None:
        """Remove a request that has ended, which began its output at ``started``."""
        self.requests -= 1
        self.prompts -= own_tokens(prompt)
        for part in shared_parts(prompt):
            self.uses[part.part_id] -= 1
            if not self.uses[part.part_id]:
                self.uses.pop(part.part_id)
                self.prompts -= self.shared.pop(part.part_id)
        self.output -= output_tokens(prompt)
        if started is not None:
            self.started -= output_tokens(prompt)
            self.started_at -= output_tokens(prompt) * started

    def made(self, now: float, run_seconds: float) -> float:
        """Return the output made so far, which grows evenly over a run."""
        if not self.started:
            return 0
        grown = (self.started * now - self.started_at) / max(
            MIN_RUN_SECONDS, run_seconds
        )
        return min(self.started, max(0, grown))

    def occupied(self, now: float, run_seconds: float) -> float:
        """Return the tokens in use, with room for some of the output to come."""
        made = self.made(now, run_seconds)
        return self.prompts + made + GROWTH_LEFT * (self.output - made)

    def need(self, prompt: Prompt) -> int:
        """Return what a request would add: shared parts in use are there already."""
        return (
            own_tokens(prompt)
            + output_tokens(prompt)
            + sum(
                part.tokens
                for part in shared_parts(prompt)
                if part.part_id not in self.uses
            )
        )


class MemoryTable:
    """Memory in use by engine, from the open requests whose prompts are known.

    Attributes
    ----------
    sizes
        Memory of each engine of a pool, in tokens, as the document states it.
    """

    def __init__(self) -> None:
        self.sizes: dict[PoolName, int] = {}
        self.engines: dict[UpstreamName, EngineMemory] = {}

    def engine(self, name: UpstreamName) -> EngineMemory:
        """Return the memory of an engine, created if there is none."""
        known = self.engines.get(name)
        if known is None:
            known = EngineMemory()
            self.engines[name] = known
        return known

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop every other engine without open requests."""
        for name in self.engines.keys() - names:
            if not self.engines[name].requests:
                self.engines.pop(name)


def shared_parts(prompt: Prompt) -> tuple[Part, ...]:
    """Return the parts of a prompt that other requests may share."""
    return prompt.parts[:-1]


def own_tokens(prompt: Prompt) -> int:
    """Return the length of what only this request has, in tokens."""
    return max(0, prompt.tokens - sum(part.tokens for part in shared_parts(prompt)))


def output_tokens(prompt: Prompt) -> int:
    """Return the output for which a request needs memory, in tokens."""
    return min(MAX_OUTPUT_TOKENS, prompt.expected_output_tokens)
