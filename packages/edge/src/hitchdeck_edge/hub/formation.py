"""Automatic formation and maintenance of the replicated group.

No operator is involved: the group is founded, hubs with disks are admitted, and lost
ones are replaced.  Only one hub may found the group: the first of the seeds, which are
the same for all hubs at the first start, or, if that one has no disk, the hub that it
names.  Documents are accepted only once the group has enough voters, so that a founder
on its own acknowledges nothing that could be lost.
"""

import asyncio

from hitchdeck_control.errors import (
    MembershipError,
    NotLeaderError,
    OutcomeUnknownError,
)
from hitchdeck_control.raft import membership
from hitchdeck_control.raft.replica import Replica
from hitchdeck_core import logs
from hitchdeck_core.ids import Address
from hitchdeck_core.ticks import until_tick
from hitchdeck_core.wire.hitchdeck_pb2 import Member
from hitchdeck_core.wire.spread_pb2 import Hello
from hitchdeck_edge.hub.connected_boxes import ConnectedBoxes
from hitchdeck_edge.hub.spread import HubState

GROUP_CHECK_SECONDS = 0.3
"""Interval between checks of the group: a lost disk is replaced within a second."""

FOUNDER_WAIT_SECONDS = 0.6
"""How long a first seed without a disk waits for hubs that have one.

All machines start within some tenths of a second.
"""

CATCH_UP_TIMEOUT_SECONDS = 5.0
"""Timeout of one membership change; other new members wait meanwhile."""

UNRESPONSIVE_VOTER_SECONDS = 4.0
"""Time without a response after which a voter may be removed.

A restart takes 1 to 3 s.
"""

MAX_VOTERS = 7
"""Maximum number of voters: more slow down each commit, for no required tolerance."""


async def name_founder(state: HubState) -> None:
    """Name the hub that founds the group; runs on a first seed without a disk."""
    await asyncio.sleep(FOUNDER_WAIT_SECONDS)
    while not state.founder:
        candidates = [
            one for one in state.connected_boxes.hubs() if one.hello.may_found
        ]
        if candidates:
            state.founder = min(Address(one.hello.hub_address) for one in candidates)
            logs.info('founder named', hub=state.founder)
            state.changed.notify()
        await asyncio.sleep(GROUP_CHECK_SECONDS)


async def found_group_alone(replica: Replica) -> None:
    """Make this replica the only voter of a new group."""
    await membership.found_group(replica, [_member(_own_hello(replica), voter=True)])
    logs.info('group founded', replica=replica.identity.replica)


async def maintain_group(
    replica: Replica, connected_boxes: ConnectedBoxes, min_voters: int
) -> None:
    """Admit and remove members while this replica leads; runs forever."""
    while True:
        await asyncio.sleep(until_tick(GROUP_CHECK_SECONDS))
        if not replica.has_lease():
            continue
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_SECONDS):
                await _maintain_once(replica, connected_boxes, min_voters)
        except (MembershipError, NotLeaderError, OutcomeUnknownError) as error:
            logs.info('membership change failed', reason=str(error))
        except TimeoutError:
            logs.warning(
                'membership change timed out', seconds=CATCH_UP_TIMEOUT_SECONDS
            )


async def _maintain_once(
    replica: Replica, connected_boxes: ConnectedBoxes, min_voters: int
) -> None:
    for connected_box in connected_boxes.hubs():
        if connected_box.hello.replica:
            await _admit(replica, connected_box.hello)
    unresponsive = membership.unresponsive_voters(replica, UNRESPONSIVE_VOTER_SECONDS)
    if unresponsive and len(replica.voters()) - len(unresponsive) >= min_voters:
        await membership.remove_replica(replica, unresponsive[0])


async def _admit(replica: Replica, hello: Hello) -> None:
    known = [one for one in replica.members() if one.replica == hello.replica]
    if known and known[0].voter:
        return
    newcomer = _member(hello, voter=False)
    if any(one.box == newcomer.box for one in replica.voters()):
        await membership.replace_replica(replica, newcomer)
        return
    promote = len(replica.voters()) < MAX_VOTERS
    await membership.add_replica(replica, newcomer, promote=promote)


def _own_hello(replica: Replica) -> Hello:
    me = replica.identity
    return Hello(box=me.box, hub_address=me.address, replica=me.replica)


def _member(hello: Hello, *, voter: bool) -> Member:
    return Member(
        box=hello.box,
        replica=hello.replica,
        address=hello.hub_address,
        voter=voter,
    )
