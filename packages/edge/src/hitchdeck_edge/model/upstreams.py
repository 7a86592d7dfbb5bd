"""Records of upstreams, as they report themselves to a hub."""

from dataclasses import field
from enum import Enum

from hitchdeck_core.ids import (
    Address,
    InstanceName,
    PoolName,
    SoftwareVersion,
    UpstreamIncarnation,
    UpstreamName,
)
from hitchdeck_core.lazy_dataclasses import dataclass


class Phase(Enum):
    """Phase in the life cycle of an upstream."""

    serving = 0
    leaving = 1
    gone = 2


@dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream: a process from its start until it is gone.

    Each start gets a new ``name``.  All state about upstreams is stored by name,
    and so belongs to one incarnation.

    Attributes
    ----------
    slots
        Number of requests that it runs at once.
    sequence
        Number of the report; it grows with every report of an incarnation, so that
        delayed ones can be recognized.
    cleared_by
        Sequence of the first report that clears a suspected crash; 0 if there was no
        suspicion.  A suspicion is raised against the newest report that a hub knows.
    instance
        Name that the upstream gives itself, the same for all its incarnations.
    born
        Orders the incarnations of an instance: start time in Unix ms, 0 if not stated.
        A hub sets it higher if the upstream's clock seems to have been set back.
    cold_left
        Seconds for which it remains cold, as of this report.  Not compared, since it
        changes with time alone.
    software
        Version of its software; empty if not stated.
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
    software: SoftwareVersion = SoftwareVersion('')

    @property
    def unresponsive(self) -> bool:
        """Tell whether a crash is suspected that no later report has cleared."""
        return self.sequence < self.cleared_by

    @property
    def rank(self) -> tuple[bool, int]:
        """Return a key that is higher for the newer record of an incarnation."""
        return (self.phase is Phase.gone, self.sequence)

    @property
    def instance_key(self) -> InstanceName:
        """Return the key that all incarnations of this upstream have in common."""
        return self.instance or InstanceName(self.name)

    @property
    def incarnation_rank(self) -> tuple[int, UpstreamName]:
        """Return a key that is higher for a later incarnation of the same instance."""
        return (self.born, self.name)

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Return the id of this incarnation."""
        return UpstreamIncarnation(self.name)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspected crash, and the sequence of the first report that clears it."""

    upstream: UpstreamName
    cleared_by: int


def incarnation_name(instance: InstanceName, born: int) -> UpstreamName:
    """Return the name of one incarnation of an instance."""
    return UpstreamName(f'{instance}/{born}' if born else instance)
