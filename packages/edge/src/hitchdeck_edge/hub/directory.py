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

MIN_OTHER_DOMAINS = 1
"""Boxes of other domains in each answer: a caller that gets no new answer
because its domain is lost has somewhere to go.  Each costs a part of the
connections that cross domains, one in 41 where a domain has 40 boxes."""

MIN_ADDRESSES = 16
"""Boxes that an answer names at least, if the fleet has them.  A flood comes from
one domain, in a second, and what was told stays in use for some: five boxes of a
small domain had no processor time left for 20 s, and 0.18 of what their callers
were owed was earned.  To cross costs a fiftieth of a long request's worth."""

MIN_DOMAIN_FRACTION = 0.5
"""Part of a usual domain's boxes that a domain's callers get at least.  With
half of its boxes lost a domain still carries its callers; with fewer, others
take part."""

BUSY_UTILIZATION = 0.15
"""Part of its time that a box works from which a domain's callers are sent
elsewhere too.  A flood asks for five to ten times as much within a second, and
callers keep what they were told for some: the rest has to carry it until then."""

SATURATED_UTILIZATION = 0.5
"""Part of its time from which a box is given as little as it can be: requests
wait for each other in it, and its answers come late."""

MAX_SPILL_RATIO = 4.0
"""Boxes elsewhere for each at home where those have no room at all: a flood of a
fifth of the callers is carried by all boxes then."""

IMBALANCE_RATIO = 1.2
"""Utilization of a box over the mean of an answer above which it is told to a part of
the callers only."""

DAMPING_EXPONENT = 0.75
"""Exponent below 1, so that a box whose callers have left does not get all of them
back at once."""

MIN_KEPT = 3
"""Boxes that an answer still names when overloaded ones are left out."""

MIN_BOXES_WITHOUT_HUB = 8
"""Boxes without a hub beside them that a domain must have before those with one
are left out: a hub answers the fleet, on the same processor."""

_THINNING_SALT = 'spread'


@dataclass(frozen=True, slots=True)
class ReadyEntry:
    """An entry box that is ready: where callers reach it.

    ``shares_machine_with_hub`` tells whether a hub runs on the same machine,
    ``utilization`` which
    part of its time the box worked of late, from 0 to 1.
    """

    address: Address
    box: BoxName
    domain: str
    shares_machine_with_hub: bool
    utilization: float = 0.0


@dataclass(frozen=True, slots=True)
class AddressSelection:
    """What a caller is told: boxes of its own domain, and others."""

    same_domain: tuple[Address, ...]
    other_domains: tuple[Address, ...]

    @property
    def addresses(self) -> list[Address]:
        """Return all of them, in an order that says nothing."""
        return sorted({*self.same_domain, *self.other_domains})


def select_addresses(
    caller: CallerKey,
    domain: str,
    entries: Collection[ReadyEntry],
    limit: int,
) -> AddressSelection:
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
    same_domain = _prefer_without_hub(
        entry for entry in entries if entry.domain == domain
    )
    other_domains = _unsaturated(entry for entry in entries if entry.domain != domain)
    wanted = max(
        MIN_OTHER_DOMAINS,
        _min_boxes(entries) - len(same_domain),
        _spill_count(same_domain),
    )
    from_other_domains = _other_domains_count(
        len(same_domain), min(wanted, len(other_domains)), limit
    )
    return AddressSelection(
        same_domain=_select(caller, same_domain, limit - from_other_domains),
        other_domains=_select(caller, other_domains, from_other_domains),
    )


def entries_in_areas(
    entries: Sequence[ReadyEntry],
    domain: str,
    allowed_areas: frozenset[str],
    areas: Mapping[str, str],
) -> Sequence[ReadyEntry]:
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
    if not allowed_areas:
        return entries
    allowed = allowed_areas | {areas.get(domain)}
    return [entry for entry in entries if areas.get(entry.domain) in allowed] or entries


def without_overloaded(
    caller: CallerKey, selection: AddressSelection, entries: Iterable[ReadyEntry]
) -> list[Address]:
    """Return an answer's addresses without some of the overloaded boxes.

    Some callers stay with one of the addresses that they are told, all of an account
    with the same one.  A box that works more than the others is told to a part of the
    callers, the same ones each time, so that the rest go elsewhere.
    """
    utilization = {entry.address: entry.utilization for entry in entries}
    addresses = selection.addresses
    mean = sum(utilization[one] for one in addresses) / max(1, len(addresses))
    level = max(BUSY_UTILIZATION, IMBALANCE_RATIO * mean)
    kept = [
        address
        for address in addresses
        if utilization[address] <= level
        or _thinning_fraction(caller, address)
        < math.pow(level / utilization[address], DAMPING_EXPONENT)
    ]
    if len(kept) >= min(MIN_KEPT, len(addresses)):
        return kept
    return addresses


def _thinning_fraction(caller: CallerKey, address: Address) -> float:
    """Return a number from 0 to 1, always the same for a caller and a box."""
    # Not the hash by which boxes are drawn: those drawn all rank high by it.
    return stable_hash(_THINNING_SALT, caller, address) / HASH_VALUES


def _min_boxes(entries: Collection[ReadyEntry]) -> int:
    """Return how many boxes can carry the callers of a usual domain."""
    sizes = Counter(entry.domain for entry in entries)
    mean_size = len(entries) / max(1, len(sizes))
    return max(MIN_ADDRESSES, math.ceil(mean_size * MIN_DOMAIN_FRACTION))


def _other_domains_count(same_domain: int, other_domains: int, limit: int) -> int:
    """Return how many boxes elsewhere fit, in the proportion that is wanted.

    At least one of either kind is shown, if there is one and room for both.
    """
    if same_domain + other_domains <= limit:
        return other_domains
    if not same_domain:
        return limit
    part = round(limit * other_domains / (same_domain + other_domains))
    return min(limit - 1, max(min(other_domains, MIN_OTHER_DOMAINS), part))


def _spill_count(same_domain: Sequence[ReadyEntry]) -> int:
    """Return how many boxes elsewhere take part of a flood's load.

    None while those at home have room, ``MAX_SPILL_RATIO`` for each where they
    have none, and in proportion between, so that what is sent away settles.
    """
    utilization = sum(entry.utilization for entry in same_domain) / max(
        1, len(same_domain)
    )
    over = min(
        1,
        max(0, utilization - BUSY_UTILIZATION)
        / (SATURATED_UTILIZATION - BUSY_UTILIZATION),
    )
    return round(len(same_domain) * MAX_SPILL_RATIO * over)


def _unsaturated(entries: Iterable[ReadyEntry]) -> list[ReadyEntry]:
    """Return the boxes that have room, or all of them if none has."""
    candidates = list(entries)
    return [
        entry for entry in candidates if entry.utilization < SATURATED_UTILIZATION
    ] or candidates


def _prefer_without_hub(entries: Iterable[ReadyEntry]) -> list[ReadyEntry]:
    """Return a domain's boxes, without those beside a hub if it has many."""
    candidates = list(entries)
    without_hub = [entry for entry in candidates if not entry.shares_machine_with_hub]
    return without_hub if len(without_hub) >= MIN_BOXES_WITHOUT_HUB else candidates


def _select(
    caller: CallerKey, entries: Sequence[ReadyEntry], limit: int
) -> tuple[Address, ...]:
    """Return some boxes by rendezvous: few change when one comes or goes."""
    addresses = [entry.address for entry in entries]
    if len(addresses) <= limit:
        return tuple(addresses)
    return tuple(Address(one) for one in ranked(caller, addresses)[: max(0, limit)])
