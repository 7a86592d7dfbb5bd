"""Identifiers, each its own type so that one is never passed for another."""

from typing import NewType

BoxName = NewType('BoxName', str)
"""Name of a box, unique in the fleet; set in the settings file."""

ReplicaId = NewType('ReplicaId', str)
"""Identity of one data folder on one box; a new folder gets a new one."""

Incarnation = NewType('Incarnation', str)
"""One life of a process; every start draws a fresh one."""

AccountName = NewType('AccountName', str)
PoolName = NewType('PoolName', str)
UpstreamName = NewType('UpstreamName', str)
InstanceName = NewType('InstanceName', str)
"""What an upstream calls itself in its reports, in each of its lives."""

UpstreamIncarnation = NewType('UpstreamIncarnation', str)
"""One life of an upstream, from one start to its end."""

SessionName = NewType('SessionName', str)

ShardId = NewType('ShardId', str)
"""One slice of a pool's upstreams, written ``pool/number``."""

RequestId = NewType('RequestId', str)

TicketId = NewType('TicketId', int)
"""Number of a ticket within one router life."""

Address = NewType('Address', str)
"""``IP:port``; names are not resolved."""


def shard_id(pool: PoolName, number: int) -> ShardId:
    """Return the id of one shard of a pool."""
    return ShardId(f'{pool}/{number}')


def pool_of(shard: ShardId) -> PoolName:
    """Return the pool that a shard belongs to."""
    return PoolName(shard.rpartition('/')[0])
