"""Streams on which a leader sends entries and heartbeats to another replica."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import cast

import pytest
from grpclib.const import Handler
from grpclib.server import Server, Stream

from hitchdeck_control.raft.delays import SchedulingDelay
from hitchdeck_control.raft.peer_client import PeerClient
from hitchdeck_control.raft.replica import Replica
from hitchdeck_control.raft.service import ReplicationService
from hitchdeck_core.channels import serve
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address
from hitchdeck_core.ticks import until_next_tick
from hitchdeck_core.wire.hitchdeck_pb2 import (
    AppendReply,
    AppendRequest,
    Snapshot,
    SnapshotRequest,
)
from standins.ports import free_address

TIMEOUT_SECONDS = 2.0
SNAPSHOT_PATIENCE_SECONDS = 8.0


class Peer(ReplicationService):
    """A replica that answers with the index of a request.

    Attributes
    ----------
    requests
        Number of requests that arrived.
    calls
        The method of each call.
    answers
        Set while requests are answered.
    """

    def __init__(self) -> None:
        super().__init__(cast(Replica, self))
        self.requests = 0
        self.calls: list[str] = []
        self.answers = asyncio.Event()
        self.answers.set()
        self.fails = False
        self.open_streams = 0

    async def Append(self, stream: Stream[AppendRequest, AppendReply]) -> None:
        self.calls.append('Append')
        await super().Append(stream)

    async def AppendStream(self, stream: Stream[AppendRequest, AppendReply]) -> None:
        self.calls.append('AppendStream')
        self.open_streams += 1
        try:
            await super().AppendStream(stream)
        finally:
            self.open_streams -= 1


async def answer(peer: Peer, lock: object, request: AppendRequest) -> AppendReply:
    peer.requests += 1
    await peer.answers.wait()
    if peer.fails:
        raise OSError('the disk is full')
    return AppendReply(last_index=request.previous_index)


@pytest.fixture(autouse=True)
def _answers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('hitchdeck_control.raft.service.handle_append', answer)


class OldPeer(Peer):
    """Runs software without the streams."""

    def __mapping__(self) -> dict[str, Handler]:
        methods = super().__mapping__()
        return {one: methods[one] for one in methods if not one.endswith('Stream')}


@asynccontextmanager
async def linked(peer: Peer) -> AsyncIterator[Callable[[int], 'asyncio.Task[int]']]:
    """Serve a peer; yield a function that sends it an index in a task."""
    address = Address(free_address())
    server: Server = await serve([peer], address, lambda token, method: True)
    client = PeerClient('token', TIMEOUT_SECONDS, SchedulingDelay(boot_seconds, 1))

    async def append(index: int) -> int:
        reply = await client.append(address, AppendRequest(previous_index=index))
        return int(reply.last_index)

    try:
        yield lambda index: asyncio.ensure_future(append(index))
    finally:
        client.close()
        server.close()


async def test_heartbeats_share_one_stream() -> None:
    peer = Peer()
    async with linked(peer) as append:
        assert [await append(index) for index in range(5)] == list(range(5))
        assert peer.calls == ['AppendStream']


async def test_a_peer_that_runs_older_software_gets_single_calls() -> None:
    """A release replaces the hubs one by one, and the leader may be the first."""
    peer = OldPeer()
    async with linked(peer) as append:
        assert [await append(index) for index in range(3)] == list(range(3))
        assert peer.calls == ['Append'] * 3


async def test_a_late_reply_is_not_taken_for_that_of_the_next_request() -> None:
    """A wrong reply would count entries as synced that are not."""
    peer = Peer()
    async with linked(peer) as append:
        assert await append(1) == 1
        peer.answers.clear()
        pending = append(2)
        while peer.requests < 2:
            await asyncio.sleep(0)
        pending.cancel()
        await asyncio.wait([pending])
        peer.answers.set()
        assert await append(3) == 3
        assert peer.open_streams == 1


async def test_a_peer_that_fails_is_reached_again_afterwards() -> None:
    peer = Peer()
    async with linked(peer) as append:
        assert await append(1) == 1
        peer.fails = True
        with pytest.raises(LinkError):
            await append(2)
        peer.fails = False
        assert await append(3) == 3


class SilentPeer(Peer):
    """A replica that freezes while it receives a snapshot."""

    async def InstallSnapshot(
        self, stream: Stream[SnapshotRequest, AppendReply]
    ) -> None:
        await asyncio.Event().wait()


@pytest.mark.parametrize('size', [0, 1_000_000])
async def test_a_peer_that_goes_silent_during_a_snapshot_is_given_up(
    size: int,
) -> None:
    # Guards against replication to a peer that stands still for a minute.
    address = Address(free_address())
    server: Server = await serve([SilentPeer()], address, lambda token, method: True)
    client = PeerClient('token', TIMEOUT_SECONDS, SchedulingDelay(boot_seconds, 1))
    request = SnapshotRequest(snapshot=Snapshot(state=bytes(size)))
    async with asyncio.timeout(SNAPSHOT_PATIENCE_SECONDS):
        with pytest.raises(LinkError):
            await client.install(address, request)
    client.close()
    server.close()


async def test_requests_of_two_replicas_at_one_address_leave_no_stream_open() -> None:
    peer = Peer()
    async with linked(peer) as append:
        for index in range(3):
            assert await asyncio.gather(append(index), append(9)) == [index, 9]
        await append(4)
        assert peer.open_streams == 1


@pytest.mark.parametrize(
    ('now', 'wait'), [(7.0, 0.1), (7.04, 0.06), (7.06, 0.14), (7.0999, 0.1001)]
)
def test_heartbeats_to_all_peers_are_due_together(now: float, wait: float) -> None:
    """The lease is 4.8 heartbeats long, so that one and a half may pass between two."""
    assert until_next_tick(now, 0, 0.1) == pytest.approx(wait)
