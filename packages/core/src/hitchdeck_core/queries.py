"""Queries to the control group's leader, and their replies."""

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from hitchdeck_core.outcomes import Message
from hitchdeck_core.resources import Resource


class ListResources(Message):
    """Query resources, optionally filtered by kind and name."""

    ask: Literal['resources'] = 'resources'
    kind: str = ''
    name: str = ''


class GetStatus(Message):
    """Query the status of the fleet."""

    ask: Literal['status'] = 'status'


class WaitInForce(Message):
    """Wait until all routers apply a version, or until a timeout in seconds."""

    ask: Literal['in-force'] = 'in-force'
    version: int
    seconds: float = Field(default=10, ge=0, le=60)


class ListOrders(Message):
    """Query the orders to upstreams."""

    ask: Literal['orders'] = 'orders'


Query = Annotated[
    ListResources | GetStatus | WaitInForce | ListOrders,
    Field(discriminator='ask'),
]


class StoredResource(Message):
    """A resource and the configuration version that last wrote it."""

    resource: Resource
    version: int


class ResourceList(Message):
    """Resources, as of a configuration version."""

    version: int
    resources: tuple[StoredResource, ...]


class InForce(Message):
    """Whether a version is in force, and the routers that don't apply it yet."""

    in_force: bool
    laggards: tuple[str, ...]


class MemberStatus(Message):
    """A replica of the control group; ``match`` is its last synced index."""

    box: str
    replica: str
    address: str
    voter: bool
    leader: bool
    match: int


class RouterStatus(Message):
    """A router; ``lease_left`` is in seconds."""

    router: str
    domain: str
    http_address: str
    version: int
    leaving: bool
    connected: bool
    lease_left: float


class ShardStatus(Message):
    """The router that schedules a shard, with its epoch."""

    shard: str
    router: str
    epoch: int


class AccountUsage(Message):
    """Cost units that an account has used in the whole fleet."""

    account: str
    cost: float


class Status(Message):
    """Status of the control group, the routers and the shards."""

    leader: str
    term: int
    version: int
    commit: int
    members: tuple[MemberStatus, ...]
    routers: tuple[RouterStatus, ...]
    shards: tuple[ShardStatus, ...]
    usage: tuple[AccountUsage, ...]


class OrderStatus(Message):
    """An order to an upstream and its state."""

    sequence: int
    upstream: str
    action: str
    target: str
    state: str
    detail: str


class OrderList(Message):
    """Orders, the oldest first."""

    orders: tuple[OrderStatus, ...]


query_codec: TypeAdapter[Query] = TypeAdapter(Query)
