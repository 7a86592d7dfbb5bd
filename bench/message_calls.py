"""Calls of Python functions that a message between processes takes, on both sides."""

import asyncio
import cProfile
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

from grpclib._typing import IServable
from grpclib.server import Stream

from hitchdeck_control.raft.delays import SchedulingDelay
from hitchdeck_control.raft.peer_client import PeerClient
from hitchdeck_control.raft.replica import (
    Replica,
    ReplicaIdentity,
    StateMachineCallbacks,
    Timing,
)
from hitchdeck_control.raft.service import ReplicationService
from hitchdeck_control.storage.log import DurableLog
from hitchdeck_core.channels import open_channel, serve
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, BoxName, ReplicaId
from hitchdeck_core.loop_load import MeteredLoop
from hitchdeck_core.wire.hitchdeck_pb2 import AppendRequest
from hitchdeck_core.wire.spread_grpc import SpreadBase, SpreadStub
from hitchdeck_core.wire.spread_pb2 import BoxFrame, HubFrame
from standins.ports import free_address

EXCHANGES = 200
TOKEN = 'token'


class CountedCalls:
    """Counts the calls of Python functions within a ``with`` statement."""

    def __init__(self) -> None:
        self.count = 0
        self.profile = cProfile.Profile(builtins=False)

    def __enter__(self) -> 'CountedCalls':
        self.profile.enable()
        return self

    def __exit__(self, *raised: object) -> None:
        self.profile.disable()
        self.count = sum(entry.callcount for entry in self.profile.getstats())


def calls_of_messages() -> dict[str, float]:
    """Return the calls of Python functions per message, on both sides, by kind."""
    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        return {
            'frames of a box and a hub': runner.run(_calls_of_frames()),
            'heartbeat of the group': runner.run(_calls_of_heartbeats()),
        }


class _Echo(SpreadBase):
    async def Attend(self, stream: Stream[BoxFrame, HubFrame]) -> None:
        async for _ in stream:
            await stream.send_message(HubFrame())


async def _calls_of_frames() -> float:
    async with _served(_Echo()) as address:
        async with open_channel(address, TOKEN) as channel:
            async with SpreadStub(channel).Attend.open() as stream:

                async def exchange() -> None:
                    await stream.send_message(BoxFrame(version=1))
                    await stream.recv_message()

                calls = await _calls_per_exchange(exchange)
                await stream.end()
    return calls


async def _calls_of_heartbeats() -> float:
    with tempfile.TemporaryDirectory() as folder:
        replica = Replica(
            ReplicaIdentity(ReplicaId('r'), BoxName('b'), Address('')),
            DurableLog(Path(folder)),
            StateMachineCallbacks(lambda _: None, bytes, lambda _: None),
            Timing(heartbeat=1, election_timeout=1, snapshot_every=1),
            boot_seconds,
        )
        request = AppendRequest(leader='l', term=1, target='r')
        client = PeerClient(TOKEN, 1, SchedulingDelay(boot_seconds, 1))
        async with _served(ReplicationService(replica)) as address:

            async def exchange() -> None:
                await client.append(address, request)

            calls = await _calls_per_exchange(exchange)
            client.close()
        replica.log.close()
    return calls


@asynccontextmanager
async def _served(service: IServable) -> AsyncIterator[Address]:
    address = Address(free_address())
    server = await serve([service], address, lambda token, method: True)
    try:
        yield address
    finally:
        server.close()


async def _calls_per_exchange(exchange: Callable[[], Awaitable[None]]) -> float:
    for _ in range(EXCHANGES):
        await exchange()
    with CountedCalls() as calls:
        for _ in range(EXCHANGES):
            await exchange()
    return round(calls.count / EXCHANGES, 1)
