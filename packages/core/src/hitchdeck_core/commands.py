"""Commands in the control group's replicated log."""

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from hitchdeck_core.ids import Incarnation, ShardId
from hitchdeck_core.outcomes import Message, Outcome
from hitchdeck_core.resources import Resource


class Put(Message):
    """Create or replace a resource.

    ``based_on`` is the version that the resource must have, 0 if it must not
    exist; ``None`` writes unconditionally.
    """

    op: Literal['put'] = 'put'
    resource: Resource
    based_on: int | None = None


class Delete(Message):
    """Delete a resource; ``based_on`` is as in ``Put``."""

    op: Literal['delete'] = 'delete'
    kind: str
    name: str
    based_on: int | None = None


class Batch(Message):
    """Changes that are applied atomically."""

    op: Literal['batch'] = 'batch'
    changes: tuple[Put | Delete, ...]


class Claim(Message):
    """A router's claim to run a non-repeatable request exclusively.

    ``issued`` is when the caller generated the idempotency key, in Unix seconds.
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
    """The outcome of a claimed request, stored for retries of the caller."""

    op: Literal['settle'] = 'settle'
    account: str
    key: str
    request: str
    ran: Literal['ran', 'unknown', 'not-run']
    status: int = 0
    content_type: str = ''
    body: str = ''


class AssignShard(Message):
    """Make one incarnation of a router the scheduler of a shard."""

    op: Literal['assign'] = 'assign'
    shard: ShardId
    router: str
    incarnation: Incarnation


class PlaceOrder(Message):
    """Order an upstream to load or unload a target, or to change its role."""

    op: Literal['order'] = 'order'
    upstream: str
    action: Literal['load', 'unload', 'role']
    target: str
    weight_bytes: int = 0


class FinishOrder(Message):
    """The result of an order."""

    op: Literal['finish'] = 'finish'
    sequence: int
    state: Literal['done', 'failed', 'superseded']
    detail: str = ''


class NoOperation(Message):
    """A new leader's first entry, which commits the entries of earlier terms."""

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
    """A command as stored in the log.

    ``operator`` and ``number`` identify it across retries; both are empty for
    idempotent commands.  ``taken_at`` is the leader's wall clock in Unix seconds
    when it accepted the command.  Applying a command may use no other clock, so
    that all replicas compute the same state.
    """

    command: Command
    operator: str = ''
    number: int = 0
    taken_at: float = 0
    digest: str = ''


command_codec: TypeAdapter[Command] = TypeAdapter(Command)
submission_codec: TypeAdapter[Submission] = TypeAdapter(Submission)
outcome_codec: TypeAdapter[Outcome] = TypeAdapter(Outcome)
