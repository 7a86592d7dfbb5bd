"""The durable log: recovery after a crash, and detection of corruption."""

import asyncio
import errno
from collections.abc import Callable
from pathlib import Path

import pytest

from hitchdeck_control.errors import (
    DamagedLogError,
    DiskFailedError,
    StorageError,
)
from hitchdeck_control.storage.identity import open_identity
from hitchdeck_control.storage.log import DurableLog
from hitchdeck_control.storage.records import frame
from hitchdeck_core.ids import BoxName
from hitchdeck_core.wire.hitchdeck_pb2 import Entry, Member, Snapshot

PAGE = 4096


def entry(index: int, term: int = 1, command: bytes = b'x') -> Entry:
    """Return a log entry."""
    return Entry(index=index, term=term, command=command)


async def write_three(folder: Path) -> None:
    """Write three entries, each with its own sync."""
    log = DurableLog(folder)
    for index in (1, 2, 3):
        log.append([entry(index, command=bytes([index]) * 50)])
        await log.flush()
    log.save_vote(4, 'somebody')
    await log.flush()
    log.close()


def segment_of(folder: Path) -> Path:
    """Return the only log segment in a folder."""
    return next(folder.glob('wal-*.log'))


async def test_everything_synced_is_there_after_a_restart(tmp_path: Path) -> None:
    await write_three(tmp_path)
    log = DurableLog(tmp_path)
    assert [one.index for one in log.entries] == [1, 2, 3]
    assert (log.term, log.vote, log.synced_index) == (4, 'somebody', 3)


@pytest.mark.parametrize('cut', [1, 7, 8, 20])
async def test_torn_tail_is_truncated(tmp_path: Path, cut: int) -> None:
    await write_three(tmp_path)
    path = segment_of(tmp_path)
    path.write_bytes(path.read_bytes()[:-cut])
    log = DurableLog(tmp_path)
    assert [one.index for one in log.entries] == [1, 2, 3]
    assert log.term == 0 or log.vote == ''
    log.append([entry(4)])
    await log.flush()
    log.close()
    assert DurableLog(tmp_path).last_index == 4


@pytest.mark.parametrize('missing', [range(0, 1), range(1, 2), range(0, 2)])
async def test_a_tail_whose_pages_are_missing_is_truncated(
    tmp_path: Path, missing: range
) -> None:
    # Guards against a replica that ends at each start after a loss of power: pages of
    # the write that was not synced are lost independently of each other.
    await write_three(tmp_path)
    path = segment_of(tmp_path)
    synced = path.read_bytes()
    torn = bytearray(frame(bytes(range(1, 251)) * 60))
    for page in missing:
        torn[page * PAGE : (page + 1) * PAGE] = bytes(PAGE)
    path.write_bytes(synced + torn)
    log = DurableLog(tmp_path)
    assert [one.index for one in log.entries] == [1, 2, 3]
    assert (log.term, log.vote) == (4, 'somebody')


@pytest.mark.parametrize('position', [0, 4, 8, 30, 70])
async def test_damaged_middle_names_file_and_byte(
    tmp_path: Path,
    position: int,
) -> None:
    await write_three(tmp_path)
    path = segment_of(tmp_path)
    content = bytearray(path.read_bytes())
    content[position] ^= 0xFF
    path.write_bytes(content)
    with pytest.raises(DamagedLogError) as raised:
        DurableLog(tmp_path)
    assert str(path) in str(raised.value)
    assert 'byte' in str(raised.value)


async def test_conflicting_suffix_is_replaced_for_good(tmp_path: Path) -> None:
    await write_three(tmp_path)
    log = DurableLog(tmp_path)
    log.append([entry(2, term=5)])
    assert log.synced_index == 1
    await log.flush()
    log.close()
    again = DurableLog(tmp_path)
    assert [(one.index, one.term) for one in again.entries] == [(1, 1), (2, 5)]


async def test_snapshot_replaces_the_log_and_keeps_the_vote(tmp_path: Path) -> None:
    await write_three(tmp_path)
    log = DurableLog(tmp_path)
    members = [Member(replica='a#1', box='a', voter=True)]
    snapshot = Snapshot(last_index=2, last_term=1, members=members, state=b'state')
    await log.compact(snapshot)
    log.append([entry(4, term=4)])
    await log.flush()
    log.close()
    again = DurableLog(tmp_path)
    assert again.snapshot.state == b'state'
    assert [one.index for one in again.entries] == [3, 4]
    assert (again.term, again.vote) == (4, 'somebody')
    assert again.members() == members
    assert again.term_at(1) == -1


async def test_damaged_snapshot_is_refused(tmp_path: Path) -> None:
    log = DurableLog(tmp_path)
    log.append([entry(1)])
    await log.flush()
    await log.compact(Snapshot(last_index=1, last_term=1, state=b'state'))
    log.close()
    path = tmp_path / 'snapshot'
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(DamagedLogError):
        DurableLog(tmp_path)


