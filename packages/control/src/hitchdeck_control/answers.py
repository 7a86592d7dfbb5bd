"""Replies to queries to the leader."""

from hitchdeck_control.fleet.leader import Leader
from hitchdeck_core.ids import ReplicaId
from hitchdeck_core.outcomes import Message
from hitchdeck_core.queries import (
    AccountUsage,
    GetStatus,
    InForce,
    ListResources,
    MemberStatus,
    OrderList,
    OrderStatus,
    Query,
    ResourceList,
    RouterStatus,
    ShardStatus,
    Status,
    StoredResource,
    WaitInForce,
)

_MAX_POLL_SECONDS = 0.25


async def answer(leader: Leader, query: Query) -> Message:
    """Answer a query; raise ``NotLeaderError`` if leadership is lost."""
    match query:
        case ListResources():
            return _resources(leader, query)
        case GetStatus():
            return _status(leader)
        case WaitInForce():
            return await _in_force(leader, query)
    return _orders(leader)


def _resources(leader: Leader, query: ListResources) -> ResourceList:
    state = leader.machine.state
    chosen = [
        StoredResource(resource=stored.resource, version=stored.version)
        for stored in state.resources.values()
        if query.kind in {'', stored.resource.kind}
        and query.name in {'', stored.resource.name}
    ]
    return ResourceList(version=state.version, resources=tuple(chosen))


async def _in_force(leader: Leader, query: WaitInForce) -> InForce:
    deadline = leader.now() + query.seconds
    while True:
        laggards = leader.laggards(query.version)
        reached = leader.machine.state.version >= query.version
        left = deadline - leader.now()
        if (reached and not laggards) or left <= 0:
            return InForce(
                in_force=reached and not laggards,
                laggards=tuple(laggards),
            )
        await leader.routers.changed.wait(min(left, _MAX_POLL_SECONDS))


def _status(leader: Leader) -> Status:
    replica = leader.replica
    state = leader.machine.state
    return Status(
        leader=replica.identity.box,
        term=replica.term,
        version=state.version,
        commit=replica.commit_index,
        members=tuple(_members(leader)),
        routers=tuple(_routers(leader)),
        shards=tuple(
            ShardStatus(shard=shard, router=assignment.router, epoch=assignment.epoch)
            for shard, assignment in sorted(state.duties.items())
        ),
        usage=tuple(
            AccountUsage(account=account, cost=cost)
            for account, cost in sorted(leader.usage.by_account.items())
        ),
    )


def _members(leader: Leader) -> list[MemberStatus]:
    replica = leader.replica
    members = []
    for one in replica.members():
        mine = one.replica == replica.identity.replica
        match = replica.log.synced_index
        if not mine:
            match = replica.progress_of(ReplicaId(one.replica)).match
        members.append(
            MemberStatus(
                box=one.box,
                replica=one.replica,
                address=one.address,
                voter=one.voter,
                leader=mine,
                match=match,
            ),
        )
    return members


def _routers(leader: Leader) -> list[RouterStatus]:
    now = leader.now()
    presences = sorted(
        leader.routers.by_incarnation.values(),
        key=lambda one: one.hello.router,
    )
    return [
        RouterStatus(
            router=one.hello.router,
            domain=one.hello.domain,
            http_address=one.hello.http_address,
            version=one.version,
            leaving=one.leaving,
            connected=one.disconnected_at is None,
            lease_left=max(0, one.lease_until - now),
        )
        for one in presences
    ]


def _orders(leader: Leader) -> OrderList:
    return OrderList(
        orders=tuple(
            OrderStatus(
                sequence=sequence,
                upstream=one.order.upstream,
                action=one.order.action,
                target=one.order.target,
                state=one.state,
                detail=one.detail,
            )
            for sequence, one in leader.machine.state.orders.items()
        ),
    )
