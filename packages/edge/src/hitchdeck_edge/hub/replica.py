"""Creation of the replica of a hub that has a disk."""

from pathlib import Path

from hitchdeck_control.raft.replica import (
    Replica,
    ReplicaIdentity,
    StateMachineCallbacks,
    Timing,
)
from hitchdeck_control.storage.identity import open_identity
from hitchdeck_control.storage.log import DurableLog
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.wire.spread_pb2 import EvacuationList
from hitchdeck_edge.hub.state_machine import GroupStateMachine
from hitchdeck_edge.model.document import DocumentVersion
from hitchdeck_edge.settings import HubSettings
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.evacuations import Evacuations

SNAPSHOT_EVERY = 40
"""Log entries between snapshots: each holds a whole document, and disks are small."""

ORIGIN = 'log'
"""Origin that log lines give for committed state."""


def group_folder(data_folder: Path) -> Path:
    """Return the folder of the replicated group's files."""
    return data_folder / 'group'


def open_replica(
    settings: HubSettings,
    documents: Documents,
    evacuations: Evacuations,
) -> Replica | None:
    """Open the replica in the data folder; return ``None`` without a data folder.

    Raises
    ------
    StorageError
        The data folder can't be used.
    """
    if settings.data_folder is None:
        return None
    box = BoxName(settings.box)
    folder = group_folder(settings.data_folder)
    identity = open_identity(folder, box)

    def store_document(version: DocumentVersion, packed: bytes) -> None:
        documents.offer(version, packed, ORIGIN)

    def store_evacuations(message: EvacuationList) -> None:
        evacuations.offer(message, ORIGIN)

    machine = GroupStateMachine(store_document, store_evacuations)
    return Replica(
        ReplicaIdentity(identity, box, Address(settings.listen)),
        DurableLog(folder),
        StateMachineCallbacks(machine.apply, machine.dump, machine.load),
        Timing(settings.heartbeat, settings.election_timeout, SNAPSHOT_EVERY),
        boot_seconds,
    )
