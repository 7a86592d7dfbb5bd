"""Automatic formation and maintenance of the replicated group.

No operator is involved: the group is founded, hubs with disks are admitted, and those
that stop or are lost give up their votes (``voter_plan``).  Only one hub may found the
group: the first of the seeds, which are the same for all hubs at the first start, or,
if that one has no disk, the hub that it names.  Documents are accepted only once the
group has enough voters, so that a founder on its own acknowledges nothing that could
be lost.
"""

import asyncio
import math

from hitchdeck_control.errors import (
    MembershipError,
    NotLeaderError,
    OutcomeUnknownError,
)
from hitchdeck_control.raft import membership
from hitchdeck_control.raft.replica import Replica
from hitchdeck_core import logs
from hitchdeck_core.ids import Address, ReplicaId
from hitchdeck_core.ticks import until_tick
from hitchdeck_core.wire.hitchdeck_pb2 import Member
from hitchdeck_core.wire.spread_pb2 import Hello
from hitchdeck_edge.hub.connected_boxes import ConnectedBoxes
from hitchdeck_edge.hub.spread import HubState
from hitchdeck_edge.hub.voter_plan import (
    GroupView,
    MembershipChange,
    MemberState,
    VotingPolicy,
    bears_losses_beside,
    plan_change,
)
from hitchdeck_edge.settings import HubSettings

GROUP_CHECK_SECONDS = 0.3
"""Interval between checks of the group: a lost disk is replaced within a second."""

FOUNDER_WAIT_SECONDS = 0.6
"""How long a first seed without a disk waits for hubs that have one.

All machines start within some tenths of a second.
"""

COMMIT_TIMEOUT_SECONDS = 2.0
"""Timeout of one membership change."""

REPLACED_FRACTION = 0.25
"""When a replaced voter loses its seat, as a fraction of ``catch_up``: the rest is for
an election, and for the successor to start and to catch up."""

HAND_OVER_FRACTION = 0.5
"""How long a hub that stops waits to hand over its vote, as a fraction of its grace."""

HAND_OVER_POLL_SECONDS = 0.02


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


def voting_policy(settings: HubSettings) -> VotingPolicy:
    """Return the tolerance and the times that the settings call for."""
    replaced = max(settings.election_timeout, REPLACED_FRACTION * settings.catch_up)
    return VotingPolicy(
        disks_lost=settings.disks_lost,
        voters_needed=settings.voters_needed,
        responsive=settings.election_timeout,
        replaced=replaced,
        absent=max(replaced, settings.catch_up),
    )


async def maintain_group(
    replica: Replica, connected_boxes: ConnectedBoxes, policy: VotingPolicy
) -> None:
    """Change the membership while this replica leads; runs forever."""
    contact = LeaderContact(replica)
    while True:
        await asyncio.sleep(until_tick(GROUP_CHECK_SECONDS))
        contact.update()
        while replica.has_lease():
            view = group_view(replica, connected_boxes, contact)
            change = plan_change(view, policy)
            if change is None or not await _commit(replica, change):
                break
            contact.update()
        membership.step_down_unless_voter(replica)


class LeaderContact:
    """Measures for how long this leader has had contact to a quorum, without a gap.

    Silence of others counts only within that time: before it, this process may have
    been suspended or cut off itself.

    Attributes
    ----------
    since
        Start of that time in seconds; ``None`` without a lease.
    updated_at
        Time of the last update, likewise.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.since: float | None = None
        self.updated_at = replica.now()

    def update(self) -> None:
        """Note that the group is checked now."""
        now = self.replica.now()
        pause = now - self.updated_at
        self.updated_at = now
        if not self.replica.has_lease():
            self.since = None
        elif self.since is None or pause > COMMIT_TIMEOUT_SECONDS + GROUP_CHECK_SECONDS:
            self.since = now

    def silence_of(self, member: Member) -> float:
        """Return for how long a member has been silent, in seconds."""
        replica = self.replica
        if member.replica == replica.identity.replica:
            return 0
        acked_at = replica.progress_of(ReplicaId(member.replica)).acked_at
        known_since = replica.now() if self.since is None else self.since
        silence = replica.now() - max(acked_at, known_since)
        return max(0, silence - replica.scheduling_delay.allowance())


def group_view(
    replica: Replica, connected_boxes: ConnectedBoxes, contact: LeaderContact
) -> GroupView:
    """Return the group as this leader sees it."""
    me = replica.identity.replica
    present = {
        one.hello.replica: one.hello
        for one in connected_boxes.hubs()
        if one.hello.replica and one.hello.replica != me
    }
    disks = {hello.box: name for name, hello in present.items()}
    members = replica.members()
    known = {one.replica for one in members}
    return GroupView(
        members=tuple(
            MemberState(
                one,
                silence=contact.silence_of(one),
                heard=one.replica == me
                or replica.progress_of(ReplicaId(one.replica)).acked_at > -math.inf,
                caught_up=one.replica == me
                or membership.is_caught_up(replica, ReplicaId(one.replica)),
                connected=one.replica == me or one.replica in present,
                leaving=one.replica in connected_boxes.leaving,
                disk_lost=disks.get(one.box, one.replica) != one.replica,
            )
            for one in members
        ),
        newcomers=tuple(
            _member(hello, voter=False)
            for name, hello in present.items()
            if name not in known and name not in connected_boxes.leaving
        ),
    )


def responsive_voters(replica: Replica) -> int:
    """Return how many voters were in contact with this leader a moment ago."""
    if replica.leadership is None:
        return 0
    me = replica.identity.replica
    horizon = replica.now() - replica.timing.election_timeout
    return sum(
        one.replica == me
        or replica.progress_of(ReplicaId(one.replica)).acked_at > horizon
        for one in replica.voters()
    )


async def hand_over_vote(replica: Replica, policy: VotingPolicy, grace: float) -> None:
    """Wait until this hub, which stops, has no vote, if another hub can have it.

    Parameters
    ----------
    grace
        How long the graceful stop may take, in seconds.
    """
    until = replica.now() + HAND_OVER_FRACTION * grace
    while _may_hand_over(replica, policy):
        if replica.now() >= until:
            logs.warning('stopping with a vote', replica=replica.identity.replica)
            return
        await asyncio.sleep(HAND_OVER_POLL_SECONDS)


def _may_hand_over(replica: Replica, policy: VotingPolicy) -> bool:
    """Tell whether this hub votes and the group may be about to replace it."""
    members = replica.committed_members()
    own = [one for one in members if one.replica == replica.identity.replica]
    if not any(one.voter for one in own) or len(members) <= policy.voters_needed:
        return False
    view = GroupView(tuple(map(MemberState, members)))
    return not bears_losses_beside(view, own[0], policy)


async def _commit(replica: Replica, change: MembershipChange) -> bool:
    """Commit a change; tell whether that was confirmed."""
    try:
        async with asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
            await membership.change_members(replica, change.members)
    except (MembershipError, NotLeaderError, OutcomeUnknownError) as error:
        logs.info('membership change failed', reason=str(error), why=change.reason)
        return False
    except TimeoutError:
        logs.warning(
            'membership change timed out',
            seconds=COMMIT_TIMEOUT_SECONDS,
            why=change.reason,
        )
        return False
    logs.info(
        'membership changed',
        why=change.reason,
        voters=sorted(one.replica for one in change.members if one.voter),
        learners=sorted(one.replica for one in change.members if not one.voter),
    )
    return True


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
