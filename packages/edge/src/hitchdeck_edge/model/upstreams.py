"""An upstream, as it reports itself to a hub."""

from dataclasses import dataclass, field
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
    cleared_by
        Sequence of the first report that clears a suspected crash; 0 if there was
        none.  A suspicion is raised against the newest report that a hub knows.
    instance
        What it calls itself, in each of its lives.
    born
        Orders the lives of an instance: the time of its start in Unix ms, 0 where
        it does not say; a hub that believes a clock was set back sets it higher.
    cold_left
        Seconds that it remains cold, as of this report.  They pass, so two records
        that differ in nothing else are equal.
    """

    name: UpstreamName
    pool: PoolName
    address: Address
    domain: str
    slots: int
    phase: Phase
    sequence: int
    cleared_by: int = 0
    instance: InstanceName = InstanceName('')
    born: int = 0
    cold_left: float = field(default=0.0, compare=False)

    @property
    def unresponsive(self) -> bool:
        """Tell whether it is suspected to have crashed, and not heard of since."""
        return self.sequence < self.cleared_by

    @property
    def rank(self) -> tuple[bool, int]:
        """Return what is higher for the newer of two records of one incarnation."""
        return (self.phase is Phase.gone, self.sequence)

    @property
    def instance_key(self) -> InstanceName:
        """Return what all lives of this upstream have in common."""
        return self.instance or InstanceName(self.name)

    @property
    def incarnation_rank(self) -> tuple[int, UpstreamName]:
        """Return what is higher for a later life of the same instance."""
        return (self.born, self.name)

    @property
    def incarnation(self) -> LifeId:
        """Return what tells this life from every other one."""
        return LifeId(self.name)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspected crash, and the sequence of the first report that clears it."""

    upstream: UpstreamName
    cleared_by: int


def incarnation_name(instance: InstanceName, born: int) -> UpstreamName:
    """Return the name of one life of an instance."""
    return UpstreamName(f'{instance}/{born}' if born else instance)
