"""Elections: pre-vote, vote, and a leader's stepping down."""

import asyncio
import random

from hitchdeck_control.raft.links import Links
from hitchdeck_control.raft.replica import Replica, Role
from hitchdeck_core import logs
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address, ReplicaId
from hitchdeck_core.wire.hitchdeck_pb2 import (
    Entry,
    Member,
    VoteReply,
    VoteRequest,
)


async def watch_leader(replica: Replica, links: Links) -> None:
    """Campaign whenever no leader was heard for a random while; for ever.

    What came while this process was behind is not read yet: its own delay must not
    count as a silence of the others, or its elections never end.
    """
    while True:
        patience = replica.timing.election_timeout * random.uniform(1, 2)
        await replica.own_delay.sleep(patience / 2)
        patience += replica.own_delay.allowance()
        if replica.is_leader():
            _step_down_without_quorum(replica, replica.own_delay.allowance())
        elif replica.now() - replica.last_heard > patience and replica.is_voter():
            await campaign(replica, links)


async def campaign(replica: Replica, links: Links) -> None:
    """Try to become the leader.

    The pre-vote keeps a replica that was cut off from raising the term: on
    its return it would depose a leader that everyone else hears.
    """
    replica.leader_id = ReplicaId('')
    if not await _wins_round(replica, links, replica.term + 1, pre_vote=True):
        return
    term = replica.term + 1
    replica.role = Role.candidate
    replica.log.save_vote(term, replica.me.replica)
    await replica.log.flush()
    won = await _wins_round(replica, links, term, pre_vote=False)
    still_candidate = replica.role is Role.candidate and replica.term == term
    if not won or not still_candidate:
        return
    replica.lead()
    replica.log.append([_first_entry(replica)])
    replica.appended.notify()


async def answer_vote(replica: Replica, request: VoteRequest) -> VoteReply:
    """Answer a request for a vote; a granted vote is synced first."""
    if not _may_vote(replica, request):
        return VoteReply(term=replica.term, granted=False)
    if request.pre_vote:
        return VoteReply(term=replica.term, granted=True)
    if request.term > replica.term:
        replica.follow(int(request.term), replica.leader_id)
    if replica.log.vote not in {'', request.candidate}:
        return VoteReply(term=replica.term, granted=False)
    replica.log.save_vote(int(request.term), request.candidate)
    replica.last_heard = replica.now()
    await replica.log.flush()
    return VoteReply(term=request.term, granted=True)


def _may_vote(replica: Replica, request: VoteRequest) -> bool:
    if request.target != replica.me.replica:
        return False
    # Whether a member votes is for the candidate to know: a newcomer may not
    # have heard yet that it votes, and the group may need its vote now.
    if request.term < replica.term or not replica.is_member():
        return False
    if _hears_leader(replica) and request.candidate != replica.log.vote:
        return False
    theirs = (request.last_term, request.last_index)
    return theirs >= (replica.log.last_term, replica.log.last_index)


def _hears_leader(replica: Replica) -> bool:
    if replica.leadership is not None:
        silence = replica.now() - replica.quorum_contact()
    else:
        silence = replica.now() - replica.last_heard
    return silence < replica.timing.election_timeout


def _step_down_without_quorum(replica: Replica, allowance: float) -> None:
    silence = replica.now() - replica.quorum_contact()
    if silence > 2 * replica.timing.election_timeout + allowance:
        logs.warning('no quorum heard', seconds=silence, term=replica.term)
        replica.last_heard = replica.now()
        replica.follow(replica.term, ReplicaId(''))


async def _wins_round(
    replica: Replica,
    links: Links,
    term: int,
    *,
    pre_vote: bool,
) -> bool:
    others = [one for one in replica.voters() if one.replica != replica.me.replica]
    needed = len(replica.voters()) // 2 + 1
    granted = 1
    calls = [_ask(replica, links, peer, term, pre_vote) for peer in others]
    for call in asyncio.as_completed(calls):
        reply = await call
        if reply.term > max(term, replica.term):
            replica.follow(int(reply.term), replica.leader_id)
            await replica.log.flush()
        granted += int(reply.granted)
        if granted >= needed:
            return True
    return granted >= needed


async def _ask(
    replica: Replica,
    links: Links,
    peer: Member,
    term: int,
    pre_vote: bool,
) -> VoteReply:
    request = VoteRequest(
        candidate=replica.me.replica,
        term=term,
        last_index=replica.log.last_index,
        last_term=replica.log.last_term,
        pre_vote=pre_vote,
        target=peer.replica,
    )
    try:
        return await links.vote(Address(peer.address), request)
    except LinkError:
        return VoteReply()


def _first_entry(replica: Replica) -> Entry:
    return Entry(
        term=replica.term,
        index=replica.log.last_index + 1,
        command=replica.machinery.first_command,
    )
