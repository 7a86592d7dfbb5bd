"""The directory of routers and shard schedulers, and differences between its states.

Every router gets every change, as the difference to the state that it already has.
With hundreds of routers, sending the full directory after each restart would make
up most of the control traffic.
"""

from dataclasses import dataclass, field

from hitchdeck_core.ids import ShardId
from hitchdeck_core.wire.hitchdeck_pb2 import Directory, RouterEntry, ShardEntry


@dataclass(frozen=True, slots=True)
class DirectoryState:
    """A state of the directory; later states have higher numbers."""

    number: int = 0
    routers: dict[str, RouterEntry] = field(default_factory=dict)
    shards: dict[ShardId, ShardEntry] = field(default_factory=dict)


def difference(old: DirectoryState | None, new: DirectoryState) -> Directory:
    """Return the changes between two states, or all of the new one."""
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
