"""Client for calls to the other replicas."""

import asyncio
from contextlib import AsyncExitStack

from grpclib.client import Channel, Stream
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

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

_SNAPSHOT_SECONDS = 2.0
"""Time for a peer to store a snapshot, apart from its transfer."""

_MIN_BYTES_PER_SECOND = 1_000_000
"""Rate below which a transfer counts as stuck."""

AppendStream = Stream[AppendRequest, AppendReply]


class PeerClient:
    """Channels to peers by address, opened on first use and dropped on errors.

    Attributes
    ----------
    append_streams
        Open streams of ``append`` by address: a call of its own for each heartbeat took
        three times the processor time.
    without_streams
        Peers that run software without these streams, until their channel is dropped.
    """

    def __init__(
        self, fleet_token: str, timeout: float, scheduling_delay: SchedulingDelay
    ) -> None:
        self.fleet_token = fleet_token
        self.timeout = timeout
        self.scheduling_delay = scheduling_delay
        self.channels: dict[Address, Channel] = {}
        self.append_streams: dict[Address, AppendStream] = {}
        self.without_streams: set[Address] = set()

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
        try:
            async with asyncio.timeout(self._call_timeout()):
                return await self._append(address, request)
        except TRANSPORT_ERRORS as error:
            raise self._drop_channel(address, error) from error

    async def install(
        self,
        address: Address,
        request: SnapshotRequest,
    ) -> AppendReply:
        """Send a snapshot, or raise ``LinkError``."""
        stub = self._stub(address)
        transfer = len(request.snapshot.state) / _MIN_BYTES_PER_SECOND
        seconds = self._call_timeout() + transfer + _SNAPSHOT_SECONDS
        try:
            async with asyncio.timeout(seconds):
                return await stub.InstallSnapshot(request)
        except TRANSPORT_ERRORS as error:
            raise self._drop_channel(address, error) from error

    def close(self) -> None:
        """Close every channel."""
        for channel in self.channels.values():
            channel.close()

    async def _append(self, address: Address, request: AppendRequest) -> AppendReply:
        if address not in self.without_streams:
            try:
                return await self._append_on_stream(address, request)
            except GRPCError as error:
                if error.status is not Status.UNIMPLEMENTED:
                    raise
                self.without_streams.add(address)
        return await self._stub(address).Append(request)

    async def _append_on_stream(
        self, address: Address, request: AppendRequest
    ) -> AppendReply:
        """Send a request on the open stream, and return its reply.

        A stream whose exchange fails or is cancelled is closed: its reply could arrive
        later and be taken for that of the next request.
        """
        stream = self.append_streams.pop(address, None)
        async with AsyncExitStack() as stack:
            if stream is None:
                opening = self._stub(address).AppendStream.open()
                stream = await stack.enter_async_context(opening)
            else:
                stack.push_async_exit(stream)
            await stream.send_message(request)
            reply = await stream.recv_message()
            if reply is None:
                await stream.recv_trailing_metadata()
                raise StreamTerminatedError('the peer ended the stream')
            if address in self.append_streams:
                # Two replicas of one address, while the new one replaces the old one.
                await stream.cancel()
            else:
                self.append_streams[address] = stream
                stack.pop_all()
        return reply

    def _call_timeout(self) -> float:
        return self.timeout + self.scheduling_delay.allowance()

    def _drop_channel(self, address: Address, error: BaseException) -> LinkError:
        """Close the channel and return the error to raise.

        A peer that lost power doesn't close the connection.  If the channel were
        kept, calls would wait for TCP retransmissions, whose intervals grow to
        seconds, long after the peer has restarted.
        """
        self.append_streams.pop(address, None)
        self.without_streams.discard(address)
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()
        return LinkError(f'{address}: {error!r}')

    def _stub(self, address: Address) -> ReplicationStub:
        if address not in self.channels:
            self.channels[address] = open_channel(address, self.fleet_token)
        return ReplicationStub(self.channels[address])
