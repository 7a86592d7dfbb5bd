"""How long a request may wait at an engine before it is better refused.

A request that begins too late is late itself and makes others late.  Short of
that, what is refused first is what lies beyond its account's share, and then
what takes much reading for its size: engines serve more in the same time if
they serve what they have in their caches.
"""

from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.placing import Choice, Wanted
from hitchdeck_edge.scheduling.shares import weight_of

GOAL_PART = 1.0
"""Part of a request's goal that it may wait for its engine at most: what waits
longer is late.  Of 0.8 and 1.0 the latter was worth 0.004 more."""

FREE_PART = 0.6
"""Part of the even level up to which an account's requests may wait their
whole time; beyond it the time falls in proportion.  So accounts well below the
level still find room where those at the level fill it."""

LEAST_QUEUE = 0.05
"""Seconds; engines that have no longer queue than that have room to spare, and
then nobody is refused for its share."""

MADE_WORK = 1.4
"""What a token made takes of an engine, in tokens read: some 0.035 ms of each
step (place and context) at 40 tokens read a millisecond."""

FULL_YIELD = 3.0
"""Yield at which a request may wait its whole time: that of a long prompt with
its shared part cached.  Short prompts have 1.3; at 2.0 instead of 3.0 these
were served beyond their shares while long ones were refused (0.009 less)."""

LEAST_YIELD_PART = 0.25
"""Floor of the part of its time that a request may wait for its yield: a kind
of request with a low one must still be served."""


def longest_queue(wanted: Wanted, choice: Choice, standing: float) -> float:
    """Return how long a request may wait before it begins, in seconds.

    Parameters
    ----------
    wanted, choice
        The request, and where it would go.
    standing
        What its account has had, as a part of the even level.
    """
    longest = wanted.goal * GOAL_PART
    if wanted.prompt is None:
        return longest
    longest *= _yield_part(wanted.prompt, choice.tokens)
    if standing > FREE_PART:
        longest *= FREE_PART / standing
    return max(LEAST_QUEUE, longest)


def _yield_part(prompt: Prompt, unread: int) -> float:
    """Return a part between the floor and 1: size against the engine's work."""
    work = unread + MADE_WORK * prompt.expected_made
    gain = weight_of(prompt) / max(1, work)
    return min(1, max(LEAST_YIELD_PART, gain / FULL_YIELD))
