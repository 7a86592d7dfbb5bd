"""An upstream, as it reports itself to a hub."""

from dataclasses import dataclass
from enum import Enum

from hitchdeck_core.ids import Address, LifeId, PoolName, UpstreamName


class Phase(Enum):
    """Where an upstream is in its life."""

    serving = 0
    leaving = 1
    gone = 2


@dataclass(frozen=True, slots=True)
class Upstream:
    """One life of an upstream; every start draws a new name.

    ``sequence`` grows with every report, so that a late one can be told.
    ``silent`` says that no hub has heard of it for a while.
    """

    name: UpstreamName
    pool: PoolName
    address: Address
    domain: str
    slots: int
    phase: Phase
    sequence: int
    silent: bool = False

    @property
    def life(self) -> LifeId:
        """Return what tells this life from every other one."""
        return LifeId(self.name)
