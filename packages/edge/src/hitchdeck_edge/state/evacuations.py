"""Evacuation orders for failure domains that a process knows."""

from collections.abc import Callable

from hitchdeck_core import logs
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import EvacuationList
from hitchdeck_edge.model.document import cold_seconds
from hitchdeck_edge.model.evacuations import (
    DomainOrder,
    decode_orders,
    encode_orders,
    evacuated_domains,
)
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry

ApplyDomains = Callable[[frozenset[str]], None]


class Evacuations:
    """Holds the newest committed orders; they never revert to an earlier edition.

    Attributes
    ----------
    edition
        Number of orders that took effect; the same at every process.
    orders
        The last order on each failure domain.
    apply
        Called with the evacuated domains whenever they may have changed.
    changed
        Notified of each newer edition.
    """

    def __init__(self, apply: ApplyDomains, changed: Signal) -> None:
        self.edition = 0
        self.orders: dict[str, DomainOrder] = {}
        self.apply = apply
        self.changed = changed

    def offer(self, message: EvacuationList, origin: str) -> None:
        """Put committed orders in force if they are newer than the present ones."""
        if message.edition <= self.edition:
            return
        self.edition = int(message.edition)
        self.orders = decode_orders(message.orders)
        domains = evacuated_domains(self.orders)
        self.apply(domains)
        logs.info(
            'evacuations in force',
            edition=self.edition,
            domains=sorted(domains),
            origin=origin,
        )
        self.changed.notify()

    def message(self) -> EvacuationList:
        """Return the orders in force as a message, as they are stored and sent."""
        return encode_orders(self.edition, self.orders)


def domain_closer(registry: Registry, documents: Documents) -> ApplyDomains:
    """Return a function that closes evacuated domains in a registry.

    It treats the upstreams of a reopened domain as cold: they may have become cold
    meanwhile, and their latest reports may be from before the evacuation.
    """

    def close(domains: frozenset[str]) -> None:
        for upstream in registry.close_domains(domains):
            seconds = cold_seconds(documents.document, upstream.pool)
            registry.cold.assume(upstream.name, seconds)

    return close
