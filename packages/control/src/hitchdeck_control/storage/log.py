"""The replica's durable log: entries, term, vote and snapshot.

Writes are queued in memory and one writer syncs all that is queued as one
record (group commit).  Nothing may be promised to anybody before ``flush``
has returned.
"""

import asyncio
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import BinaryIO

from hitchdeck_control.errors import DamagedLogError, StorageError
from hitchdeck_control.storage.files import replace_file, sync_folder
from hitchdeck_control.storage.records import Damage, frame, unframe
from hitchdeck_core import logs
from hitchdeck_core.wire.hitchdeck_pb2 import Entry, LogRecord, Member, Snapshot

_SNAPSHOT_FILE = 'snapshot'
_SEGMENT_PATTERN = 'wal-*.log'


class DurableLog:
    """Log of one replica; indexes start at 1.

    Attributes
    ----------
    entries
        Entries after the snapshot, the first having ``snapshot.last_index + 1``.
    synced_index
        Last index that survives a crash now.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        self.term = 0
        self.vote = ''
        self.synced_index = 0
        self.segment = 0
        self.stream: BinaryIO | None = None
        self.pending: list[LogRecord] = []
        self.failed: Exception | None = None
        self.writing = asyncio.Lock()
        self.thread = ThreadPoolExecutor(1, 'log-writer')
        self._load()

    @property
    def last_index(self) -> int:
        """Index of the last entry in memory."""
        return int(self.snapshot.last_index) + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry in memory."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Return the term at an index, 0 for the empty start, -1 if unknown."""
        base = int(self.snapshot.last_index)
        if index == base:
            return int(self.snapshot.last_term)
        if not base < index <= self.last_index:
            return -1
        return int(self.entries[index - base - 1].term)

    def slice(self, start: int, most: int) -> list[Entry]:
        """Return up to ``most`` entries from index ``start`` on."""
        position = start - int(self.snapshot.last_index) - 1
        assert position >= 0, 'entries before the snapshot are gone'
        return self.entries[position : position + most]

    def members(self) -> list[Member]:
        """Return the membership in effect: the latest one in the log."""
        for entry in reversed(self.entries):
            if entry.members:
                return list(entry.members)
        return list(self.snapshot.members)

    def append(self, entries: list[Entry]) -> None:
        """Queue entries; those at known indexes replace the rest from there."""
        if not entries:
            return
        keep = int(entries[0].index) - int(self.snapshot.last_index) - 1
        assert 0 <= keep <= len(self.entries), 'no gaps in the log'
        self.entries[keep:] = entries
        self.synced_index = min(self.synced_index, int(entries[0].index) - 1)
        self._queue(entries)

    def save_vote(self, term: int, vote: str) -> None:
        """Queue a new term and vote."""
        self.term = term
        self.vote = vote
        self._queue([])

    async def flush(self) -> None:
        """Return once everything queued before this call is synced.

        Raises
        ------
        StorageError
            The disk refused; this replica must not promise anything more.
        """
        target = self.last_index
        async with self.writing:
            if self.pending:
                await self._write_pending()
        assert self.synced_index >= min(target, self.last_index)

    async def compact(self, snapshot: Snapshot) -> None:
        """Replace entries up to the snapshot's index by the snapshot."""
        async with self.writing:
            if snapshot.last_index <= self.snapshot.last_index:
                return
            await self._in_thread(
                replace_file,
                self.folder / _SNAPSHOT_FILE,
                frame(snapshot.SerializeToString()),
            )
            self._drop_entries(snapshot)
            await self._start_segment()

    def close(self) -> None:
        """Release the file and the thread."""
        self.thread.shutdown()
        if self.stream is not None:
            self.stream.close()

    def _drop_entries(self, snapshot: Snapshot) -> None:
        index = int(snapshot.last_index)
        known = self.term_at(index) == snapshot.last_term
        kept = self.slice(index + 1, len(self.entries)) if known else []
        self.snapshot = snapshot
        self.entries = kept
        # What was queued is either in the snapshot or in the new segment.
        self.pending = []

    def _queue(self, entries: list[Entry]) -> None:
        record = LogRecord(term=self.term, vote=self.vote, entries=entries)
        self.pending.append(record)

    async def _write_pending(self) -> None:
        records, self.pending = self.pending, []
        last = self.last_index
        entries = [entry for record in records for entry in record.entries]
        batch = LogRecord(
            term=records[-1].term,
            vote=records[-1].vote,
            entries=entries,
        )
        await self._in_thread(self._write, batch.SerializeToString())
        self._mark_synced(last)

    def _mark_synced(self, last: int) -> None:
        # Entries that were replaced while the disk worked are not synced.
        self.synced_index = min(last, self.last_index)
        for record in self.pending:
            if record.entries:
                replaced_from = int(record.entries[0].index)
                self.synced_index = min(self.synced_index, replaced_from - 1)

    def _write(self, payload: bytes) -> None:
        assert self.stream is not None
        self.stream.write(frame(payload))
        self.stream.flush()
        os.fdatasync(self.stream.fileno())

    async def _in_thread(
        self,
        work: Callable[..., None],
        *arguments: object,
    ) -> None:
        if self.failed is not None:
            raise StorageError(f'disk failed earlier: {self.failed}')
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self.thread, work, *arguments)
        except OSError as error:
            # After a failed sync the kernel may have dropped the pages: a
            # second sync that succeeds proves nothing.
            self.failed = error
            raise StorageError(f'{self.folder}: {error}') from error

    async def _start_segment(self) -> None:
        record = LogRecord(term=self.term, vote=self.vote, entries=self.entries)
        last = self.last_index
        await self._in_thread(self._rotate, record.SerializeToString())
        self._mark_synced(last)

    def _rotate(self, payload: bytes) -> None:
        old_segments = sorted(self.folder.glob(_SEGMENT_PATTERN))
        if self.stream is not None:
            self.stream.close()
        self.segment += 1
        path = self.folder / f'wal-{self.segment:010d}.log'
        replace_file(path, frame(payload))
        self.stream = path.open('ab')
        for old in old_segments:
            old.unlink()
        sync_folder(self.folder)

    def _load(self) -> None:
        try:
            self._load_snapshot()
            self._load_segments()
        except OSError as error:
            raise StorageError(f'{self.folder}: {error}') from error
        self.synced_index = self.last_index

    def _load_snapshot(self) -> None:
        path = self.folder / _SNAPSHOT_FILE
        if not path.exists():
            return
        payload = next(unframe(path.read_bytes()), Damage(0, torn_tail=False))
        if isinstance(payload, Damage):
            raise DamagedLogError(f'{path}: damaged at byte {payload.offset}')
        self.snapshot = Snapshot.FromString(payload)

    def _load_segments(self) -> None:
        paths = sorted(self.folder.glob(_SEGMENT_PATTERN))
        for path in paths:
            self._load_segment(path)
            self.segment = int(path.stem.partition('-')[2])
        if not paths:
            self.segment = 1
        path = self.folder / f'wal-{self.segment:010d}.log'
        self.stream = path.open('ab')
        sync_folder(self.folder)

    def _load_segment(self, path: Path) -> None:
        offset = 0
        for payload in unframe(path.read_bytes()):
            if isinstance(payload, Damage):
                self._cut_or_refuse(path, payload)
                return
            record = LogRecord.FromString(payload)
            self.term = int(record.term)
            self.vote = record.vote
            self._replay(path, offset, list(record.entries))
            offset += len(frame(payload))

    def _replay(self, path: Path, offset: int, entries: list[Entry]) -> None:
        base = int(self.snapshot.last_index)
        fresh = [entry for entry in entries if entry.index > base]
        if not fresh:
            return
        keep = int(fresh[0].index) - base - 1
        if keep > len(self.entries):
            raise DamagedLogError(
                f'{path}: byte {offset}: entry {fresh[0].index} follows entry '
                f'{self.last_index}',
            )
        self.entries[keep:] = fresh

    def _cut_or_refuse(self, path: Path, damage: Damage) -> None:
        if not damage.torn_tail:
            raise DamagedLogError(
                f'{path}: damaged at byte {damage.offset}, records follow; '
                'move the data folder away and replace this replica',
            )
        logs.warning('torn log tail cut', file=str(path), byte=damage.offset)
        with path.open('r+b') as stream:
            stream.truncate(damage.offset)
            os.fsync(stream.fileno())
