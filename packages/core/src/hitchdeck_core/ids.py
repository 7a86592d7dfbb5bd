"""Identifier types, distinct so that the type checker keeps them apart."""

from typing import NewType

BoxName = NewType('BoxName', str)
"""Name of a box, unique in the fleet and set in the settings file."""

ReplicaId = NewType('ReplicaId', str)
"""Identity of a data folder on a box; a new folder gets a new identity."""

Incarnation = NewType('Incarnation', str)
"""One run of a process; generated anew at every start."""

AccountName = NewType('AccountName', str)
PoolName = NewType('PoolName', str)
UpstreamName = NewType('UpstreamName', str)
InstanceName = NewType('InstanceName', str)
"""Name by which an upstream reports itself, the same across restarts."""

UpstreamIncarnation = NewType('UpstreamIncarnation', str)
"""One run of an upstream, from its start to its exit."""

SoftwareVersion = NewType('SoftwareVersion', str)
"""Version of an upstream's software, compared for equality only; empty if unknown."""

SessionName = NewType('SessionName', str)

ShardId = NewType('ShardId', str)
"""One shard of a pool's upstreams, written ``pool/number``."""

RequestId = NewType('RequestId', str)

TicketId = NewType('TicketId', int)
"""Number of a ticket, unique within one incarnation of a router."""

Address = NewType('Address', str)
"""``IP:port``; host names are not resolved."""


def shard_id(pool: PoolName, number: int) -> ShardId:
    """Return the id of a shard."""
    return ShardId(f'{pool}/{number}')


def pool_of(shard: ShardId) -> PoolName:
    """Return the pool that a shard belongs to."""
    return PoolName(shard.rpartition('/')[0])
