"""What binds when a request is refused, and whether its engines had room.

Load: accounts beyond their share, and prompts too long for their goal, beside engines
with free slots.  A refusal beside room must name the limit that caused it.
"""

from collections.abc import Sequence
from dataclasses import replace
from enum import Enum

from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.scheduling.queue_limit import max_queue_seconds

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
