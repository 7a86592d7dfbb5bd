"""Routers and shard holders, as the control group's leader names them."""

from dataclasses import dataclass, field

from hitchdeck_core.ids import Incarnation, ShardId
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.hitchdeck_pb2 import Directory, RouterEntry, ShardEntry


@dataclass
class FleetDirectory:
    """The latest directory; ``changed`` tells of a new one."""

    routers: dict[Incarnation, RouterEntry] = field(default_factory=dict)
    shards: dict[ShardId, ShardEntry] = field(default_factory=dict)
    changed: Signal = field(default_factory=Signal)

    def update(self, news: Directory) -> None:
        """Take up a whole directory, or what changed since the last one."""
        if news.full:
            self.routers = {}
            self.shards = {}
        for gone in news.gone_routers:
            self.routers.pop(Incarnation(gone), None)
        for gone in news.gone_shards:
            self.shards.pop(ShardId(gone), None)
        for router in news.routers:
            self.routers[Incarnation(router.incarnation)] = router
        for shard in news.shards:
            known = self.shards.get(ShardId(shard.shard))
            # A late word of an earlier holder must not displace a later one.
            if known is None or known.epoch <= shard.epoch:
                self.shards[ShardId(shard.shard)] = shard
        self.changed.notify()
