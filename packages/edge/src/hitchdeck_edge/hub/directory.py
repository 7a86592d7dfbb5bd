"""Selection of the entry boxes whose addresses a caller gets.

For every new connection a caller picks one of the addresses at random.  It caches the
addresses for some seconds, and closes connections to boxes that are missing from a
later response.  A selection therefore holds as many boxes of the caller's failure
domain as fit, the same ones for each request, and boxes of other domains if the
caller's domain has too few boxes or too little capacity left for its callers.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NewType

from hitchdeck_core.hashing import HASH_VALUES, ranked, stable_hash
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_edge.state.headroom import REFERENCE_CAPACITY

CallerKey = NewType('CallerKey', str)
"""Key that identifies a caller: stable over its requests, unique among callers."""

MIN_OTHER_DOMAINS = 1
"""Minimum number of boxes of other domains in each selection.

It lets a caller connect that can't refresh its addresses because its domain has failed.
Each such box adds connections that cross domains: one in 41 if a domain has 40 boxes.
"""

MIN_ADDRESSES = 16
"""Minimum number of boxes in a selection, if the fleet has them.

A domain can be flooded within a second while callers still use cached
addresses: five boxes of a small domain had no processor time left for 20 s, and their
callers got 0.18 of their fair share of work.  To cross domains costs about a fiftieth
of the worth of a long request.
"""

MIN_DOMAIN_FRACTION = 0.5
"""Minimum number of boxes for a domain's callers, as a fraction of the mean size.

A domain that has lost half of its boxes can still serve its callers; with fewer left,
boxes of other domains are added.
"""

BUSY_UTILIZATION = 0.15
"""Mean utilization of a domain above which its callers also get other domains.

A flood multiplies the load by five to ten within a second, and callers keep cached
addresses for some seconds: the remaining capacity has to absorb it until then.
"""

SATURATED_UTILIZATION = 0.5
"""Utilization above which a box gets as few callers as possible.

Requests queue in such a box, and its responses are delayed.
"""

MAX_SPILL_RATIO = 4.0
"""Boxes of other domains per box of the own domain, if that one is saturated.

A flood from a fifth of the callers is then spread over all boxes.
"""

IMBALANCE_RATIO = 1.2
"""A box is left out for some callers if it is this much busier than the selection.

The ratio is that of its utilization to the mean utilization of the selected boxes.
"""

DAMPING_EXPONENT = 0.75
"""Exponent below 1: callers return gradually to a box that was left out."""

MIN_KEPT = 3
"""Minimum number of addresses after overloaded boxes are left out."""

MIN_BOXES_WITHOUT_HUB = 8
"""Boxes without a hub on their machine that a domain needs before others are left out.

A hub serves the whole fleet and shares the processor with the entry box beside it.
"""

_THINNING_SALT = 'spread'
"""Salt of the hash that decides which callers are not given an overloaded box."""


@dataclass(frozen=True, slots=True)
class ReadyEntry:
    """An entry box that is ready for callers.

    Attributes
    ----------
    address
        Where callers connect.
    box
        Name of its machine.
    domain
        Failure domain of the box.
    shares_machine_with_hub
        Whether a hub runs on the same machine.
    utilization
        Fraction of its time for which the box was busy recently, from 0 to 1.
    capacity
        Processor time of the box in reference cores; 0 if it states none.
    """

    address: Address
    box: BoxName
    domain: str
    shares_machine_with_hub: bool
    utilization: float = 0.0
    capacity: float = 0.0


@dataclass(frozen=True, slots=True)
class AddressSelection:
    """Addresses selected for a caller: boxes of its own domain, and of others."""

    same_domain: tuple[Address, ...]
    other_domains: tuple[Address, ...]

    @property
    def addresses(self) -> list[Address]:
        """Return all addresses, sorted: the order implies no preference."""
        return sorted({*self.same_domain, *self.other_domains})


def select_addresses(
    caller: CallerKey,
    domain: str,
    entries: Collection[ReadyEntry],
    limit: int,
) -> AddressSelection:
    """Select the addresses for a caller in a failure domain.

    Parameters
    ----------
    caller
        Identifies the caller, which gets the same boxes each time while they are ready.
    domain
        Failure domain of the caller; if it has no boxes, all are of other domains.
    entries
        The boxes that are ready.
    limit
        Maximum number of addresses.
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
    """Return the boxes that may receive requests to a host with allowed areas.

    These are the boxes in the caller's area and in the allowed areas; all boxes if none
    of them is ready or if the host has no allowed areas.

    Parameters
    ----------
    domain
        Failure domain of the caller.
    allowed_areas
        Areas in which requests to the host may be served; any area if empty.
    areas
        The area of each failure domain.
    """
    if not allowed_areas:
        return entries
    allowed = allowed_areas | {areas.get(domain)}
    return [entry for entry in entries if areas.get(entry.domain) in allowed] or entries


