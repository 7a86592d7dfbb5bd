"""Log replication: a task for each peer of a leader, and the follower's side."""

import asyncio

from hitchdeck_control.raft.peer_client import PeerClient
from hitchdeck_control.raft.replica import Leadership, Replica
from hitchdeck_core import logs
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address, ReplicaId
from hitchdeck_core.supervisor import Supervisor, TaskFunction
from hitchdeck_core.ticks import PROCESS_PHASE, until_next_tick, until_tick
from hitchdeck_core.wire.hitchdeck_pb2 import (
    AppendReply,
    AppendRequest,
    Entry,
    Member,
    SnapshotRequest,
)

_MAX_ENTRIES_PER_APPEND = 512

_IDLE_CHECK_SECONDS = 1.0
"""Longest wait for entries to sync or to apply.  Changes notify these tasks, which
need no timer at the pace of the heartbeat."""


async def replicate(replica: Replica, client: PeerClient) -> None:
    """Run a replication task for each peer whenever this replica leads."""
    while True:
        if replica.leadership is None:
            await replica.role_changed.wait()
            continue
        tasks = Supervisor('peers')
        try:
            await _supervise_peers(replica, client, replica.leadership, tasks)
        finally:
            await tasks.stop()


async def write_log(replica: Replica) -> None:
    """Sync appended entries, in one batch whenever the disk is idle."""
    while True:
        if replica.log.synced_index >= replica.log.last_index:
            await replica.appended.wait(until_tick(_IDLE_CHECK_SECONDS))
        if replica.log.synced_index < replica.log.last_index:
            await replica.log.flush()
            replica.advance_commit()


async def apply_log(replica: Replica) -> None:
    """Apply committed entries and take snapshots, until cancelled."""
    while True:
        if replica.applied_index >= replica.commit_index:
            await replica.committed.wait(until_tick(_IDLE_CHECK_SECONDS))
        replica.apply_committed()
        since_snapshot = replica.applied_index - replica.log.snapshot.last_index
        if since_snapshot >= replica.timing.snapshot_every:
            await replica.take_snapshot()


async def handle_append(
    replica: Replica,
    append_lock: asyncio.Lock,
    request: AppendRequest,
) -> AppendReply:
    """Append entries from the leader; the reply follows the sync to disk."""
    refusal = _refuse_or_follow(replica, request)
    if refusal is not None:
        return refusal
    async with append_lock:
        if request.term < replica.term:
            return AppendReply(term=replica.term, success=False)
        matched = _append_entries(replica, request)
        await replica.log.flush()
    if matched is None:
        return AppendReply(
            term=request.term,
            success=False,
            last_index=min(replica.log.last_index, request.previous_index - 1),
        )
    if min(request.commit, matched) > replica.commit_index:
        replica.commit_index = int(min(request.commit, matched))
        replica.committed.notify()
    return AppendReply(term=request.term, success=True, last_index=matched)


async def handle_snapshot(
    replica: Replica,
    append_lock: asyncio.Lock,
    request: SnapshotRequest,
) -> AppendReply:
    """Install a snapshot from the leader, which has dropped the entries."""
    refusal = _refuse_or_follow(replica, request)
    if refusal is not None:
        return refusal
    snapshot = request.snapshot
    async with append_lock:
        if snapshot.last_index > replica.commit_index:
            await replica.log.flush()
            await replica.log.compact(snapshot)
            replica.state_machine.load(snapshot.state)
            replica.commit_index = int(snapshot.last_index)
            replica.applied_index = int(snapshot.last_index)
            logs.info('snapshot installed', index=replica.commit_index)
    return AppendReply(
        term=request.term,
        success=True,
        last_index=snapshot.last_index,
    )


async def _supervise_peers(
    replica: Replica,
    client: PeerClient,
    leadership: Leadership,
    tasks: Supervisor,
) -> None:
    while replica.leadership is leadership:
        peers = {
            one.replica: one
            for one in replica.members()
            if one.replica != replica.identity.replica
        }
        for gone in set(tasks.tasks) - set(peers):
            tasks.cancel(gone)
        for name in set(peers) - set(tasks.tasks):
            tasks.permanent(name, _peer_task(replica, client, leadership, peers[name]))
        if not peers:
            replica.advance_commit()
        await replica.role_changed.wait(_until_beat(replica))


