"""Which entry boxes a caller is told of.

Callers take one of the addresses by chance for every new connection, drop
connections to boxes that a later answer leaves out, and keep an answer for some
seconds.  So an answer names boxes of the caller's own failure domain, as many
as it may; the same ones each time it is asked; and some elsewhere where its
domain has too few left, or has no room left, to carry its callers.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NewType

from hitchdeck_core.hashing import HASH_VALUES, ranked, stable_hash
from hitchdeck_core.ids import Address, BoxName

CallerKey = NewType('CallerKey', str)
"""What is the same each time a caller asks, and differs between callers."""

ELSEWHERE = 1
"""Boxes of other domains in each answer: a caller that gets no new answer
because its domain is lost has somewhere to go.  Each costs a part of the
connections that cross domains, one in 41 where a domain has 40 boxes."""

FEWEST = 16
"""Boxes that an answer names at least, if the fleet has them.  A flood comes from
one domain, in a second, and what was told stays in use for some: five boxes of a
small domain had no processor time left for 20 s, and 0.18 of what their callers
were owed was earned.  To cross costs a fiftieth of a long request's worth."""

LEAST_PART = 0.5
"""Part of a usual domain's boxes that a domain's callers get at least.  With
half of its boxes lost a domain still carries its callers; with fewer, others
take part."""

BUSY = 0.15
"""Part of its time that a box works from which a domain's callers are sent
elsewhere too.  A flood asks for five to ten times as much within a second, and
callers keep what they were told for some: the rest has to carry it until then."""

FULL = 0.5
"""Part of its time from which a box is given as little as it can be: requests
wait for each other in it, and its answers come late."""

MOST_ELSEWHERE = 4.0
"""Boxes elsewhere for each at home where those have no room at all: a flood of a
fifth of the callers is carried by all boxes then."""

UNEVEN = 1.2
"""Utilization of a box over the mean of an answer above which it is told to a part of
the callers only."""

DAMPING = 0.75
"""Exponent below 1, so that a box whose callers have left does not get all of them
back at once."""

FEWEST_KEPT = 3
"""Boxes that an answer still names when overloaded ones are left out."""

ALONE_AT_LEAST = 8
"""Boxes without a hub beside them that a domain must have before those with one
are left out: a hub answers the fleet, on the same processor."""

_SPREAD = 'spread'


@dataclass(frozen=True, slots=True)
class Door:
    """An entry box that is ready: where callers reach it.

    ``beside_hub`` tells whether a hub runs on the same machine, ``busy`` which
    part of its time the box worked of late, from 0 to 1.
    """

    address: Address
    box: BoxName
    domain: str
    beside_hub: bool
    busy: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller is told: boxes of its own domain, and others."""

    near: tuple[Address, ...]
    elsewhere: tuple[Address, ...]

    @property
    def addresses(self) -> list[Address]:
        """Return all of them, in an order that says nothing."""
        return sorted({*self.near, *self.elsewhere})


def answer_for(
    caller: CallerKey,
    domain: str,
    doors: Collection[Door],
    most: int,
) -> Answer:
    """Return what a caller in a domain is told.

    Parameters
    ----------
    caller
        Who asks: it gets the same boxes each time, as far as they are ready.
    domain
        Its failure domain; one without boxes has all of them elsewhere.
    doors
        The boxes that are ready.
    most
        How many addresses an answer may hold.
    """
    near = _spared(door for door in doors if door.domain == domain)
    far = _with_room(door for door in doors if door.domain != domain)
    spare = max(ELSEWHERE, _enough(doors) - len(near), _relief(near))
    shown = _shown_elsewhere(len(near), min(spare, len(far)), most)
    return Answer(
        near=_draw(caller, near, most - shown),
        elsewhere=_draw(caller, far, shown),
    )


def doors_in_areas(
    doors: Sequence[Door],
    domain: str,
    homes: frozenset[str],
    areas: Mapping[str, str],
) -> Sequence[Door]:
    """Return the boxes for a host whose requests have homes, all where it has none.

    Those of the caller's area and of homes; if none of them is ready, any box.

    Parameters
    ----------
    domain
        Failure domain of the caller.
    homes
        Areas in which requests to the host may be served; everywhere if empty.
    areas
        The area of each failure domain.
    """
    if not homes:
        return doors
    allowed = homes | {areas.get(domain)}
    return [door for door in doors if areas.get(door.domain) in allowed] or doors


def spread_load(
    caller: CallerKey, answer: Answer, doors: Iterable[Door]
) -> list[Address]:
    """Return an answer's addresses without some of the overloaded boxes.

    Some callers stay with one of the addresses that they are told, all of an account
    with the same one.  A box that works more than the others is told to a part of the
    callers, the same ones each time, so that the rest go elsewhere.
    """
    busy = {door.address: door.busy for door in doors}
    told = answer.addresses
    mean = sum(busy[one] for one in told) / max(1, len(told))
    level = max(BUSY, UNEVEN * mean)
    kept = [
        address
        for address in told
        if busy[address] <= level
        or _draw_part(caller, address) < math.pow(level / busy[address], DAMPING)
    ]
    if len(kept) >= min(FEWEST_KEPT, len(told)):
        return kept
    return told


def _draw_part(caller: CallerKey, address: Address) -> float:
    """Return a number from 0 to 1, always the same for a caller and a box."""
    # Not the hash by which boxes are drawn: those drawn all rank high by it.
    return stable_hash(_SPREAD, caller, address) / HASH_VALUES


def _enough(doors: Collection[Door]) -> int:
    """Return how many boxes can carry the callers of a usual domain."""
    sizes = Counter(door.domain for door in doors)
    usual = len(doors) / max(1, len(sizes))
    return max(FEWEST, math.ceil(usual * LEAST_PART))


def _shown_elsewhere(near: int, far: int, most: int) -> int:
    """Return how many boxes elsewhere fit, in the proportion that is wanted.

    At least one of either kind is shown, if there is one and room for both.
    """
    if near + far <= most:
        return far
    if not near:
        return most
    part = round(most * far / (near + far))
    return min(most - 1, max(min(far, ELSEWHERE), part))


def _relief(near: Sequence[Door]) -> int:
    """Return how many boxes elsewhere take part of a flood's load.

    None while those at home have room, ``MOST_ELSEWHERE`` for each where they
    have none, and in proportion between, so that what is sent away settles.
    """
    busy = sum(door.busy for door in near) / max(1, len(near))
    over = min(1, max(0, busy - BUSY) / (FULL - BUSY))
    return round(len(near) * MOST_ELSEWHERE * over)


def _with_room(doors: Iterable[Door]) -> list[Door]:
    """Return the boxes that have room, or all of them if none has."""
    given = list(doors)
    return [door for door in given if door.busy < FULL] or given


def _spared(doors: Iterable[Door]) -> list[Door]:
    """Return a domain's boxes, without those beside a hub if it has many."""
    given = list(doors)
    alone = [door for door in given if not door.beside_hub]
    return alone if len(alone) >= ALONE_AT_LEAST else given


def _draw(caller: CallerKey, doors: Sequence[Door], most: int) -> tuple[Address, ...]:
    """Return some boxes by rendezvous: few change when one comes or goes."""
    addresses = [door.address for door in doors]
    if len(addresses) <= most:
        return tuple(addresses)
    return tuple(Address(one) for one in ranked(caller, addresses)[: max(0, most)])
