"""The directory of routers and shard holders, and what changed in it.

Every router gets every change, so what is sent is the difference to what
that router has: the whole of it for each restart of each of hundreds of
routers would be most of all control traffic.
"""

from dataclasses import dataclass, field

from hitchdeck_core.ids import ShardId
from hitchdeck_core.wire.hitchdeck_pb2 import Directory, RouterEntry, ShardEntry


@dataclass(frozen=True, slots=True)
class DirectoryState:
    """One state of the directory; a later one has a higher number."""

    number: int = 0
    routers: dict[str, RouterEntry] = field(default_factory=dict)
    shards: dict[ShardId, ShardEntry] = field(default_factory=dict)


def difference(old: DirectoryState | None, new: DirectoryState) -> Directory:
    """Return what turns one state into another; all of it if there is none."""
    previous = old or DirectoryState()
    return Directory(
        full=old is None,
        routers=[
            entry
            for name, entry in new.routers.items()
            if previous.routers.get(name) != entry
        ],
        shards=[
            entry
            for shard, entry in new.shards.items()
            if previous.shards.get(shard) != entry
        ],
        gone_routers=[name for name in previous.routers if name not in new.routers],
        gone_shards=[shard for shard in previous.shards if shard not in new.shards],
    )
