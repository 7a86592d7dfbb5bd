"""Assembly and startup of a control replica."""

import hmac
from collections.abc import Iterable
from dataclasses import dataclass

from grpclib.server import Server

from hitchdeck_control.errors import DiskFailedError
from hitchdeck_control.fleet.leader import Leader
from hitchdeck_control.fleet.orders import OrderSender, WeightStore
from hitchdeck_control.machine.state_machine import StateMachine, first_command
from hitchdeck_control.raft import replication
from hitchdeck_control.raft.election import run_elections
from hitchdeck_control.raft.peer_client import PeerClient
from hitchdeck_control.raft.replica import (
    Replica,
    ReplicaIdentity,
    StateMachineCallbacks,
    Timing,
)
from hitchdeck_control.raft.service import ReplicationService
from hitchdeck_control.service import ControlService
from hitchdeck_control.storage.identity import open_identity
from hitchdeck_control.storage.log import DurableLog
from hitchdeck_core import logs
from hitchdeck_core.channels import Authorizer, serve
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.hashing import token_hash
from hitchdeck_core.ids import BoxName
from hitchdeck_core.settings import ControlSection, Settings
from hitchdeck_core.supervisor import Supervisor

_OPERATOR_METHODS = ('/Execute', '/Read', '/Identify', '/Found', '/Replace')


@dataclass(slots=True)
class ControlProcess:
    """A running control replica."""

    replica: Replica
    leader: Leader
    peer_client: PeerClient
    server: Server
    supervisor: Supervisor

    async def stop(self) -> None:
        """Stop the server, then the tasks, then close the files."""
        self.server.close()
        await self.supervisor.stop()
        self.peer_client.close()
        self.replica.log.close()


async def start_control(settings: Settings) -> ControlProcess:
    """Start the control role of a process.

    Raises
    ------
    StorageError
        The data folder is unusable.
    """
    section = settings.control
    assert section is not None, 'settings are validated before'
    replica, machine = _open_replica(settings, section)
    leader = Leader(replica, machine, section.router_lease)
    peer_client = PeerClient(
        settings.fleet_token, section.election_timeout, replica.scheduling_delay
    )
    # A full disk is not fatal: the task is restarted until there is space.
    supervisor = Supervisor('control', fatal=(DiskFailedError,))
    supervisor.permanent('election', lambda: run_elections(replica, peer_client))
    supervisor.permanent(
        'replication', lambda: replication.replicate(replica, peer_client)
    )
    supervisor.permanent('log', lambda: replication.write_log(replica))
    supervisor.permanent('apply', lambda: replication.apply_log(replica))
    supervisor.permanent('duties', leader.assign_shards)
    orders = OrderSender(leader, WeightStore(section.weight_store_rate))
    supervisor.permanent('orders', orders.run)
    server = await serve(
        [ReplicationService(replica), ControlService(leader)],
        section.listen,
        _authorize(settings.fleet_token, section.operator_key_hashes),
    )
    logs.info(
        'control listens', address=section.listen, replica=replica.identity.replica
    )
    return ControlProcess(replica, leader, peer_client, server, supervisor)


def _open_replica(
    settings: Settings,
    section: ControlSection,
) -> tuple[Replica, StateMachine]:
    box = BoxName(settings.box)
    identity = open_identity(section.data_folder, box)
    machine = StateMachine(section.ledger_retention)
    replica = Replica(
        ReplicaIdentity(identity, box, section.listen),
        DurableLog(section.data_folder),
        StateMachineCallbacks(
            machine.apply, machine.dump, machine.load, first_command()
        ),
        Timing(section.heartbeat, section.election_timeout, section.snapshot_every),
        boot_seconds,
    )
    return replica, machine


def _authorize(fleet_token: str, operator_hashes: Iterable[str]) -> Authorizer:
    hashes = list(operator_hashes)

    def authorize(presented_token: str, method: str) -> bool:
        if hmac.compare_digest(presented_token.encode(), fleet_token.encode()):
            return True
        known = any(
            hmac.compare_digest(token_hash(presented_token), one) for one in hashes
        )
        return known and method.endswith(_OPERATOR_METHODS)

    return authorize
