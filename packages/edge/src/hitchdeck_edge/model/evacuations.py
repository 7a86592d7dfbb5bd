"""Orders by which operators close a failure domain to new work, or reopen it."""

from collections.abc import Iterable, Mapping

from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.wire.spread_pb2 import Evacuation, EvacuationList


@dataclass(frozen=True, slots=True)
class DomainOrder:
    """The last order for a failure domain, and the edition in which it took effect."""

    domain: str
    active: bool
    edition: int


Orders = Mapping[str, DomainOrder]
"""The last order for each failure domain, by domain."""


def evacuated_domains(orders: Orders) -> frozenset[str]:
    """Return the failure domains that are closed to new work."""
    return frozenset(one.domain for one in orders.values() if one.active)


def edition_of(orders: Orders, domain: str) -> int:
    """Return the edition of the last order for a domain, 0 if there was none."""
    known = orders.get(domain)
    return known.edition if known else 0


def is_active(orders: Orders, domain: str) -> bool:
    """Tell whether a failure domain is closed to new work."""
    known = orders.get(domain)
    return known is not None and known.active


def encode_orders(edition: int, orders: Orders) -> EvacuationList:
    """Return the message with all orders as of an edition."""
    return EvacuationList(
        edition=edition,
        orders=[
            Evacuation(domain=one.domain, active=one.active, edition=one.edition)
            for one in orders.values()
        ],
    )


def decode_orders(messages: Iterable[Evacuation]) -> dict[str, DomainOrder]:
    """Decode orders from messages; return them by domain."""
    return {
        one.domain: DomainOrder(one.domain, one.active, int(one.edition))
        for one in messages
    }
