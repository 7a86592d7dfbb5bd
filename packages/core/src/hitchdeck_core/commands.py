"""Commands that the control group commits."""

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from hitchdeck_core.ids import Incarnation, ShardId
from hitchdeck_core.outcomes import Message, Outcome
from hitchdeck_core.resources import Resource


class Put(Message):
    """Create or replace a resource.

    ``based_on`` is the version of it that the operator saw, 0 for "does not
    exist"; ``None`` writes without looking.
    """

    op: Literal['put'] = 'put'
    resource: Resource
    based_on: int | None = None


class Delete(Message):
    """Remove a resource."""

    op: Literal['delete'] = 'delete'
    kind: str
    name: str
    based_on: int | None = None


class Batch(Message):
    """Changes that all take place, or none."""

    op: Literal['batch'] = 'batch'
    changes: tuple[Put | Delete, ...]


class Claim(Message):
    """A router's claim to be the one that runs a non-repeatable request.

    ``issued`` and ``now`` are Unix seconds: when the caller made the key, and
    the leader's clock when it took the claim.
    """

    op: Literal['claim'] = 'claim'
    account: str
    key: str
    digest: str
    issued: float
    router: str
    incarnation: Incarnation
    request: str
    upstream: str


class Settle(Message):
    """The outcome of a claimed request, kept for those who ask again."""

    op: Literal['settle'] = 'settle'
    account: str
    key: str
    request: str
    ran: Literal['ran', 'unknown', 'not-run']
    status: int = 0
    content_type: str = ''
    body: str = ''


class AssignShard(Message):
    """Make one router life the scheduler of a shard."""

    op: Literal['assign'] = 'assign'
    shard: ShardId
    router: str
    incarnation: Incarnation


class PlaceOrder(Message):
    """Ask an upstream to load or unload something, or to change its role."""

    op: Literal['order'] = 'order'
    upstream: str
    action: Literal['load', 'unload', 'role']
    target: str
    weight_bytes: int = 0


class FinishOrder(Message):
    """What became of an order."""

    op: Literal['finish'] = 'finish'
    sequence: int
    state: Literal['done', 'failed', 'superseded']
    detail: str = ''


class NoOperation(Message):
    """A new leader's first entry; it commits what earlier terms left."""

    op: Literal['nothing'] = 'nothing'


Command = Annotated[
    Put
    | Delete
    | Batch
    | Claim
    | Settle
    | AssignShard
    | PlaceOrder
    | FinishOrder
    | NoOperation,
    Field(discriminator='op'),
]


class Submission(Message):
    """A command as it stands in the log.

    ``operator`` and ``number`` identify it across resends; both empty for
    commands that are idempotent by themselves.  ``taken_at`` is the leader's
    wall clock, the only clock that applying may look at.
    """

    command: Command
    operator: str = ''
    number: int = 0
    taken_at: float = 0
    digest: str = ''


command_codec: TypeAdapter[Command] = TypeAdapter(Command)
submission_codec: TypeAdapter[Submission] = TypeAdapter(Submission)
outcome_codec: TypeAdapter[Outcome] = TypeAdapter(Outcome)
