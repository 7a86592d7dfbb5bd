"""Client for calls to the other replicas."""

import asyncio

from grpclib.client import Channel

from hitchdeck_control.raft.delays import SchedulingDelay
from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address
from hitchdeck_core.wire.hitchdeck_grpc import ReplicationStub
from hitchdeck_core.wire.hitchdeck_pb2 import (
    AppendReply,
    AppendRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)

_SNAPSHOT_SECONDS = 60.0


class PeerClient:
    """Channels to peers by address, opened on first use and dropped on errors."""

    def __init__(
        self, fleet_token: str, timeout: float, scheduling_delay: SchedulingDelay
    ) -> None:
        self.fleet_token = fleet_token
        self.timeout = timeout
        self.scheduling_delay = scheduling_delay
        self.channels: dict[Address, Channel] = {}

    async def vote(self, address: Address, request: VoteRequest) -> VoteReply:
        """Request a vote, or raise ``LinkError``."""
        stub = self._stub(address)
        try:
            async with asyncio.timeout(self._call_timeout()):
                return await stub.Vote(request)
        except TRANSPORT_ERRORS as error:
            raise self._drop_channel(address, error) from error

    async def append(
        self,
        address: Address,
        request: AppendRequest,
    ) -> AppendReply:
        """Send entries, or raise ``LinkError``."""
        stub = self._stub(address)
        try:
            async with asyncio.timeout(self._call_timeout()):
                return await stub.Append(request)
        except TRANSPORT_ERRORS as error:
            raise self._drop_channel(address, error) from error

    async def install(
        self,
        address: Address,
        request: SnapshotRequest,
    ) -> AppendReply:
        """Send a snapshot, or raise ``LinkError``."""
        stub = self._stub(address)
        try:
            async with asyncio.timeout(_SNAPSHOT_SECONDS):
                return await stub.InstallSnapshot(request)
        except TRANSPORT_ERRORS as error:
            raise self._drop_channel(address, error) from error

    def close(self) -> None:
        """Close every channel."""
        for channel in self.channels.values():
            channel.close()

    def _call_timeout(self) -> float:
        return self.timeout + self.scheduling_delay.allowance()

    def _drop_channel(self, address: Address, error: BaseException) -> LinkError:
        """Close the channel and return the error to raise.

        A peer that lost power doesn't close the connection.  If the channel were
        kept, calls would wait for TCP retransmissions, whose intervals grow to
        seconds, long after the peer has restarted.
        """
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()
        return LinkError(f'{address}: {error!r}')

    def _stub(self, address: Address) -> ReplicationStub:
        if address not in self.channels:
            self.channels[address] = open_channel(address, self.fleet_token)
        return ReplicationStub(self.channels[address])