async def test_writers_share_a_sync(tmp_path: Path) -> None:
    log = DurableLog(tmp_path)
    records: list[bytes] = []
    write = log._write

    def record(payload: bytes) -> None:
        records.append(payload)
        write(payload)

    log._write = record  # type: ignore[method-assign]

    async def append(index: int) -> None:
        log.append([entry(index)])
        await log.flush()
        assert log.synced_index >= index

    await asyncio.gather(*(append(index) for index in range(1, 65)))
    assert log.last_index == 64
    assert len(records) < 8


async def test_failed_sync_is_never_tried_again(tmp_path: Path) -> None:
    log = DurableLog(tmp_path)

    def fail(payload: bytes) -> None:
        raise OSError('disk full')

    write = log._write
    log._write = fail  # type: ignore[method-assign]
    log.append([entry(1)])
    with pytest.raises(StorageError):
        await log.flush()
    log._write = write  # type: ignore[method-assign]
    log.append([entry(2)])
    with pytest.raises(StorageError):
        await log.flush()
    assert log.synced_index == 0


async def test_an_entry_that_failed_to_sync_is_not_acknowledged_when_sent_again(
    tmp_path: Path,
) -> None:
    # Guards against a follower that has the entry in memory, finds nothing to write
    # for the repeated request, and acknowledges what is not on its disk.
    log = DurableLog(tmp_path)

    def fail(payload: bytes) -> None:
        raise OSError('Input/output error')

    log._write = fail  # type: ignore[method-assign]
    log.append([entry(1)])
    for _ in range(2):
        with pytest.raises(DiskFailedError):
            await log.flush()


@pytest.mark.parametrize('written', [0, 5])
@pytest.mark.parametrize('refusals', [1, 3])
async def test_a_replica_recovers_once_a_full_disk_has_space(
    written: int,
    refusals: int,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A replica whose disk was full rejoins the group once there is space.

    Guards against a replica that stays out until its process restarts: if another
    disk is lost meanwhile, the group has no majority and its document is unreadable.
    """
    log = DurableLog(tmp_path)
    log.save_vote(1, 'other')
    log.append([entry(1)])
    await log.flush()

    def refuse(payload: bytes) -> None:
        log.stream.write(b'x' * written)
        raise OSError(errno.ENOSPC, 'No space left on device')

    monkeypatch.setattr(log, '_write', refuse)
    monkeypatch.setattr(log, '_rotate', refuse)
    log.append([entry(2)])
    for _ in range(refusals):
        with pytest.raises(StorageError):
            await log.flush()
    assert log.synced_index == 1
    monkeypatch.undo()
    log.append([entry(3)])
    await log.flush()
    assert log.synced_index == 3
    log.append([entry(4)])
    await log.flush()
    log.close()
    again = DurableLog(tmp_path)
    assert [one.index for one in again.entries] == [1, 2, 3, 4]
    assert (again.term, again.vote) == (1, 'other')
    assert len(list(tmp_path.glob('wal-*'))) == 1


def lose_identity(folder: Path) -> None:
    """Delete the identity file and keep the log."""
    (folder / 'identity').unlink()
    (folder / 'wal-0000000001.log').write_bytes(b'x')


def take_other_box(folder: Path) -> None:
    """Replace the identity by that of another box."""
    (folder / 'identity').write_text('other#1')


def test_new_folder_means_new_identity(tmp_path: Path) -> None:
    first = open_identity(tmp_path / 'one', BoxName('a'))
    assert open_identity(tmp_path / 'one', BoxName('a')) == first
    assert open_identity(tmp_path / 'two', BoxName('a')) != first


@pytest.mark.parametrize('harm', [lose_identity, take_other_box])
def test_inconsistent_folder_is_refused(
    tmp_path: Path,
    harm: Callable[[Path], None],
) -> None:
    open_identity(tmp_path, BoxName('a'))
    harm(tmp_path)
    with pytest.raises(StorageError):
        open_identity(tmp_path, BoxName('a'))


async def test_flush_completes_after_its_caller_is_cancelled(tmp_path: Path) -> None:
    """Guards against entries that stay unsynced after the call of a peer timed out."""
    log = DurableLog(tmp_path)
    log.append([entry(1)])
    caller = asyncio.create_task(log.flush())
    await asyncio.sleep(0)
    caller.cancel()
    await asyncio.wait([caller])
    await log.flush()
    assert log.synced_index == 1
    log.close()
    assert DurableLog(tmp_path).last_index == 1


async def test_entry_replaced_before_its_sync_is_read_once(tmp_path: Path) -> None:
    """Guards against reading an entry and its replacement as two entries.

    The fuzzer found it: both were written in one record.
    """
    log = DurableLog(tmp_path)
    log.append([entry(1)])
    log.append([entry(1, term=2)])
    await log.flush()
    log.close()
    assert [(one.index, one.term) for one in DurableLog(tmp_path).entries] == [(1, 2)]
