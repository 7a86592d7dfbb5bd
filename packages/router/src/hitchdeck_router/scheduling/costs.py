"""Cost of requests, in cost units.

One unit is the cost of a prompt token.  A generated token takes an engine
about twice as long; the same weights are used by Sheng et al., "Fairness in
Serving Large Language Models" (OSDI 2024).  A call to a plain service has a
fixed cost.
"""

PROMPT_TOKEN_COST = 1.0
OUTPUT_TOKEN_COST = 2.0
SERVICE_CALL_COST = 100.0

_CHARACTERS_PER_TOKEN = 4
_TYPICAL_OUTPUT_TOKENS = 128


def prompt_cost(characters: int) -> float:
    """Estimate the cost of a prompt from its length in characters."""
    return max(1, characters // _CHARACTERS_PER_TOKEN) * PROMPT_TOKEN_COST


def cost_hint(characters: int, max_output_tokens: int | None) -> float:
    """Estimate the cost of a request before it runs.

    Parameters
    ----------
    characters
        Length of the prompt in characters.
    max_output_tokens
        The caller's limit on generated tokens, ``None`` for no limit.
    """
    output = min(max_output_tokens or _TYPICAL_OUTPUT_TOKENS, _TYPICAL_OUTPUT_TOKENS)
    return prompt_cost(characters) + output * OUTPUT_TOKEN_COST


def run_cost(prompt_tokens: float, output_tokens: int) -> float:
    """Return the cost of a run from its token counts."""
    return prompt_tokens * PROMPT_TOKEN_COST + output_tokens * OUTPUT_TOKEN_COST
