"""Evacuation orders of operators on failure domains."""

from collections.abc import Mapping

from hitchdeck_core.checks import abbreviated
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.wire.spread_pb2 import EvacuationOrder
from hitchdeck_edge.errors import UnknownDomainError
from hitchdeck_edge.hub.documents_client import DocumentsClient
from hitchdeck_edge.model.evacuations import edition_of
from hitchdeck_edge.state.evacuations import Evacuations


@dataclass(frozen=True, slots=True)
class DomainOrders:
    """Accepts evacuation orders at this hub.

    Attributes
    ----------
    documents
        Commits the orders.
    evacuations
        Orders in force.
    areas
        Area of each failure domain of the deployment; if empty, any domain is accepted.
    """

    documents: DocumentsClient
    evacuations: Evacuations
    areas: Mapping[str, str]

    async def evacuate(self, domain: str, *, active: bool) -> None:
        """Commit an order to start or end the evacuation of a failure domain.

        Raises
        ------
        UnknownDomainError
            The deployment has no such domain.
        SupersededError
            A later order on the domain is in force; this one has no effect.
        UnavailableError
            No commit was confirmed in time; the order may still be committed.
        """
        if self.areas and domain not in self.areas:
            raise UnknownDomainError(f'no failure domain {abbreviated(domain)}')
        seen = edition_of(self.evacuations.orders, domain)
        await self.documents.evacuate(
            EvacuationOrder(domain=domain, active=active, seen_edition=seen),
        )
