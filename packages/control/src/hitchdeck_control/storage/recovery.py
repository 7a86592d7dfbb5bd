"""Recovery of a data folder at startup: reading, truncation and corruption."""

import os
from dataclasses import field
from io import FileIO
from pathlib import Path

from hitchdeck_control.errors import DamagedLogError, StorageError
from hitchdeck_control.storage.files import sync_folder
from hitchdeck_control.storage.records import Damage, frame, unframe
from hitchdeck_core import logs
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.wire.hitchdeck_pb2 import Entry, LogRecord, Snapshot

SNAPSHOT_FILE = 'snapshot'

_SEGMENT_PATTERN = 'wal-*.log'


@dataclass(slots=True)
class RecoveredLog:
    """State read from a data folder."""

    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
    term: int = 0
    vote: str = ''
    segment: int = 1


def segments_of(folder: Path) -> list[Path]:
    """Return the segments of the log, the oldest first."""
    return sorted(folder.glob(_SEGMENT_PATTERN))


def segment_path(folder: Path, number: int) -> Path:
    """Return the path of a segment."""
    return folder / f'wal-{number:010d}.log'


def open_segment(folder: Path, number: int) -> FileIO:
    """Open a segment for appending, and sync its folder entry.

    The file is unbuffered, so that closing it can't write data later that the disk
    rejected.
    """
    try:
        stream = segment_path(folder, number).open('ab', buffering=0)
        sync_folder(folder)
    except OSError as error:
        raise StorageError(f'{folder}: {error}') from error
    return stream


def recover(folder: Path) -> RecoveredLog:
    """Read a data folder.

    Raises
    ------
    DamagedLogError
        Synced data is corrupt; the message names the file and the byte.
    StorageError
        The folder can't be read.
    """
    recovered = RecoveredLog()
    try:
        _read_snapshot(folder / SNAPSHOT_FILE, recovered)
        for path in segments_of(folder):
            _read_segment(path, recovered)
    except OSError as error:
        raise StorageError(f'{folder}: {error}') from error
    return recovered


def _read_snapshot(path: Path, recovered: RecoveredLog) -> None:
    if not path.exists():
        return
    payload = next(unframe(path.read_bytes()), Damage(0, torn_tail=False))
    if isinstance(payload, Damage):
        raise DamagedLogError(f'{path}: damaged at byte {payload.offset}')
    recovered.snapshot = Snapshot.FromString(payload)


def _read_segment(path: Path, recovered: RecoveredLog) -> None:
    recovered.segment = int(path.stem.partition('-')[2])
    offset = 0
    for payload in unframe(path.read_bytes()):
        if isinstance(payload, Damage):
            _truncate_or_raise(path, payload)
            return
        record = LogRecord.FromString(payload)
        recovered.term = int(record.term)
        recovered.vote = record.vote
        _replay(f'{path}: byte {offset}', record, recovered)
        offset += len(frame(payload))


def _replay(origin: str, record: LogRecord, recovered: RecoveredLog) -> None:
    base = int(recovered.snapshot.last_index)
    new_entries = [entry for entry in record.entries if entry.index > base]
    if not new_entries:
        return
    kept_count = int(new_entries[0].index) - base - 1
    if kept_count > len(recovered.entries):
        last = base + len(recovered.entries)
        raise DamagedLogError(f'{origin}: entry {new_entries[0].index} follows {last}')
    recovered.entries[kept_count:] = new_entries


def _truncate_or_raise(path: Path, damage: Damage) -> None:
    if not damage.torn_tail:
        raise DamagedLogError(
            f'{path}: damaged at byte {damage.offset}, records follow; '
            'move the data folder away and replace this replica',
        )
    logs.warning('torn log tail cut', file=str(path), byte=damage.offset)
    with path.open('r+b') as stream:
        stream.truncate(damage.offset)
        os.fsync(stream.fileno())