def _peer_task(
    replica: Replica,
    client: PeerClient,
    leadership: Leadership,
    peer: Member,
) -> TaskFunction:
    async def work() -> None:
        while replica.leadership is leadership:
            try:
                await _replicate_once(replica, client, peer)
            except LinkError:
                await asyncio.sleep(replica.timing.heartbeat)
            else:
                await _wait_for_entries(replica, leadership, peer)

    return work


async def _wait_for_entries(
    replica: Replica,
    leadership: Leadership,
    peer: Member,
) -> None:
    progress = leadership.peers[ReplicaId(peer.replica)]
    if progress.next_index > replica.log.last_index:
        await replica.appended.wait(_until_beat(replica))


def _until_beat(replica: Replica) -> float:
    """Return the seconds until a heartbeat is due, which goes to all peers at once."""
    return until_next_tick(replica.now(), PROCESS_PHASE, replica.timing.heartbeat)


async def _replicate_once(replica: Replica, client: PeerClient, peer: Member) -> None:
    term = replica.term
    progress = replica.progress_of(ReplicaId(peer.replica))
    sent_at = replica.now()
    address = Address(peer.address)
    if progress.next_index <= replica.log.snapshot.last_index:
        request = _snapshot_request(replica, peer)
        reply = await client.install(address, request)
    else:
        reply = await client.append(address, _append_request(replica, peer))
    if reply.other_replica:
        # Counts neither as contact nor as a rejection: a box with a new disk must
        # not extend the leader's lease on behalf of its lost replica.
        raise LinkError(f'{peer.address} no longer runs replica {peer.replica}')
    if reply.term > replica.term:
        replica.become_follower(int(reply.term), ReplicaId(''))
        await replica.log.flush()
    if replica.term != term or replica.leadership is None:
        return
    if reply.term == term:
        progress.acked_at = sent_at
    if not reply.success:
        # A rejection in this term tells how far the peer's log may match.
        progress.next_index = max(1, int(reply.last_index) + 1)
        if reply.term != term:
            await asyncio.sleep(replica.timing.heartbeat)
        return
    progress.match = max(progress.match, int(reply.last_index))
    progress.next_index = progress.match + 1
    replica.advance_commit()


def _append_request(replica: Replica, peer: Member) -> AppendRequest:
    start = replica.progress_of(ReplicaId(peer.replica)).next_index
    return AppendRequest(
        leader=replica.identity.replica,
        term=replica.term,
        previous_index=start - 1,
        previous_term=replica.log.term_at(start - 1),
        commit=replica.commit_index,
        entries=replica.log.slice(start, _MAX_ENTRIES_PER_APPEND),
        target=peer.replica,
    )


def _snapshot_request(replica: Replica, peer: Member) -> SnapshotRequest:
    return SnapshotRequest(
        leader=replica.identity.replica,
        term=replica.term,
        snapshot=replica.log.snapshot,
        target=peer.replica,
    )


def _refuse_or_follow(
    replica: Replica,
    request: AppendRequest | SnapshotRequest,
) -> AppendReply | None:
    """Reject requests for other replicas or of old terms, else follow the leader."""
    if request.target != replica.identity.replica:
        return AppendReply(other_replica=True)
    if request.term < replica.term:
        return AppendReply(term=replica.term, success=False)
    replica.become_follower(int(request.term), ReplicaId(request.leader))
    replica.last_contact_at = replica.now()
    return None


def _append_entries(replica: Replica, request: AppendRequest) -> int | None:
    """Append new entries; return the last matching index, ``None`` for a gap."""
    previous = int(request.previous_index)
    base = int(replica.log.snapshot.last_index)
    if previous >= base and replica.log.term_at(previous) != request.previous_term:
        return None
    fresh = [
        entry
        for entry in request.entries
        if entry.index > base and replica.log.term_at(int(entry.index)) != entry.term
    ]
    if fresh:
        _check_keeps_committed(replica, fresh[0])
        position = int(fresh[0].index) - int(request.entries[0].index)
        replica.log.append(list(request.entries[position:]))
    return previous + len(request.entries)


def _check_keeps_committed(replica: Replica, first: Entry) -> None:
    assert first.index > replica.commit_index, 'committed entries must not change'