def without_overloaded(
    caller: CallerKey, selection: AddressSelection, entries: Collection[ReadyEntry]
) -> list[Address]:
    """Return the addresses of a selection without some overloaded and small boxes.

    Some callers keep using a single address, the same one for all callers of a client
    account.  A box that is busier than the others is therefore returned to a fraction
    of the callers only, always the same ones, so that the others use another box.

    Callers use the boxes that they are given alike.  Of boxes that differ in capacity,
    each is therefore returned to a fraction of the callers in proportion to its own.
    """
    utilization = {entry.address: entry.utilization for entry in entries}
    addresses = selection.addresses
    mean = sum(utilization[one] for one in addresses) / max(1, len(addresses))
    level = max(BUSY_UTILIZATION, IMBALANCE_RATIO * mean)
    parts = _capacity_fractions(set(addresses), entries)
    uneven = any(part < 1 for part in parts.values())
    for address in addresses:
        if utilization[address] > level:
            parts[address] *= math.pow(level / utilization[address], DAMPING_EXPONENT)
    kept = [
        address
        for address in addresses
        if parts[address] >= 1 or _thinning_fraction(caller, address) < parts[address]
    ]
    if len(kept) >= min(MIN_KEPT, len(addresses)):
        return kept
    return _least_thinned(caller, parts) if uneven else addresses


def _capacity_fractions(
    selected: Collection[Address], entries: Iterable[ReadyEntry]
) -> dict[Address, float]:
    """Return the fraction of callers for each selected box: 1 for the largest ones."""
    capacity = {
        entry.address: entry.capacity or REFERENCE_CAPACITY
        for entry in entries
        if entry.address in selected
    }
    largest = max(capacity.values(), default=REFERENCE_CAPACITY)
    return {address: known / largest for address, known in capacity.items()}


def _least_thinned(caller: CallerKey, parts: Mapping[Address, float]) -> list[Address]:
    """Return ``MIN_KEPT`` addresses: those next to be returned to this caller."""

    def excess(address: Address) -> float:
        return _thinning_fraction(caller, address) / parts[address]

    return sorted(sorted(parts, key=excess)[:MIN_KEPT])


def _thinning_fraction(caller: CallerKey, address: Address) -> float:
    """Return a number from 0 to 1 that is constant for a caller and a box."""
    # Salted, as selected boxes all rank high by the hash that selects them.
    return stable_hash(_THINNING_SALT, caller, address) / HASH_VALUES


def _min_boxes(entries: Collection[ReadyEntry]) -> int:
    """Return the number of boxes that can serve the callers of a mean-sized domain."""
    sizes = Counter(entry.domain for entry in entries)
    mean_size = len(entries) / max(1, len(sizes))
    return max(MIN_ADDRESSES, math.ceil(mean_size * MIN_DOMAIN_FRACTION))


def _other_domains_count(same_domain: int, other_domains: int, limit: int) -> int:
    """Return how many boxes of other domains fit, keeping the wanted proportion.

    At least one box of each kind is included if there is one and the limit allows both.
    """
    if same_domain + other_domains <= limit:
        return other_domains
    if not same_domain:
        return limit
    part = round(limit * other_domains / (same_domain + other_domains))
    return min(limit - 1, max(min(other_domains, MIN_OTHER_DOMAINS), part))


def _spill_count(same_domain: Sequence[ReadyEntry]) -> int:
    """Return how many boxes of other domains are to share the load of a flood.

    None up to ``BUSY_UTILIZATION``, ``MAX_SPILL_RATIO`` per box from
    ``SATURATED_UTILIZATION``, and linear between them, so that the load converges
    instead of oscillating between domains.
    """
    capacity = sum(entry.capacity or REFERENCE_CAPACITY for entry in same_domain)
    used = sum(
        entry.utilization * (entry.capacity or REFERENCE_CAPACITY)
        for entry in same_domain
    )
    utilization = used / capacity if capacity else 0
    over = min(
        1,
        max(0, utilization - BUSY_UTILIZATION)
        / (SATURATED_UTILIZATION - BUSY_UTILIZATION),
    )
    return round(len(same_domain) * MAX_SPILL_RATIO * over)


def _unsaturated(entries: Iterable[ReadyEntry]) -> list[ReadyEntry]:
    """Return the boxes that are not saturated, or all of them if all are."""
    candidates = list(entries)
    return [
        entry for entry in candidates if entry.utilization < SATURATED_UTILIZATION
    ] or candidates


def _prefer_without_hub(entries: Iterable[ReadyEntry]) -> list[ReadyEntry]:
    """Return a domain's boxes; leaves out those beside a hub if enough others exist."""
    candidates = list(entries)
    without_hub = [entry for entry in candidates if not entry.shares_machine_with_hub]
    return without_hub if len(without_hub) >= MIN_BOXES_WITHOUT_HUB else candidates


def _select(
    caller: CallerKey, entries: Sequence[ReadyEntry], limit: int
) -> tuple[Address, ...]:
    """Select boxes by rendezvous hashing: adding or removing a box changes few."""
    addresses = [entry.address for entry in entries]
    if len(addresses) <= limit:
        return tuple(addresses)
    return tuple(Address(one) for one in ranked(caller, addresses)[: max(0, limit)])
