"""Weights of the costs of engines, in tokens to be read."""

from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.placing import PlacementQuery

RUNNING_TOKENS = 40
"""Cost of one running request, in tokens to be read: it makes each step of the engine
a little longer."""

FULL_TOKENS = 20_000
"""Cost, in tokens to be read, of an engine whose slots are all occupied: about the time
until one becomes free."""

FAILURE_TOKENS = 20_000
"""Cost of a lost answer, in tokens to be read.  A request that may be repeated waits
for another engine and is read again there; the others fail."""

REREAD_WEIGHT = 8
"""Cost of each token of a shared part that is read again, relative to a token that
waits.  Besides its own time, rereading delays all other requests and evicts other parts
from the cache.  At 4, 8 and 16 it took 0.069, 0.062 and 0.059 of the owed work, and
0.754, 0.764 and 0.761 was earned (means of three simulations under load, in virtual
time)."""

NEAR_TOKENS = 250
"""Cost reduction for engines in the failure domain of the request's box, whatever their
queue.  A larger one would keep the flood of an account, whose requests mostly come
through one domain, on the engines of that domain."""

FAR_TOKENS_PER_BYTE = 0.7
"""Cost of a byte that crosses failure domains, in tokens to be read."""

BYTES_PER_OUTPUT_TOKEN = 20
"""Response bytes for each output token, with framing."""

NEAR_WAIT_FRACTION = 0.15
"""Fraction of a request's goal.  A nearby engine with a longer queue is preferred only
by ``NEAR_TOKENS``, so that the flood of one domain spreads over all engines."""


def near_tokens(
    query: PlacementQuery, prompt: Prompt, wait: float, read_rate: float
) -> float:
    """Return the cost reduction of a nearby engine with ``wait`` tokens queued."""
    limit = NEAR_WAIT_FRACTION * query.goal * read_rate
    idle_part = max(0, 1 - wait / max(1, limit))
    crossing = query.body_bytes + BYTES_PER_OUTPUT_TOKEN * prompt.expected_output_tokens
    return NEAR_TOKENS + idle_part * FAR_TOKENS_PER_BYTE * crossing
