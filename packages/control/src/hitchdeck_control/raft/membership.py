"""Membership: founding a group; admitting, replacing, dismissing replicas."""

import asyncio

from hitchdeck_control.errors import MembershipError
from hitchdeck_control.raft.replica import Replica
from hitchdeck_core import logs
from hitchdeck_core.ids import ReplicaId
from hitchdeck_core.wire.hitchdeck_pb2 import Entry, Member

_FIRST_TERM = 1
_CATCH_UP_POLL_SECONDS = 0.05
_CATCH_UP_ROUNDS = 2400
_MAX_CATCH_UP_GAP = 2


async def found_group(replica: Replica, members: list[Member]) -> None:
    """Make this replica part of a new group.

    Every founder writes the same first entry, so founding may be repeated
    until all have done it.  Only the replicas named may take part: a box
    whose folder was replaced since is refused.

    Raises
    ------
    MembershipError
        This replica is not named, or belongs to another group already.
    """
    names = {member.replica for member in members}
    if replica.identity.replica not in names:
        raise MembershipError(
            f'{replica.identity.replica} is not among {sorted(names)}'
        )
    known = replica.members()
    if known:
        if replica.log.snapshot.last_index == 0 and _same_members(
            list(replica.log.entries[0].members),
            members,
        ):
            return
        raise MembershipError(f'{replica.identity.replica} is in a group already')
    replica.log.append([Entry(term=_FIRST_TERM, index=1, members=members)])
    replica.log.save_vote(max(_FIRST_TERM, replica.term), replica.log.vote)
    await replica.log.flush()


async def replace_replica(replica: Replica, newcomer: Member) -> None:
    """Put a replica with a new disk in the place of its box's old one.

    Steps, each committed before the next: the newcomer joins as a learner;
    once it has all committed entries, the old replica is removed; then the
    newcomer votes.  Removing before promoting keeps the quorum at two of
    two and then two of three; the other order needs three of four while
    one of the four is dead.  Repeating a replacement resumes it.
    """
    await add_replica(replica, newcomer, promote=False)
    await _commit_membership(
        replica,
        [
            one
            for one in replica.members()
            if one.box != newcomer.box or one.replica == newcomer.replica
        ],
    )
    await _promote(replica, newcomer)
    logs.info('replica replaced', newcomer=newcomer.replica)


async def add_replica(replica: Replica, newcomer: Member, *, promote: bool) -> None:
    """Take a replica in as a learner; let it vote once it has caught up.

    Raises
    ------
    MembershipError
        It does not catch up, or another change is under way.
    """
    await _add_learner(replica, newcomer)
    await _wait_until_caught_up(replica, ReplicaId(newcomer.replica))
    if promote:
        await _promote(replica, newcomer)
        logs.info('replica votes', newcomer=newcomer.replica)


async def remove_replica(replica: Replica, member: Member) -> None:
    """Take a member out of the group."""
    await _commit_membership(replica, _others(replica, member))
    logs.info('replica dismissed', replica=member.replica)


def unresponsive_voters(replica: Replica, seconds: float) -> list[Member]:
    """Return the voters that the leader has not heard for so long."""
    leadership = replica.leadership
    if leadership is None:
        return []
    horizon = replica.now() - seconds
    if leadership.started_at > horizon:
        return []
    return [
        one
        for one in replica.voters()
        if one.replica != replica.identity.replica
        and replica.progress_of(ReplicaId(one.replica)).acked_at < horizon
    ]


async def _promote(replica: Replica, newcomer: Member) -> None:
    voter = _copy(newcomer, voter=True)
    await _commit_membership(replica, [*_others(replica, newcomer), voter])


async def _add_learner(replica: Replica, newcomer: Member) -> None:
    if any(one.replica == newcomer.replica for one in replica.members()):
        return
    # An earlier newcomer of the same box, lost before it could vote, goes.
    kept = [one for one in replica.members() if one.voter or one.box != newcomer.box]
    await _commit_membership(replica, [*kept, _copy(newcomer, voter=False)])


async def _wait_until_caught_up(replica: Replica, newcomer: ReplicaId) -> None:
    for _ in range(_CATCH_UP_ROUNDS):
        replica.check_leads()
        if (
            replica.progress_of(newcomer).match + _MAX_CATCH_UP_GAP
            > replica.commit_index
        ):
            return
        await asyncio.sleep(_CATCH_UP_POLL_SECONDS)
    raise MembershipError(f'{newcomer} does not catch up')


async def _commit_membership(replica: Replica, members: list[Member]) -> None:
    if _same_members(members, replica.members()):
        return
    replica.check_leads()
    _check_no_pending_change(replica)
    entry = Entry(
        term=replica.term,
        index=replica.log.last_index + 1,
        members=members,
    )
    await replica.propose_entry(entry)


def _check_no_pending_change(replica: Replica) -> None:
    base = int(replica.log.snapshot.last_index)
    open_entries = replica.log.entries[max(0, replica.commit_index - base) :]
    if any(entry.members for entry in open_entries):
        raise MembershipError('another membership change is under way')


def _others(replica: Replica, member: Member) -> list[Member]:
    return [one for one in replica.members() if one.replica != member.replica]


def _copy(member: Member, *, voter: bool) -> Member:
    copied = Member()
    copied.CopyFrom(member)
    copied.voter = voter
    return copied


def _same_members(left: list[Member], right: list[Member]) -> bool:
    def ordered(members: list[Member]) -> list[bytes]:
        return sorted(one.SerializeToString() for one in members)

    return ordered(left) == ordered(right)
