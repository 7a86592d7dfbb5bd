"""A hub whose disk was full for a while can lead and commit again.

Guards against a leader that cannot commit.  The task that syncs the leader's appends
exited on a full disk without a log line.  A follower does not need the task, since the
calls of its leader sync what they append; once elected, 30 s after the full disk
(``leads``, term 3, at 34.76 s), the hub committed nothing, and its heartbeats kept the
others from an election (``no leader answered in time``).  No hub served the newest
document for 15 s, though three of four replicas ran.
"""

import asyncio
import errno
from pathlib import Path

import pytest

from hitchdeck_control.raft.replica import Replica
from standins.platform_site import document, running_site, until_taken

FULL_SECONDS = 0.5
ACCEPTED = 200


def replica_of(hub: object) -> Replica:
    replica = getattr(hub, 'replica', None)
    assert isinstance(replica, Replica)
    return replica


async def test_a_leader_whose_disk_was_full_accepts_documents_again(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_site(tmp_path) as site:
        log = replica_of(site.hubs[0]).log

        def refuse(payload: bytes) -> None:
            raise OSError(errno.ENOSPC, 'No space left on device')

        with monkeypatch.context() as full:
            full.setattr(log, '_write', refuse)
            full.setattr(log, '_rotate', refuse)
            assert (await site.publish(document(2))).code != ACCEPTED
            await asyncio.sleep(FULL_SECONDS)
        await until_taken(site, document(3))
        assert (await site.read_surely())['version'] == 3  # type: ignore[index]


async def test_a_hub_reports_a_permanent_disk_failure(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_site(tmp_path) as site:
        hub = site.hubs[0]

        def fail(payload: bytes) -> None:
            raise OSError(errno.EIO, 'Input/output error')

        monkeypatch.setattr(replica_of(hub).log, '_write', fail)
        failed = asyncio.create_task(hub.supervisor.wait_for_failure())
        await site.publish(document(2))
        async with asyncio.timeout(10):
            with pytest.raises(Exception, match='Input/output error'):
                await failed
