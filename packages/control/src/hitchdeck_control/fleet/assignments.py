"""Assignment of shards to the routers that schedule them.

A shard is reassigned only when its router is lost or draining.  A better candidate
is not a sufficient reason, since the new scheduler must rebuild the shard's state.
"""

from collections.abc import Iterable, Iterator

from hitchdeck_control.fleet.presence import Presence
from hitchdeck_control.machine.state import MachineState
from hitchdeck_core.commands import AssignShard
from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import Incarnation, PoolName, ShardId, shard_id
from hitchdeck_core.resources import Pool


def shards_of(state: MachineState) -> Iterator[ShardId]:
    """Yield every shard of every pool."""
    for stored in state.resources.values():
        if isinstance(stored.resource, Pool):
            for number in range(stored.resource.shards):
                yield shard_id(PoolName(stored.resource.name), number)


def needed_assignments(
    state: MachineState,
    alive: Iterable[Presence],
) -> list[AssignShard]:
    """Return assignments for all shards whose router is lost or draining."""
    present = list(alive)
    candidates = {
        one.hello.router: one
        for one in present
        if not one.leaving and one.disconnected_at is None
    }
    # A router that was disconnected a moment ago keeps its shards.
    holders = {one.hello.incarnation for one in present if not one.leaving}
    assignments = []
    for shard in shards_of(state):
        assignment = state.duties.get(shard)
        if assignment is not None and assignment.incarnation in holders:
            continue
        if not candidates:
            continue
        router = ranked(shard, candidates)[0]
        assignments.append(
            AssignShard(
                shard=shard,
                router=router,
                incarnation=Incarnation(candidates[router].hello.incarnation),
            ),
        )
    return assignments
