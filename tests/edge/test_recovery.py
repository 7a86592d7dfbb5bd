"""State that a fleet recovers right after a restart."""

import asyncio
import json
import zlib
from pathlib import Path

import pytest

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, PoolName, UpstreamIncarnation, UpstreamName
from hitchdeck_core.quarantine.crash_history import (
    MIN_CRASHES,
    MIN_SIMULTANEOUS_CRASHES,
)
from hitchdeck_core.quarantine.fingerprints import (
    Fingerprint,
    RequestKeys,
    part_fingerprints,
)
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_edge.hub.state_file import (
    StateFile,
    document_file,
    quarantine_file,
    upstreams_file,
)
from hitchdeck_edge.model.document import DocumentVersion
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry
from hitchdeck_platform.documents import read_document
from standins.platform_site import Site, document


def upstream(name: str, phase: Phase, silent: bool = False) -> Upstream:
    address = Address(f'{name}:1')
    cleared_by = 4 if silent else 0
    return Upstream(
        UpstreamName(name), PoolName('llm'), address, 'a', 4, phase, 3, cleared_by
    )


async def until_written(file: StateFile) -> None:
    task = asyncio.create_task(file.run())
    async with asyncio.timeout(10):
        while file.written < file.codec.version():
            await asyncio.sleep(0.01)
    task.cancel()


@pytest.mark.parametrize(
    'records',
    [
        [],
        [upstream('serving', Phase.serving)],
        [
            upstream('leaving', Phase.leaving),
            upstream('gone', Phase.gone),
            upstream('silent', Phase.serving, silent=True),
        ],
    ],
)
async def test_upstreams_are_known_again_after_a_restart(
    records: list[Upstream],
    tmp_path: Path,
) -> None:
    before = Registry(boot_seconds, Signal())
    for record in records:
        before.merge(record, 'test')
    await until_written(upstreams_file(tmp_path, before))
    after = Registry(boot_seconds, Signal())
    upstreams_file(tmp_path, after).restore()
    assert after.records == before.records


async def test_a_recalled_upstream_without_reports_becomes_unresponsive(
    tmp_path: Path,
) -> None:
    before = Registry(boot_seconds, Signal())
    before.merge(upstream('lost', Phase.serving), 'test')
    await until_written(upstreams_file(tmp_path, before))
    clock = [100.0]
    after = Registry(lambda: clock[0], Signal())
    upstreams_file(tmp_path, after).restore()
    clock[0] += 5
    after.mark_unresponsive(4.8)
    assert after.records[UpstreamName('lost')].unresponsive


@pytest.mark.parametrize('parts', [(), part_fingerprints(['lethal'])])
async def test_a_quarantine_survives_a_full_restart(
    parts: tuple[Fingerprint, ...], tmp_path: Path
) -> None:
    before = Quarantine(boot_seconds, Signal())
    crashes = MIN_SIMULTANEOUS_CRASHES if parts else MIN_CRASHES
    for number in range(crashes):
        content = Fingerprint(b'%d' % number if parts else b'lethal')
        lethal = RequestKeys(content, parts)
        before.record_crash(UpstreamIncarnation(f'e{number}'), [lethal])
    await until_written(quarantine_file(tmp_path, before))
    after = Quarantine(boot_seconds, Signal())
    quarantine_file(tmp_path, after).restore()
    await asyncio.sleep(after.unsettled_seconds(lethal))
    assert after.is_quarantined(lethal)


async def test_crashes_before_a_full_restart_count(tmp_path: Path) -> None:
    # Guards against a part that is never blamed, since restarts come between crashes.
    after = Quarantine(boot_seconds, Signal())
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        before, after = after, Quarantine(boot_seconds, Signal())
        lethal = RequestKeys(Fingerprint(b'%d' % number), part_fingerprints(['lethal']))
        before.record_crash(UpstreamIncarnation(f'e{number}'), [lethal])
        await until_written(quarantine_file(tmp_path, before))
        quarantine_file(tmp_path, after).restore()
    assert after.holds_back(lethal)


@pytest.mark.parametrize('content', [b'', b'no frame', b'\x00' * 40])
@pytest.mark.parametrize('kept', ['document', 'upstreams'])
def test_a_damaged_file_is_ignored(content: bytes, kept: str, tmp_path: Path) -> None:
    (tmp_path / kept).write_bytes(content)
    documents = Documents(read_document, Signal())
    registry = Registry(boot_seconds, Signal())
    document_file(tmp_path, documents).restore()
    upstreams_file(tmp_path, registry).restore()
    assert documents.version == DocumentVersion(0)
    assert not registry.records


@pytest.mark.parametrize(
    ('arrives', 'status', 'reason'),
    [(True, 404, b'no route'), (False, 503, b'no document')],
)
async def test_a_request_waits_briefly_for_the_first_document(
    arrives: bool,
    status: int,
    reason: bytes,
    tmp_path: Path,
) -> None:
    site = Site(tmp_path)
    box = await site.start_box(0)
    asked = asyncio.create_task(site.ask('/none/', 'r1'))
    await asyncio.sleep(0.05)
    assert not asked.done()
    if arrives:
        packed = zlib.compress(json.dumps(document(1)).encode())
        box.link.known.documents.offer(DocumentVersion(1), packed, 'test')
    reply = await asked
    await site.stop()
    assert (reply.code, reply.body) == (status, reason)
