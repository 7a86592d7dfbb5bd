"""Longest queueing time for which a request is accepted rather than refused.

A request that is expected to start after its goal is refused at once.  For accounts
near or beyond their fair share the limit is lower: it shrinks with the share that the
account has used, and further for requests that cost an engine much work relative to
their size.  So accounts well below their share find room at engines that
other accounts keep busy.

Where a request is refused all the same, the limit that binds is named, above all beside
engines with free slots.
"""

from collections.abc import Sequence
from dataclasses import replace
from enum import Enum

from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.scheduling.shares import weight_of

FREE_FRACTION = 0.8
"""Fraction of the fair share level up to which an account's requests may wait until
their goal.  At 1, small accounts lost 5% to 9% of their requests to a flood by another
account, on engines that had exactly the stated capacity."""

OVER_SHARE_EXPONENT = 2.0
"""Exponent by which the limit shrinks beyond ``FREE_FRACTION``.  In simulations under
load, 0.682 of the owed work was earned at 1, 0.702 at 2 and 0.691 at 4 (means of three
runs in virtual time, with waits of at least 0.05 s)."""

LATE_FRACTION = 0.25
"""Fraction of its goal for which a prompt may wait that is too long to be read within
its goal.  Served late it is still of use; with no wait allowed it would always be
refused.  Short streams queued behind such prompts earned 0.90 of the owed work at 0.5
and 0.945 at 0.25, with fewer refusals (means of four simulations that charge processor
time)."""

OUTPUT_TOKEN_WORK = 1.4
"""Work that an output token costs an engine, in input tokens: about 0.035 ms of each
step (slot and context) at 40 input tokens per millisecond."""

FULL_EFFICIENCY = 3.0
"""Efficiency from which the limit is not reduced further: that of a long prompt whose
shared part is cached.  Short prompts have 1.3.  Efficiency is a request's size in the
unit of the shares, divided by the work that it costs the engine."""

MIN_EFFICIENCY_FACTOR = 0.25
"""Lower bound of the reduction for low efficiency, so that no kind of request is
always refused."""


MAX_TAKEN_FRACTION = 0.5
"""Fraction of the slots of a pool below which its engines have room."""


class Cause(Enum):
    """The limit that caused a refusal."""

    no_upstream = 'no_upstream'
    """No upstream may get the request at present."""

    share = 'share'
    """Within its share, the account's request would have been sent."""

    places = 'places'
    """The engine has no free slot, or too little free memory."""

    reading = 'reading'
    """Reading the prompt takes longer than its goal."""

    time_left = 'time_left'
    """Too little of its goal is left; a new request would have been sent."""

    queue = 'queue'
    """The engine reads other prompts first, for longer than the goal allows."""


def max_queue_seconds(
    query: PlacementQuery,
    choice: Choice,
    share_used: float,
    *,
    yielding: bool = True,
    even_sizes: bool = False,
    late_retries: bool = True,
) -> float:
    """Return the longest queueing time for a request, in seconds.

    Parameters
    ----------
    query, choice
        The request, and the upstream that it would be sent to.
    share_used
        What its account was granted, as a fraction of the fair share level.
    yielding
        Whether the efficiency of the request counts.
    even_sizes
        Whether the limit is reduced alike for prompts of all sizes: to a part of the
        goal, not of what reading them leaves of it, and whatever their efficiency.
    late_retries
        Whether a retry of a refused request may be late.
    """
    longest = _longest_within_goal(query, choice, late_retries=late_retries)
    if query.prompt is None or share_used <= FREE_FRACTION:
        return longest
    reduction = (FREE_FRACTION / share_used) ** OVER_SHARE_EXPONENT
    if even_sizes:
        return min(longest, _longest_of_any_size(query, choice, reduction))
    longest *= reduction
    if not yielding:
        return float(longest)
    # Blends efficiency in gradually beyond the share, so that there is no step.
    beyond = min(1, max(0, share_used - 1))
    return float(longest * _efficiency_factor(query.prompt, choice.tokens) ** beyond)


def cause_of_refusal(query: PlacementQuery, choice: Choice | None) -> Cause:
    """Return the limit that kept a request from being sent to the best engine.

    Parameters
    ----------
    choice
        The engine with the lowest cost, at which the request would begin too late.
    """
    if choice is None:
        return Cause.no_upstream
    if choice.queue <= max_queue_seconds(query, choice, 0):
        return Cause.share
    if not choice.fits:
        return Cause.places
    if choice.reading >= query.goal:
        return Cause.reading
    if choice.queue <= max_queue_seconds(replace(query, waited=0), choice, 0):
        return Cause.time_left
    return Cause.queue


def has_room(running: Sequence[int], slots: int) -> bool:
    """Tell whether under half of a pool's slots are taken and no request waits there.

    Requests that wait for memory are not known to wait.

    Parameters
    ----------
    running
        Open requests of each engine.
    slots
        Concurrent requests per engine.
    """
    if not running or max(running) > slots:
        return False
    return sum(running) < MAX_TAKEN_FRACTION * slots * len(running)


def _longest_within_goal(
    query: PlacementQuery, choice: Choice, *, late_retries: bool
) -> float:
    """Return the longest queueing time of a request of an account within its share."""
    late = query.goal * LATE_FRACTION
    left = query.goal - query.waited - choice.reading
    if query.waited >= query.goal or choice.reading >= query.goal:
        return late
    # A retry that is refused again is lost; a waiting one may still be retried.
    may_be_late = not query.waited or (query.returned and late_retries)
    return max(late, left) if may_be_late else left


def _longest_of_any_size(
    query: PlacementQuery, choice: Choice, reduction: float
) -> float:
    """Return the longest queueing time beyond the share, alike for all sizes.

    Load: an account beyond its share with prompts that take up to half of their goal to
    read.  A limit in proportion to what reading leaves of the goal is shortest for the
    largest ones, and short ones keep every queue longer than that.
    """
    late = query.goal * LATE_FRACTION
    left = max(0, query.goal - query.waited - choice.reading)
    return float(max(late * reduction, min(left, query.goal * reduction)))


def _efficiency_factor(prompt: Prompt, unread: int) -> float:
    """Return the factor for a request's efficiency, up to 1."""
    work = unread + OUTPUT_TOKEN_WORK * prompt.expected_output_tokens
    gain = weight_of(prompt) / max(1, work)
    return min(1, max(MIN_EFFICIENCY_FACTOR, gain / FULL_EFFICIENCY))
