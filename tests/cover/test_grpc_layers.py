"""The cheaper layers below gRPC streams behave as those of grpclib."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import Buffer
from grpclib.server import Server, Stream

from hitchdeck_core.grpc_layers import (
    MAX_HELD_BYTES,
    MessageBuffer,
    MessageChannel,
    MessageServer,
)
from hitchdeck_core.wire.spread_grpc import SpreadBase, SpreadStub
from hitchdeck_core.wire.spread_pb2 import BoxFrame, HubFrame
from standins.ports import free_address

TIMEOUT_SECONDS = 10
LARGE = 'x' * 300_000
"""Larger than the largest frame and than the usual window."""

OLD_AND_NEW = [
    (MessageChannel, MessageServer),
    (Channel, MessageServer),
    (MessageChannel, Server),
]


class Echo(SpreadBase):
    """Returns the addresses of each frame; a frame without any ends the stream."""

    async def Attend(self, stream: Stream[BoxFrame, HubFrame]) -> None:
        async for frame in stream:
            if not frame.heard:
                return
            await stream.send_message(HubFrame(hubs=frame.heard))


@asynccontextmanager
async def connected(
    channel_type: type[Channel], server_type: type[Server]
) -> AsyncIterator[Channel]:
    host, _, port = free_address().rpartition(':')
    server = server_type([Echo()])
    await server.start(host, int(port))
    try:
        async with channel_type(host, int(port)) as channel:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                yield channel
    finally:
        server.close()
        await server.wait_closed()


@pytest.mark.parametrize(('channel_type', 'server_type'), OLD_AND_NEW)
@pytest.mark.parametrize('sent', ['', 'small', LARGE])
async def test_messages_of_any_size_pass_to_old_and_new_processes(
    channel_type: type[Channel], server_type: type[Server], sent: str
) -> None:
    """A message beyond a window would block the stream, or close it as an error."""
    async with connected(channel_type, server_type) as channel:
        async with SpreadStub(channel).Attend.open() as stream:
            for _ in range(3):
                await stream.send_message(BoxFrame(heard=[sent]))
                reply = await stream.recv_message()
                assert reply is not None
                assert list(reply.hubs) == [sent]
            await stream.send_message(BoxFrame(), end=True)
            assert await stream.recv_message() is None


@pytest.mark.parametrize(('channel_type', 'server_type'), OLD_AND_NEW)
async def test_a_long_stream_of_small_messages_uses_up_no_window(
    channel_type: type[Channel], server_type: type[Server]
) -> None:
    """Bytes that are never acknowledged stop the sender after 4 MiB."""
    text = 'x' * 15_000
    async with connected(channel_type, server_type) as channel:
        async with SpreadStub(channel).Attend.open() as stream:
            for _ in range(600):
                await stream.send_message(BoxFrame(heard=[text]))
                await stream.recv_message()
            await stream.end()


async def test_many_streams_that_end_early_use_up_no_window() -> None:
    """Bytes that a stream held at its end would be lost to the connection."""
    async with connected(MessageChannel, MessageServer) as channel:
        for _ in range(1500):
            async with SpreadStub(channel).Attend.open() as stream:
                await stream.send_message(BoxFrame(heard=['x' * 3500]))
                await stream.recv_message()
                await stream.cancel()


async def test_a_reader_of_a_lost_connection_is_woken() -> None:
    async with connected(MessageChannel, MessageServer) as channel:
        async with SpreadStub(channel).Attend.open() as stream:
            await stream.send_message(BoxFrame(heard=['x']))
            await stream.recv_message()
            reading = asyncio.ensure_future(stream.recv_message())
            await asyncio.sleep(0)
            channel.close()
            with pytest.raises(StreamTerminatedError):
                await reading


@pytest.mark.parametrize(
    'frames', [[b'abcdef'], [b'ab', b'cdef'], [b'a', b'', b'bcdef']]
)
async def test_reads_return_the_bytes_of_frames_in_order(frames: list[bytes]) -> None:
    buffer = MessageBuffer(lambda size: None)
    for frame in frames:
        buffer.add(frame, len(frame))
    buffer.eof()
    reads = [await buffer.read(size) for size in (0, 4, 2, 5)]
    assert reads == [b'', b'abcd', b'ef', b'']


@pytest.mark.parametrize('buffer_type', [Buffer, MessageBuffer])
async def test_only_bytes_that_were_asked_for_are_acknowledged(
    buffer_type: type[Buffer],
) -> None:
    """A sender must not outrun a reader that stands still."""
    acknowledged: list[int] = []
    buffer = buffer_type(acknowledged.append)
    for _ in range(3):
        buffer.add(bytes(MAX_HELD_BYTES + 1), MAX_HELD_BYTES + 1)
    await buffer.read(1)
    assert acknowledged == [MAX_HELD_BYTES + 1]
    assert buffer.unacked_size() == 2 * (MAX_HELD_BYTES + 1)


async def test_held_bytes_are_acknowledged_together_or_at_the_end() -> None:
    acknowledged: list[int] = []
    buffer = MessageBuffer(acknowledged.append)
    for _ in range(5):
        buffer.add(bytes(1000), 1000)
        await buffer.read(1000)
    assert acknowledged == [5000]
    buffer.add(bytes(1000), 1000)
    await buffer.read(1000)
    assert buffer.unacked_size() == 1000


async def test_a_stream_that_ends_within_a_message_is_an_error() -> None:
    buffer = MessageBuffer(lambda size: None)
    buffer.add(b'ab', 2)
    buffer.eof()
    with pytest.raises(AssertionError):
        await buffer.read(3)
