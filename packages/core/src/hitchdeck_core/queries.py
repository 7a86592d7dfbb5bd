"""Questions to the control group's leader, and its answers."""

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from hitchdeck_core.outcomes import Message
from hitchdeck_core.resources import Resource


class ListResources(Message):
    """Ask for resources, all or of one kind, or the one of that name."""

    ask: Literal['resources'] = 'resources'
    kind: str = ''
    name: str = ''


class GetStatus(Message):
    """Ask how the fleet stands."""

    ask: Literal['status'] = 'status'


class WaitInForce(Message):
    """Wait until a version is in force everywhere, or seconds have passed."""

    ask: Literal['in-force'] = 'in-force'
    version: int
    seconds: float = Field(default=10, ge=0, le=60)


class ListOrders(Message):
    """Ask for the orders to upstreams."""

    ask: Literal['orders'] = 'orders'


Query = Annotated[
    ListResources | GetStatus | WaitInForce | ListOrders,
    Field(discriminator='ask'),
]


class StoredResource(Message):
    """A resource and the version that last wrote it."""

    resource: Resource
    version: int


class ResourceList(Message):
    """Resources, as of a configuration version."""

    version: int
    resources: tuple[StoredResource, ...]


class InForce(Message):
    """Whether a version is in force, and which routers it waits for."""

    in_force: bool
    laggards: tuple[str, ...]


class MemberStatus(Message):
    """One replica of the control group; ``match`` is its last synced entry."""

    box: str
    replica: str
    address: str
    voter: bool
    leader: bool
    match: int


class RouterStatus(Message):
    """One router; ``lease_left`` is in seconds."""

    router: str
    domain: str
    http_address: str
    version: int
    leaving: bool
    connected: bool
    lease_left: float


class ShardStatus(Message):
    """Who schedules a shard."""

    shard: str
    router: str
    epoch: int


class AccountUsage(Message):
    """Cost units that one account has used, over the whole fleet."""

    account: str
    cost: float


class Status(Message):
    """How the fleet stands."""

    leader: str
    term: int
    version: int
    commit: int
    members: tuple[MemberStatus, ...]
    routers: tuple[RouterStatus, ...]
    shards: tuple[ShardStatus, ...]
    usage: tuple[AccountUsage, ...]


class OrderStatus(Message):
    """One order to an upstream."""

    sequence: int
    upstream: str
    action: str
    target: str
    state: str
    detail: str


class OrderList(Message):
    """Orders, oldest first."""

    orders: tuple[OrderStatus, ...]


query_codec: TypeAdapter[Query] = TypeAdapter(Query)
