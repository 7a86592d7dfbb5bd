"""The hubs with disks of a fleet, simulated in one process with a virtual clock.

The replicas, their elections and logs, and the upkeep of the group are the production
code.  Simulated are links, streams between hubs, machines and the platform.
"""

import asyncio
import math
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import cast
from unittest import mock

from hitchdeck_control.errors import NotLeaderError, OutcomeUnknownError
from hitchdeck_control.raft import replication
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
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.wire.hitchdeck_pb2 import (
    AppendReply,
    AppendRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from hitchdeck_core.wire.spread_pb2 import BoxFrame, GroupEntry, Hello
from hitchdeck_edge.hub import formation
from hitchdeck_edge.hub.connected_boxes import ConnectedBox, ConnectedBoxes
from hitchdeck_edge.hub.state_machine import GroupStateMachine
from hitchdeck_edge.settings import HubSettings
from tests.common.loss_account import MachineHistory

LATENCY_SECONDS = 0.002
SYNC_SECONDS = 0.002
CALL_TIMEOUT_SECONDS = 0.6
FRAME_SECONDS = 0.5
STOP_SECONDS = 0.5
OPERATOR_SECONDS = 1.0


class SimulatedLog(DurableLog):
    """Log whose writes take virtual time, and fail once its machine is down."""

    is_down = False
    hangs = False

    async def _run_in_executor(
        self, work: Callable[..., None], *arguments: object
    ) -> None:
        await asyncio.sleep(SYNC_SECONDS)
        if self.hangs:
            await asyncio.sleep(math.inf)
        if self.is_down:
            raise LinkError('the machine is down')
        work(*arguments)


@dataclass
class Machine:
    """A machine that runs a hub with a disk, in one of its incarnations."""

    name: str
    settings: HubSettings
    replica: Replica
    log: SimulatedLog
    documents: GroupStateMachine
    connected_boxes: ConnectedBoxes
    tasks: Supervisor
    streams: dict[str, tuple['Machine', ConnectedBox]] = field(default_factory=dict)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def hello(self) -> Hello:
        """Return the first message of its streams."""
        return Hello(
            box=self.name, hub_address=self.name, replica=self.replica.identity.replica
        )

    @property
    def is_leaving(self) -> bool:
        """Tell whether it has said that it stops."""
        return self.replica.identity.replica in self.connected_boxes.leaving


class SimulatedLinks:
    """Calls from one machine to the others."""

    def __init__(self, fleet: 'CoreFleet', source: str) -> None:
        self.fleet = fleet
        self.source = source

    async def vote(self, address: Address, request: VoteRequest) -> VoteReply:
        """Request a vote."""
        target = await self._reach(address)
        return await self._answer(target, handle_vote(target.replica, request))

    async def append(self, address: Address, request: AppendRequest) -> AppendReply:
        """Send entries."""
        target = await self._reach(address)
        work = replication.handle_append(target.replica, target.lock, request)
        return await self._answer(target, work)

    async def install(self, address: Address, request: SnapshotRequest) -> AppendReply:
        """Send a snapshot."""
        target = await self._reach(address)
        work = replication.handle_snapshot(target.replica, target.lock, request)
        return await self._answer(target, work)

    async def _reach(self, address: Address) -> Machine:
        await asyncio.sleep(LATENCY_SECONDS)
        if self.fleet.is_cut(self.source, address):
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise LinkError(f'{address} is silent')
        target = self.fleet.machines.get(address)
        if target is None:
            raise LinkError(f'{address} is down')
        return target

    async def _answer(self, target: Machine, work):  # type: ignore[no-untyped-def]
        """Return the answer of a call, unless it takes too long or gets lost."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                answer = await work
        except TimeoutError as error:
            raise LinkError(f'{target.name} does not answer') from error
        if await self._reach(Address(target.name)) is not target:
            raise LinkError(f'{target.name} was restarted')
        return answer


class CoreFleet:
    """Machines with disks, and what the operator was told.

    Attributes
    ----------
    silent
        Machines without power, and those that are cut off or frozen.
    half
        Machines that are cut off from all others, but not from each other.
    histories
        What happened to each machine, for the account of losses.
    acknowledged
        Version of the newest acknowledged document.
    """

    def __init__(self, folder: Path, disks: int, disks_lost: int) -> None:
        self.folder = folder
        self.disks_lost = disks_lost
        self.machines: dict[str, Machine] = {}
        self.silent: set[str] = set()
        self.half: set[str] = set()
        self.histories: dict[str, MachineHistory] = {}
        self.wiped: dict[str, int] = {}
        self.acknowledged = 0
        self.sent = 0
        self.first = [f'core-{number}' for number in range(disks)]

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def start_all(self) -> None:
        """Start the first machines, of which one founds the group."""
        for name in self.first:
            self.histories[name] = MachineHistory(name)
            self.start(name)
        founder = self.machines[self.first[0]].replica
        await formation.found_group_alone(founder)
        await self.until(lambda: self.voters() >= len(self.first))

    def add(self, name: str) -> Machine:
        """Start a new machine with an empty disk."""
        self.histories[name] = MachineHistory(name, self.now(), is_new=True)
        return self.start(name)

    def start(self, name: str) -> Machine:
        """Start a machine on its disk."""
        path = self.folder / f'{name}-{self.wiped.get(name, 0)}'
        settings = HubSettings(
            box=name,
            domain='a',
            listen=Address('127.0.0.1:1'),
            control_listen=Address('127.0.0.1:2'),
            directory_listen=Address('127.0.0.1:3'),
            disks_lost=self.disks_lost,
        )
        identity = open_identity(path, BoxName(name))
        log = SimulatedLog(path)
        documents = GroupStateMachine(lambda *_: None, lambda *_: None)
        replica = Replica(
            ReplicaIdentity(identity, BoxName(name), Address(name)),
            log,
            StateMachineCallbacks(documents.apply, documents.dump, documents.load),
            Timing(settings.heartbeat, settings.election_timeout, 40),
            self.now,
        )
        boxes = ConnectedBoxes(self.now, 'a')
        machine = Machine(
            name, settings, replica, log, documents, boxes, Supervisor(name)
        )
        self.machines[name] = machine
        self.silent.discard(name)
        self._run(machine)
        return machine

    def kill(self, name: str, *, power: bool = False) -> None:
        """End a machine's hub at once; without power its peers see no reset."""
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        machine.log.is_down = True
        for task in machine.tasks.tasks.values():
            task.cancel()
        machine.tasks.stopping = True
        if power:
            self.silent.add(name)
            return
        for peer, box in machine.streams.values():
            peer.connected_boxes.unregister(box)

    async def terminate(self, name: str) -> None:
        """Stop a machine's hub as a signal does, and wait for its end."""
        machine = self.machines.get(name)
        if machine is None:
            return
        machine.connected_boxes.leaving.add(machine.replica.identity.replica)
        self._send_frames(machine)
        await formation.hand_over_vote(
            machine.replica,
            formation.voting_policy(machine.settings),
            machine.settings.stop_grace,
        )
        await asyncio.sleep(STOP_SECONDS)
        if self.machines.get(name) is machine:
            self.kill(name)

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether a machine gets no answer from another one, not even a reset."""
        across = (source in self.half) != (target in self.half)
        return across or bool({source, target} & self.silent)

    def leader(self) -> Machine | None:
        """Return the machine that leads with a lease, if any."""
        leaders = [
            one
            for one in self.machines.values()
            if one.name not in self.silent and one.replica.has_lease()
        ]
        return leaders[0] if leaders else None

    def voters(self) -> int:
        """Return how many voters the leader counts."""
        leader = self.leader()
        return len(leader.replica.voters()) if leader else 0

    async def publish(self) -> bool:
        """Send a new document to the leader; tell whether it was acknowledged."""
        leader = self.leader()
        if leader is None or self.voters() < leader.settings.voters_needed:
            return False
        self.sent += 1
        entry = GroupEntry(version=self.sent, body=b'x')
        try:
            async with asyncio.timeout(OPERATOR_SECONDS):
                await leader.replica.propose(entry.SerializeToString())
        except (NotLeaderError, OutcomeUnknownError, TimeoutError):
            return False
        self.acknowledged = max(self.acknowledged, int(entry.version))
        return True

    def read(self) -> int | None:
        """Return the newest version if a leader is sure of it."""
        leader = self.leader()
        return None if leader is None else int(leader.documents.newest.version)

    async def until(self, condition: Callable[[], bool], seconds: float = 12) -> None:
        """Wait until a condition holds; fail with the state of the group."""
        deadline = self.now() + seconds
        while not condition():
            assert self.now() < deadline, self.describe()
            await asyncio.sleep(0.05)

    def describe(self) -> str:
        """Describe the members that each machine knows, for failures."""
        states = [
            f'{one.name}: {one.replica.role.name} term {one.replica.term} '
            f'commit {one.replica.commit_index} of {one.replica.log.last_index} '
            f'voters {sorted(member.replica for member in one.replica.voters())}'
            for one in self.machines.values()
        ]
        states.append(
            f'cut {self.silent} {self.half}, acknowledged {self.acknowledged}'
        )
        return '\n'.join([f'at {self.now():.2f}', *states])

    async def close(self) -> None:
        """End all machines."""
        for name in list(self.machines):
            self.kill(name)
        await asyncio.sleep(0)

    def _run(self, machine: Machine) -> None:
        replica = machine.replica
        links = cast(PeerClient, SimulatedLinks(self, machine.name))
        policy = formation.voting_policy(machine.settings)
        keep = machine.tasks.permanent
        keep('election', lambda: run_elections(replica, links))
        keep('replication', lambda: replication.replicate(replica, links))
        keep('log', lambda: replication.write_log(replica))
        keep('apply', lambda: replication.apply_log(replica))
        keep('frames', lambda: self._exchange(machine))
        keep(
            'group',
            lambda: formation.maintain_group(replica, machine.connected_boxes, policy),
        )

    async def _exchange(self, machine: Machine) -> None:
        while True:
            await asyncio.sleep(LATENCY_SECONDS)
            self._send_frames(machine)
            await asyncio.sleep(FRAME_SECONDS)

    def _send_frames(self, machine: Machine) -> None:
        for peer in self.machines.values():
            if peer is machine or self.is_cut(machine.name, peer.name):
                continue
            known, box = machine.streams.get(peer.name, (None, None))
            if known is not peer or box is None:
                box = peer.connected_boxes.register(machine.hello)
                machine.streams[peer.name] = (peer, box)
            frame = BoxFrame(leaving=machine.is_leaving)
            peer.connected_boxes.record_frame(box, frame)


@contextmanager
def simulated_time(seed: int = 1) -> Iterator[None]:
    """Let ticks follow the virtual clock, and syncs of files take no real time."""

    def loop_seconds() -> float:
        return asyncio.get_running_loop().time()

    random.seed(seed)
    with (
        mock.patch('hitchdeck_core.ticks.boot_seconds', loop_seconds),
        mock.patch('os.fsync'),
        mock.patch('os.fdatasync'),
        mock.patch('hitchdeck_core.logs.info'),
        mock.patch('hitchdeck_core.logs.warning'),
    ):
        yield
