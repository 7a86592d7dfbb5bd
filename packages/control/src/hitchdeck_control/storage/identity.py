"""The identity of a replica, which belongs to its data folder.

A box that lost its disk starts with an empty folder, and so with a new identity that
is not in any membership.  It can neither vote nor be counted as the old replica.
"""

import secrets
from pathlib import Path

from hitchdeck_control.errors import StorageError
from hitchdeck_control.storage.files import replace_file, sync_folder
from hitchdeck_core.ids import BoxName, ReplicaId

_IDENTITY_FILE = 'identity'
_RANDOM_BYTES = 8


def open_identity(folder: Path, box: BoxName) -> ReplicaId:
    """Return the identity in a data folder; create one in a new folder."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        sync_folder(folder.parent)
        return _read_or_create(folder, box)
    except OSError as error:
        raise StorageError(f'data folder {folder}: {error}') from error


def _read_or_create(folder: Path, box: BoxName) -> ReplicaId:
    path = folder / _IDENTITY_FILE
    if path.exists():
        replica = ReplicaId(path.read_text().strip())
        if replica.rpartition('#')[0] != box:
            raise StorageError(f'{path} belongs to {replica}, not to box {box}')
        return replica
    if any(folder.glob('wal-*')) or any(folder.glob('snapshot')):
        raise StorageError(f'{folder} contains a log but no {_IDENTITY_FILE} file')
    replica = ReplicaId(f'{box}#{secrets.token_hex(_RANDOM_BYTES)}')
    replace_file(path, replica.encode())
    return replica
