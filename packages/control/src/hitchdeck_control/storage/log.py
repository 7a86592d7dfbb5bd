"""The durable log of a replica: entries, term, vote and snapshot.

Writes are queued in memory, and one writer syncs all queued writes as one record
(group commit).  Nothing may be acknowledged before ``flush`` has returned.
"""

import asyncio
import errno
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from io import FileIO
from pathlib import Path

from hitchdeck_control.errors import DiskFailedError, StorageError
from hitchdeck_control.storage.files import replace_file, sync_folder
from hitchdeck_control.storage.records import frame
from hitchdeck_control.storage.recovery import (
    SNAPSHOT_FILE,
    open_segment,
    recover,
    segment_path,
    segments_of,
)
from hitchdeck_core import logs
from hitchdeck_core.wire.hitchdeck_pb2 import Entry, LogRecord, Member, Snapshot


class DurableLog:
    """Log of a replica; indexes start at 1.

    Attributes
    ----------
    entries
        Entries after the snapshot; the first has index ``snapshot.last_index + 1``.
    synced_index
        Last index that is synced to disk.
    disk_full
        The last write found the disk full; the next one starts a new segment.
    """

    def __init__(self, folder: Path) -> None:
        recovered = recover(folder)
        self.folder = folder
        self.snapshot = recovered.snapshot
        self.entries = recovered.entries
        self.term = recovered.term
        self.vote = recovered.vote
        self.synced_index = self.last_index
        self.segment = recovered.segment
        self.stream: FileIO = open_segment(folder, self.segment)
        self.pending: list[LogRecord] = []
        # Cached, since every heartbeat of every router reads it.
        self.cached_members: list[Member] | None = None
        self.disk_error: Exception | None = None
        self.disk_full = False
        self.write_lock = asyncio.Lock()
        self.executor = ThreadPoolExecutor(1, 'log-writer')

    @property
    def last_index(self) -> int:
        """Index of the last entry in memory."""
        return int(self.snapshot.last_index) + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry in memory."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Return the term at an index: 0 before the first entry, -1 if unknown."""
        base = int(self.snapshot.last_index)
        if index == base:
            return int(self.snapshot.last_term)
        if not base < index <= self.last_index:
            return -1
        return int(self.entries[index - base - 1].term)

    def slice(self, start: int, most: int) -> list[Entry]:
        """Return up to ``most`` entries, starting at index ``start``."""
        position = start - int(self.snapshot.last_index) - 1
        assert position >= 0, 'entries before the snapshot are dropped'
        return self.entries[position : position + most]

    def members(self) -> list[Member]:
        """Return the membership in effect, which is the latest in the log."""
        if self.cached_members is None:
            self.cached_members = self._find_members()
        return self.cached_members

    def append(self, entries: list[Entry]) -> None:
        """Queue entries, which replace existing ones from their first index on."""
        if not entries:
            return
        kept_count = int(entries[0].index) - int(self.snapshot.last_index) - 1
        assert 0 <= kept_count <= len(self.entries), (
            'entries must follow the log without a gap'
        )
        replaces = kept_count < len(self.entries)
        if replaces or any(entry.members for entry in entries):
            self.cached_members = None
        self.entries[kept_count:] = entries
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
            The write failed, so nothing may be acknowledged now.  Unless the disk
            was full, the failure is permanent (``DiskFailedError``).
        """
        # Shielded, since the caller may be a peer's call that times out.  Its entries
        # are already off the queue, together with those of other callers.
        await asyncio.shield(self._flush())

    async def compact(self, snapshot: Snapshot) -> None:
        """Replace entries up to the snapshot's index by the snapshot."""
        await asyncio.shield(self._compact(snapshot))

    def close(self) -> None:
        """Release the file and the thread."""
        self.executor.shutdown()
        self.stream.close()

    async def _flush(self) -> None:
        async with self.write_lock:
            # What failed to sync is off the queue, and must not be acknowledged later.
            self._check_disk()
            if self.disk_full:
                await self._rewrite_log()
            elif self.pending:
                await self._write_pending()

    async def _rewrite_log(self) -> None:
        """Write the whole log from memory to a new segment, after a full disk.

        The tail of the old segment is in an unknown state.
        """
        self.pending = []
        await self._start_segment()
        self.disk_full = False
        logs.info(
            'log rewritten to a new segment',
            folder=str(self.folder),
            segment=self.segment,
        )

    async def _compact(self, snapshot: Snapshot) -> None:
        async with self.write_lock:
            if snapshot.last_index <= self.snapshot.last_index:
                return
            await self._run_in_executor(
                replace_file,
                self.folder / SNAPSHOT_FILE,
                frame(snapshot.SerializeToString()),
            )
            self._drop_entries(snapshot)
            await self._start_segment()

    def _drop_entries(self, snapshot: Snapshot) -> None:
        index = int(snapshot.last_index)
        known = self.term_at(index) == snapshot.last_term
        kept = self.slice(index + 1, len(self.entries)) if known else []
        self.snapshot = snapshot
        self.entries = kept
        self.cached_members = None
        # Queued writes are covered by the snapshot or by the new segment.
        self.pending = []

    def _find_members(self) -> list[Member]:
        for entry in reversed(self.entries):
            if entry.members:
                return list(entry.members)
        return list(self.snapshot.members)

    def _queue(self, entries: list[Entry]) -> None:
        record = LogRecord(term=self.term, vote=self.vote, entries=entries)
        self.pending.append(record)

    async def _write_pending(self) -> None:
        records, self.pending = self.pending, []
        last = self.last_index
        batch = LogRecord(
            term=records[-1].term,
            vote=records[-1].vote,
            entries=_latest_entries(records),
        )
        await self._run_in_executor(self._write, batch.SerializeToString())
        self._mark_synced(last)

    def _mark_synced(self, last: int) -> None:
        # Entries that were replaced during the write are not synced.
        self.synced_index = min(last, self.last_index)
        for record in self.pending:
            if record.entries:
                replaced_from = int(record.entries[0].index)
                self.synced_index = min(self.synced_index, replaced_from - 1)

    def _write(self, payload: bytes) -> None:
        left = memoryview(frame(payload))
        while left:
            left = left[self.stream.write(left) :]
        os.fdatasync(self.stream.fileno())

    async def _run_in_executor(
        self,
        work: Callable[..., None],
        *arguments: object,
    ) -> None:
        self._check_disk()
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self.executor, work, *arguments)
        except OSError as error:
            if error.errno == errno.ENOSPC:
                self.disk_full = True
                raise StorageError(f'{self.folder}: {error}') from error
            # After a failed sync the kernel may have dropped the dirty pages, so
            # a later successful sync doesn't mean that they were written.
            self.disk_error = error
            raise DiskFailedError(f'{self.folder}: {error}') from error

    def _check_disk(self) -> None:
        if self.disk_error is not None:
            raise DiskFailedError(f'disk failed earlier: {self.disk_error}')

    async def _start_segment(self) -> None:
        record = LogRecord(term=self.term, vote=self.vote, entries=self.entries)
        last = self.last_index
        await self._run_in_executor(self._rotate, record.SerializeToString())
        self._mark_synced(last)

    def _rotate(self, payload: bytes) -> None:
        old_segments = segments_of(self.folder)
        path = segment_path(self.folder, self.segment + 1)
        replace_file(path, frame(payload))
        self.segment += 1
        self.stream.close()
        self.stream = path.open('ab', buffering=0)
        for old in old_segments:
            old.unlink()
        sync_folder(self.folder)


def _latest_entries(records: list[LogRecord]) -> list[Entry]:
    """Return the entries of a batch, without those replaced within it.

    Recovery replaces entries only from the first index of a record on, so it would
    read a record with both an entry and its replacement as two entries.
    """
    entries: list[Entry] = []
    for record in records:
        if record.entries:
            first = record.entries[0].index
            if entries and entries[-1].index >= first:
                entries = [entry for entry in entries if entry.index < first]
            entries.extend(record.entries)
    return entries
