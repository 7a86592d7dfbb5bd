"""An upstream, as it reports itself to a hub."""

from dataclasses import dataclass
from enum import Enum

from hitchdeck_core.ids import (
    Address,
    InstanceName,
    LifeId,
    PoolName,
    UpstreamName,
)


class Phase(Enum):
    """Where an upstream is in its life."""

    serving = 0
    leaving = 1
    gone = 2


@dataclass(frozen=True, slots=True)
class Upstream:
    """One life of an upstream; every start has a new name.

    Whatever is held about an upstream is held under ``name``, and so about a life.

    Attributes
    ----------
    sequence
        Grows with every report of a life, so that a late one can be told.
    silent
        No hub has heard of it for a while.
    instance
        What it calls itself, in each of its lives.
    born
        Orders the lives of an instance: the time of its start in Unix ms, 0 where
        it does not say; a hub that believes a clock was set back sets it higher.
    """

    name: UpstreamName
    pool: PoolName
    address: Address
    domain: str
    slots: int
    phase: Phase
    sequence: int
    silent: bool = False
    instance: InstanceName = InstanceName('')
    born: int = 0

    @property
    def lineage(self) -> InstanceName:
        """Return what all lives of this upstream have in common."""
        return self.instance or InstanceName(self.name)

    @property
    def age_rank(self) -> tuple[int, UpstreamName]:
        """Return what is higher for a later life of the same instance."""
        return (self.born, self.name)

    @property
    def life(self) -> LifeId:
        """Return what tells this life from every other one."""
        return LifeId(self.name)


def name_of_life(instance: InstanceName, born: int) -> UpstreamName:
    """Return the name of one life of an instance."""
    return UpstreamName(f'{instance}/{born}' if born else instance)
