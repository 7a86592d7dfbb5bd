"""Directory of routers and shard assignments, published by the leader."""

from dataclasses import dataclass, field

from hitchdeck_core.ids import Incarnation, ShardId
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.hitchdeck_pb2 import Directory, RouterEntry, ShardEntry


@dataclass
class FleetDirectory:
    """The current directory; ``changed`` is notified on each update."""

    routers: dict[Incarnation, RouterEntry] = field(default_factory=dict)
    shards: dict[ShardId, ShardEntry] = field(default_factory=dict)
    changed: Signal = field(default_factory=Signal)

    def update(self, news: Directory) -> None:
        """Apply a full directory, or the changes since the last one."""
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
            # A delayed entry of an earlier epoch must not replace a later one.
            if known is None or known.epoch <= shard.epoch:
                self.shards[ShardId(shard.shard)] = shard
        self.changed.notify()
