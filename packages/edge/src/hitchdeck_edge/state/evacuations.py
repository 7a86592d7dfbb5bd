"""The failure domains that a process knows to be evacuated."""

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
    """Keeps the newest committed orders; they never revert to an earlier edition.

    Attributes
    ----------
    edition
        Number of orders that took effect; the same everywhere.
    apply
        Gets the evacuated domains whenever they may have changed.
    changed
        Notified with each newer edition.
    """

    def __init__(self, apply: ApplyDomains, changed: Signal) -> None:
        self.edition = 0
        self.orders: dict[str, DomainOrder] = {}
        self.apply = apply
        self.changed = changed

    def offer(self, message: EvacuationList, origin: str) -> None:
        """Take committed orders if they are newer than those in force."""
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
        """Return the orders in force as they are kept and sent."""
        return encode_orders(self.edition, self.orders)


def domain_closer(registry: Registry, documents: Documents) -> ApplyDomains:
    """Return what closes domains in a registry.

    Upstreams of a domain that is reopened may have turned cold meanwhile, and their
    latest reports may be from before.
    """

    def close(domains: frozenset[str]) -> None:
        for upstream in registry.close_domains(domains):
            seconds = cold_seconds(documents.document, upstream.pool)
            registry.cold.assume(upstream.name, seconds)

    return close
