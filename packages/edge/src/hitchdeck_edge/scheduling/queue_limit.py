"""How long a request may wait at an engine before it is better refused.

A request that is known to begin after its goal is refused at once.  One of an
account that has had about its share gives way before that: the further the
account is beyond it, the shorter may its wait be, and shorter still if an
engine must read much for the request's size.  So accounts well below the even
level find room at engines that others keep busy.
"""

from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.scheduling.shares import weight_of

FREE_FRACTION = 0.8
"""Part of the even level up to which an account's requests may wait until they
would begin too late.  At 1 small accounts lost 5 to 9 in 100 of their requests
beside a flood, where the engines gave just what is stated."""

OVER_SHARE_EXPONENT = 2.0
"""How steeply the wait shortens beyond that part.  Of what was owed 0.682 was
earned at 1, 0.702 at 2 and 0.691 at 4 (means of three busy plays in virtual
time, with waits of 0.05 s at least)."""

LATE_FRACTION = 0.25
"""Part of its goal that a prompt may wait which is too long to be read within
its goal: served late it is of use, and refused it would never be served.  At 0.5
short streams behind such prompts earned 0.90 of what they were owed, at 0.25
0.945 (means of four plays with processor time charged), and fewer were refused."""

OUTPUT_TOKEN_WORK = 1.4
"""What a token made takes of an engine, in tokens read: some 0.035 ms of each
step (place and context) at 40 tokens read a millisecond."""

FULL_EFFICIENCY = 3.0
"""Yield from which a request beyond its account's share waits longest: that of
a long prompt with its shared part cached.  Short prompts have 1.3."""

MIN_EFFICIENCY_FACTOR = 0.25
"""Floor of the part of its time that a request may wait for its yield: a kind
of request with a low one must still be served."""


def max_queue_seconds(
    query: PlacementQuery,
    choice: Choice,
    share_used: float,
    *,
    yielding: bool = True,
) -> float:
    """Return how long a request may wait before it begins, in seconds.

    Parameters
    ----------
    wanted, choice
        The request, and where it would go.
    standing
        What its account has had, as a part of the even level.
    yielding
        Whether it matters how much the engine must read.
    """
    longest = max(query.goal * LATE_FRACTION, query.goal - choice.reading)
    if query.prompt is None or share_used <= FREE_FRACTION:
        return longest
    longest *= (FREE_FRACTION / share_used) ** OVER_SHARE_EXPONENT
    if not yielding:
        return float(longest)
    # Just beyond the share the yield hardly counts, so that there is no step.
    beyond = min(1, max(0, share_used - 1))
    return float(longest * _efficiency_factor(query.prompt, choice.tokens) ** beyond)


def _efficiency_factor(prompt: Prompt, unread: int) -> float:
    """Return a part between the floor and 1: size against the engine's work."""
    work = unread + OUTPUT_TOKEN_WORK * prompt.expected_output_tokens
    gain = weight_of(prompt) / max(1, work)
    return min(1, max(MIN_EFFICIENCY_FACTOR, gain / FULL_EFFICIENCY))
