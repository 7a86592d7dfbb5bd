"""The ``Replication`` service, for peers and for founding the group."""

import asyncio

from grpclib.server import Stream

from hitchdeck_control.errors import MembershipError
from hitchdeck_control.raft.election import handle_vote
from hitchdeck_control.raft.membership import found_group
from hitchdeck_control.raft.replica import Replica
from hitchdeck_control.raft.replication import handle_append, handle_snapshot
from hitchdeck_core.wire.hitchdeck_grpc import ReplicationBase
from hitchdeck_core.wire.hitchdeck_pb2 import (
    AppendReply,
    AppendRequest,
    FoundReply,
    FoundRequest,
    IdentifyReply,
    IdentifyRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)


class ReplicationService(ReplicationBase):
    """Implements the ``Replication`` service."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.append_lock = asyncio.Lock()

    async def Vote(self, stream: Stream[VoteRequest, VoteReply]) -> None:
        """Vote on a candidate."""
        request = await stream.recv_message()
        assert request is not None
        await stream.send_message(await handle_vote(self.replica, request))

    async def Append(self, stream: Stream[AppendRequest, AppendReply]) -> None:
        """Append entries, or accept a heartbeat."""
        request = await stream.recv_message()
        assert request is not None
        reply = await handle_append(self.replica, self.append_lock, request)
        await stream.send_message(reply)

    async def AppendStream(self, stream: Stream[AppendRequest, AppendReply]) -> None:
        """Append entries, or accept a heartbeat, for each request of a leader."""
        async for request in stream:
            reply = await handle_append(self.replica, self.append_lock, request)
            await stream.send_message(reply)

    async def InstallSnapshot(
        self,
        stream: Stream[SnapshotRequest, AppendReply],
    ) -> None:
        """Install a snapshot."""
        request = await stream.recv_message()
        assert request is not None
        reply = await handle_snapshot(self.replica, self.append_lock, request)
        await stream.send_message(reply)

    async def Identify(
        self,
        stream: Stream[IdentifyRequest, IdentifyReply],
    ) -> None:
        """Return the identity and the state of this replica."""
        await stream.recv_message()
        replica = self.replica
        reply = IdentifyReply(
            box=replica.identity.box,
            replica=replica.identity.replica,
            address=replica.identity.address,
            founded=bool(replica.members()),
            leader=replica.leader_id,
            term=replica.term,
            last_index=replica.log.last_index,
            commit=replica.commit_index,
            members=replica.members(),
        )
        await stream.send_message(reply)

    async def Found(self, stream: Stream[FoundRequest, FoundReply]) -> None:
        """Found a group that includes this replica."""
        request = await stream.recv_message()
        assert request is not None
        try:
            await found_group(self.replica, list(request.members))
        except MembershipError as error:
            await stream.send_message(FoundReply(error=str(error)))
            return
        await stream.send_message(FoundReply())
