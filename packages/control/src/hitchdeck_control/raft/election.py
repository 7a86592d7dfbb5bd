"""Elections: pre-vote, vote, and stepping down without a quorum."""

import asyncio
import random

from hitchdeck_control.raft.peer_client import PeerClient
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


async def run_elections(replica: Replica, client: PeerClient) -> None:
    """Campaign whenever there was no contact with a leader for a random timeout.

    Messages that arrived while the event loop was delayed are not read yet, so the
    delay is added to the timeout.  Otherwise elections in a slow process never end.
    """
    while True:
        timeout = replica.timing.election_timeout * random.uniform(1, 2)
        await replica.scheduling_delay.sleep(timeout / 2)
        timeout += replica.scheduling_delay.allowance()
        if replica.is_leader():
            _step_down_without_quorum(replica, replica.scheduling_delay.allowance())
        elif replica.now() - replica.last_contact_at > timeout and replica.is_voter():
            await campaign(replica, client)


async def campaign(replica: Replica, client: PeerClient) -> None:
    """Try to become the leader.

    The pre-vote keeps a partitioned replica from increasing its term.  Otherwise it
    would depose a healthy leader when it reconnects.
    """
    replica.leader_id = ReplicaId('')
    if not await _wins_vote(replica, client, replica.term + 1, pre_vote=True):
        return
    term = replica.term + 1
    replica.role = Role.candidate
    replica.log.save_vote(term, replica.identity.replica)
    await replica.log.flush()
    won = await _wins_vote(replica, client, term, pre_vote=False)
    still_candidate = replica.role is Role.candidate and replica.term == term
    if not won or not still_candidate:
        return
    replica.become_leader()
    replica.log.append([_first_entry(replica)])
    replica.appended.notify()


async def handle_vote(replica: Replica, request: VoteRequest) -> VoteReply:
    """Answer a vote request; a granted vote is synced before the reply."""
    if not _may_vote(replica, request):
        return VoteReply(term=replica.term, granted=False)
    if request.pre_vote:
        return VoteReply(term=replica.term, granted=True)
    if request.term > replica.term:
        replica.become_follower(int(request.term), replica.leader_id)
    if replica.log.vote not in {'', request.candidate}:
        return VoteReply(term=replica.term, granted=False)
    replica.log.save_vote(int(request.term), request.candidate)
    replica.last_contact_at = replica.now()
    await replica.log.flush()
    return VoteReply(term=request.term, granted=True)


def _may_vote(replica: Replica, request: VoteRequest) -> bool:
    if request.target != replica.identity.replica:
        return False
    # Only the candidate's membership decides whether this replica votes.  A new
    # member may not know of its promotion yet, and its vote may be needed now.
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
        silence = replica.now() - replica.last_contact_at
    return silence < replica.timing.election_timeout


def _step_down_without_quorum(replica: Replica, allowance: float) -> None:
    silence = replica.now() - replica.quorum_contact()
    if silence > 2 * replica.timing.election_timeout + allowance:
        logs.warning(
            'stepping down, no contact with a quorum',
            seconds=silence,
            term=replica.term,
        )
        replica.last_contact_at = replica.now()
        replica.become_follower(replica.term, ReplicaId(''))


async def _wins_vote(
    replica: Replica,
    client: PeerClient,
    term: int,
    *,
    pre_vote: bool,
) -> bool:
    others = [
        one for one in replica.voters() if one.replica != replica.identity.replica
    ]
    needed = len(replica.voters()) // 2 + 1
    granted = 1
    calls = [_request_vote(replica, client, peer, term, pre_vote) for peer in others]
    for call in asyncio.as_completed(calls):
        reply = await call
        if reply.term > max(term, replica.term):
            replica.become_follower(int(reply.term), replica.leader_id)
            await replica.log.flush()
        granted += int(reply.granted)
        if granted >= needed:
            return True
    return granted >= needed


async def _request_vote(
    replica: Replica,
    client: PeerClient,
    peer: Member,
    term: int,
    pre_vote: bool,
) -> VoteReply:
    request = VoteRequest(
        candidate=replica.identity.replica,
        term=term,
        last_index=replica.log.last_index,
        last_term=replica.log.last_term,
        pre_vote=pre_vote,
        target=peer.replica,
    )
    try:
        return await client.vote(Address(peer.address), request)
    except LinkError:
        return VoteReply()


def _first_entry(replica: Replica) -> Entry:
    return Entry(
        term=replica.term,
        index=replica.log.last_index + 1,
        command=replica.state_machine.first_command,
    )
