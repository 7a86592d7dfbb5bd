"""A Raft group in one process: real replicas on fake links that can be cut."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import cast

from hitchdeck_control.errors import NotLeaderError, OutcomeUnknownError
from hitchdeck_control.machine.state_machine import StateMachine, first_command
from hitchdeck_control.raft import membership, replication
from hitchdeck_control.raft.election import handle_vote, run_elections
from hitchdeck_control.raft.peer_client import PeerClient
from hitchdeck_control.raft.replica import (
    Replica,
    ReplicaIdentity,
    StateMachineCallbacks,
    Timing,
)
from hitchdeck_control.storage.identity import open_identity
from hitchdeck_control.storage.log import DurableLog
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.commands import Put, Submission, submission_codec
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.outcomes import Outcome
from hitchdeck_core.resources import Account
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.wire.hitchdeck_pb2 import (
    AppendReply,
    AppendRequest,
    Member,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)

TIMING = Timing(heartbeat=0.02, election_timeout=0.15, snapshot_every=50)

_TIMEOUT_SECONDS = 15.0
_POLL_SECONDS = 0.01


class FakeLinks:
    """Calls between replicas of one process; a call on a cut link fails."""

    def __init__(self, group: 'Group', source: str) -> None:
        self.group = group
        self.source = source

    async def vote(self, address: Address, request: VoteRequest) -> VoteReply:
        """Request a vote."""
        return await handle_vote(self._target(address).replica, request)

    async def append(self, address: Address, request: AppendRequest) -> AppendReply:
        """Send entries."""
        node = self._target(address)
        reply = await replication.handle_append(node.replica, node.lock, request)
        self._target(address)
        return reply

    async def install(
        self,
        address: Address,
        request: SnapshotRequest,
    ) -> AppendReply:
        """Send a snapshot."""
        node = self._target(address)
        return await replication.handle_snapshot(node.replica, node.lock, request)

    def _target(self, address: Address) -> 'Node':
        node = self.group.nodes.get(address)
        if node is None or {self.source, address} & self.group.cut:
            raise LinkError(f'{self.source} to {address} is cut')
        return node


@dataclass
class Node:
    """One running replica."""

    name: str
    replica: Replica
    machine: StateMachine
    tasks: Supervisor
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass
class Group:
    """A group; replicas named in ``cut`` are partitioned from all others."""

    folder: Path
    now: Callable[[], float] = boot_seconds
    nodes: dict[str, Node] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)

    def start(self, name: str, folder: str = '') -> Node:
        """Start a replica on a folder, by default the one of its name."""
        path = self.folder / (folder or name)
        box = BoxName(name)
        machine = StateMachine(1000)
        replica = Replica(
            ReplicaIdentity(open_identity(path, box), box, Address(name)),
            DurableLog(path),
            StateMachineCallbacks(
                machine.apply, machine.dump, machine.load, first_command()
            ),
            TIMING,
            self.now,
        )
        node = Node(name, replica, machine, Supervisor(name))
        links = cast(PeerClient, FakeLinks(self, name))
        keep = node.tasks.permanent
        keep('election', lambda: run_elections(replica, links))
        keep('replication', lambda: replication.replicate(replica, links))
        keep('log', lambda: replication.write_log(replica))
        keep('apply', lambda: replication.apply_log(replica))
        self.nodes[name] = node
        return node

    async def stop(self, name: str) -> None:
        """Stop a replica and keep its folder."""
        node = self.nodes.pop(name)
        await node.tasks.stop()
        node.replica.log.close()

    async def found(self) -> None:
        """Found a group of all running replicas."""
        members = [self.member(name, voter=True) for name in self.nodes]
        for node in self.nodes.values():
            await membership.found_group(node.replica, members)

    def member(self, name: str, *, voter: bool = False) -> Member:
        """Return the membership record of a running replica."""
        me = self.nodes[name].replica.identity
        return Member(
            replica=me.replica,
            box=me.box,
            address=me.address,
            voter=voter,
        )

    async def leader(self) -> Node:
        """Wait for a leader with a lease among the replicas that are not cut off."""

        def leading() -> list[Node]:
            return [
                node
                for node in self.nodes.values()
                if node.replica.has_lease() and node.name not in self.cut
            ]

        await until(lambda: bool(leading()))
        return leading()[0]

    async def put(self, name: str, operator: str = '', number: int = 0) -> Outcome:
        """Commit an account through the current leader; retry until it succeeds."""
        command = Put(resource=Account(name=name))
        submission = Submission(
            command=command,
            operator=operator,
            number=number,
            digest=name,
        )
        encoded = submission_codec.dump_json(submission)
        while True:
            node = await self.leader()
            try:
                async with asyncio.timeout(1):
                    return await node.replica.propose(encoded)
            except (NotLeaderError, OutcomeUnknownError, TimeoutError):
                await asyncio.sleep(_POLL_SECONDS)

    async def close(self) -> None:
        """Stop all replicas."""
        for name in list(self.nodes):
            await self.stop(name)


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after a timeout."""
    deadline = boot_seconds() + _TIMEOUT_SECONDS
    while not condition():
        assert boot_seconds() < deadline, 'timed out while waiting for the condition'
        await asyncio.sleep(_POLL_SECONDS)
