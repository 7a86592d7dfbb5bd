"""Orders of operators on failure domains."""

from collections.abc import Mapping
from dataclasses import dataclass

from hitchdeck_core.checks import abbreviated
from hitchdeck_core.wire.spread_pb2 import EvacuationOrder
from hitchdeck_edge.errors import UnknownDomainError
from hitchdeck_edge.hub.documents_client import DocumentsClient
from hitchdeck_edge.model.evacuations import edition_of
from hitchdeck_edge.state.evacuations import Evacuations


@dataclass(frozen=True, slots=True)
class DomainOrders:
    """Takes orders at this hub.

    ``areas`` names the failure domains of the deployment; any domain is accepted where
    it is empty.
    """

    documents: DocumentsClient
    evacuations: Evacuations
    areas: Mapping[str, str]

    async def evacuate(self, domain: str, *, active: bool) -> None:
        """Return once an order on a failure domain is committed.

        Raises
        ------
        UnknownDomainError
            The deployment has no such domain.
        UnavailableError
            It may or may not come into force, or a later order is in force.
        """
        if self.areas and domain not in self.areas:
            raise UnknownDomainError(f'no failure domain {abbreviated(domain)}')
        seen = edition_of(self.evacuations.orders, domain)
        await self.documents.evacuate(
            EvacuationOrder(domain=domain, active=active, seen_edition=seen),
        )
