"""State that the log builds up; a snapshot is its JSON."""

from pydantic import BaseModel, Field

from hitchdeck_core.commands import PlaceOrder
from hitchdeck_core.ids import Incarnation, ShardId
from hitchdeck_core.outcomes import Outcome
from hitchdeck_core.resources import Resource


class VersionedResource(BaseModel):
    """A resource and the configuration version that last wrote it."""

    resource: Resource
    version: int


class Change(BaseModel):
    """One line of the change log: a deleted or written resource."""

    version: int
    kind: str
    name: str


class RecordedOutcome(BaseModel):
    """What an operator's command was and what it was answered."""

    digest: str
    outcome: Outcome


class ClaimEntry(BaseModel):
    """A non-repeatable request; Unix seconds for times."""

    digest: str
    router: str
    incarnation: Incarnation
    request: str
    upstream: str
    expires: float
    ran: str = ''
    status: int = 0
    content_type: str = ''
    body: str = ''


class ShardAssignment(BaseModel):
    """Who schedules a shard; a higher epoch outranks."""

    router: str
    incarnation: Incarnation
    epoch: int


class Order(BaseModel):
    """An order to an upstream and how it stands."""

    order: PlaceOrder
    state: str = 'open'
    detail: str = ''


class MachineState(BaseModel):
    """Everything that must survive."""

    version: int = 0
    clock: float = 0
    last_expiry: float = 0
    resources: dict[str, VersionedResource] = Field(default_factory=dict)
    changes: list[Change] = Field(default_factory=list)
    remembered: dict[str, dict[int, RecordedOutcome]] = Field(default_factory=dict)
    claims: dict[str, ClaimEntry] = Field(default_factory=dict)
    duties: dict[ShardId, ShardAssignment] = Field(default_factory=dict)
    last_epoch: int = 0
    orders: dict[int, Order] = Field(default_factory=dict)
    last_order: int = 0
