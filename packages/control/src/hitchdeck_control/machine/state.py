"""State that results from applying the log; a snapshot is its JSON form."""

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
    """An entry of the change list: a resource that was written or deleted."""

    version: int
    kind: str
    name: str


class RecordedOutcome(BaseModel):
    """Digest and outcome of an operator's command."""

    digest: str
    outcome: Outcome


class ClaimEntry(BaseModel):
    """The claim on a non-repeatable request; ``expires`` is in Unix seconds."""

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
    """The router that schedules a shard; the highest epoch is valid."""

    router: str
    incarnation: Incarnation
    epoch: int


class Order(BaseModel):
    """An order to an upstream, and its state."""

    order: PlaceOrder
    state: str = 'open'
    detail: str = ''


class MachineState(BaseModel):
    """The complete replicated state."""

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
