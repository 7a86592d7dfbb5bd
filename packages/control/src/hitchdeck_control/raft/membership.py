"""Membership: founding a group; adding, replacing and removing replicas."""

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
    """Found a group that includes this replica.

    All founding members write the same first entry, so the call may be retried until
    it has succeeded on all of them.  Only the named replicas may take part: a box
    whose data folder was replaced meanwhile is rejected.

    Raises
    ------
    MembershipError
        This replica is not named, or already belongs to another group.
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
    """Replace the replica of a box by one with a new disk.

    Each step is committed before the next: the newcomer is added as a learner; once
    it has caught up, the old replica is removed; then the newcomer is promoted to a
    voter.  In a group of three, removing first requires a quorum of two of two, then
    two of three.  Promoting first would require three of four while one of the four
    is down.  A repeated replacement resumes where the first one stopped.
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
    """Add a replica as a learner; optionally promote it once it has caught up.

    Raises
    ------
    MembershipError
        The replica doesn't catch up, or another change is in progress.
    """
    await _add_learner(replica, newcomer)
    await _wait_until_caught_up(replica, ReplicaId(newcomer.replica))
    if promote:
        await _promote(replica, newcomer)
        logs.info('replica promoted to voter', newcomer=newcomer.replica)


async def change_members(replica: Replica, members: list[Member]) -> None:
    """Commit a membership as the leader.

    Raises
    ------
    MembershipError
        Another change is in progress, or this one adds or removes more than one vote:
        a majority before it and one after it might then have no voter in common.
    NotLeaderError, OutcomeUnknownError
        The change was not committed, or may not be.
    """
    await _commit_membership(replica, members)


def is_caught_up(replica: Replica, member: ReplicaId) -> bool:
    """Tell whether the log of a member has all but the newest committed entries."""
    match = replica.progress_of(member).match
    return match + _MAX_CATCH_UP_GAP > replica.commit_index


def step_down_unless_voter(replica: Replica) -> None:
    """Give up leadership once a membership without this replica's vote is committed.

    The entry has to be replicated until then, as no other replica may have it.
    """
    committed = any(
        one.voter and one.replica == replica.identity.replica
        for one in replica.committed_members()
    )
    if replica.is_leader() and not committed and not replica.is_voter():
        logs.info('stepping down without a vote', term=replica.term)
        replica.become_follower(replica.term, ReplicaId(''))


async def _promote(replica: Replica, newcomer: Member) -> None:
    voter = _copy(newcomer, voter=True)
    await _commit_membership(replica, [*_others(replica, newcomer), voter])


async def _add_learner(replica: Replica, newcomer: Member) -> None:
    if any(one.replica == newcomer.replica for one in replica.members()):
        return
    # Also removes an earlier learner of the box, lost before its promotion.
    kept = [one for one in replica.members() if one.voter or one.box != newcomer.box]
    await _commit_membership(replica, [*kept, _copy(newcomer, voter=False)])


async def _wait_until_caught_up(replica: Replica, newcomer: ReplicaId) -> None:
    for _ in range(_CATCH_UP_ROUNDS):
        replica.check_leads()
        if is_caught_up(replica, newcomer):
            return
        await asyncio.sleep(_CATCH_UP_POLL_SECONDS)
    raise MembershipError(f'{newcomer} does not catch up')


async def _commit_membership(replica: Replica, members: list[Member]) -> None:
    if _same_members(members, replica.members()):
        return
    replica.check_leads()
    _check_no_pending_change(replica)
    _check_majorities_meet(replica, members)
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


def _check_majorities_meet(replica: Replica, members: list[Member]) -> None:
    before = {one.replica for one in replica.voters()}
    after = {one.replica for one in members if one.voter}
    if len(before ^ after) > 1:
        raise MembershipError(
            f'{len(before ^ after)} votes would change at once: '
            f'{sorted(before)} to {sorted(after)}'
        )


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
