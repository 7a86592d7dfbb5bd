"""A stream is resumed by its content only if nobody can have forgotten another one."""

import asyncio
import math
from collections.abc import AsyncIterator
from dataclasses import replace
from itertools import product
from pathlib import Path

import pytest

from hitchdeck_core.ids import AccountName, RequestId, UpstreamName
from hitchdeck_edge.hub.spread import _complete_seconds
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.model.stream_origins import request_key
from hitchdeck_edge.process import start_entry
from hitchdeck_platform.requests import DIALECT
from standins.platform_site import Site, running_site
from standins.platform_worker import Worker
from tests.common.asking import of_pool
from tests.edge.test_software_versions import (
    CUT_AT,
    EVENTS,
    WAIT_SECONDS,
    ask,
    begin,
    is_refusal,
    prefer,
    start_engine,
    stream,
)

LAST_EVENT = str(CUT_AT)
TIMES_TOLD = 5
TOLD_SECONDS = 0.25
"""Half of the interval of frames to the nearest hub."""


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of two hubs and two boxes that have run for an hour."""
    async with running_site(tmp_path, hubs=2, boxes=2) as running:
        for hub in running.hubs:
            hub.state.origins.complete_since -= 3600
        yield running


async def restart_hubs(site: Site, *indexes: int) -> None:
    """Kill hubs at once, and start them again with their disks."""
    killed = [site.hubs[index] for index in indexes]
    for hub in killed:
        await site.kill_hub(hub)
    for index, hub in zip(indexes, killed, strict=True):
        again = await site.start_hub(replace(hub.settings, may_found=False))
        site.hubs.remove(again)
        site.hubs.insert(index, again)
    for worker in site.workers:
        await site.tell(worker, worker.sequence + 1)


async def restart_boxes(site: Site, *indexes: int) -> None:
    """Kill boxes at once, and start them again."""
    for index in indexes:
        await site.boxes[index].stop()
    for index in indexes:
        site.boxes[index] = await start_entry(site.boxes[index].settings, DIALECT)


async def until_connected(site: Site) -> None:
    """Wait until every box reaches every hub, and knows every engine."""
    await site.settle()
    async with asyncio.timeout(WAIT_SECONDS):
        while not all(
            len(box.known_hubs.reachable) == len(site.hubs) for box in site.boxes
        ):
            await asyncio.sleep(0.02)


def use_only(site: Site, engine: Worker | None) -> None:
    """Have all schedulers choose one engine only, or any if there is none."""
    placements = [
        box.admission.dispatcher.chooser.local.placement for box in site.boxes
    ]
    placements += [hub.placing.scheduler.placement for hub in site.hubs]
    for placement, worker in product(placements, of_pool(site, 'llm')):
        record = placement.health.record(UpstreamName(worker.name))
        spared = engine is None or worker is engine
        record.ejected_until = 0 if spared else math.inf
        placement.health.ejected_names.add(UpstreamName(worker.name))


async def begin_elsewhere(site: Site, engine: Worker, box: int = 0) -> None:
    """Have another request with the same content begin at another version."""
    use_only(site, engine)
    async with asyncio.timeout(WAIT_SECONDS):
        begun, _ = await ask(site.boxes[box], 'r1')
        while not begun.succeeded:
            await asyncio.sleep(0.1)
            begun, _ = await ask(site.boxes[box], 'r1')
    assert begun.body == stream(1, EVENTS, 'v2')
    use_only(site, None)


async def is_refused(site: Site, engine: Worker, box: int = 0) -> bool:
    """Resume the first stream by its content; tell whether that is refused."""
    ran = len(engine.ran)
    received, _ = await ask(site.boxes[box], 'r2', Last_Event_Id=LAST_EVENT)
    assert len(engine.ran) == ran
    if is_refusal(received):
        return True
    assert received.body == stream(CUT_AT + 1, EVENTS)
    return False


@pytest.mark.parametrize('box', [0, 1])
async def test_a_stream_is_not_joined_after_all_boxes_and_hubs_were_killed(
    site: Site, box: int
) -> None:
    # The record of a later request with the same content was taken for the stream's.
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    await restart_boxes(site, 0, 1)
    await restart_hubs(site, 0, 1)
    await until_connected(site)
    await begin_elsewhere(site, other)
    assert await is_refused(site, other, box)


@pytest.mark.parametrize('box', [0, 1])
async def test_a_box_that_restarts_asks_hubs_about_its_own_record(
    site: Site, box: int
) -> None:
    # The box found the record of a later request, and asked no hub.
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    await restart_boxes(site, 0, 1)
    await until_connected(site)
    await begin_elsewhere(site, other)
    assert await is_refused(site, other, box)


async def test_two_boxes_began_one_content_at_two_versions(site: Site) -> None:
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    await begin_elsewhere(site, other, 1)
    for box in (0, 1):
        assert await is_refused(site, other, box)


@pytest.mark.parametrize('killed', [0, 1])
async def test_one_hub_that_remembers_is_enough(site: Site, killed: int) -> None:
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    await restart_hubs(site, killed)
    await until_connected(site)
    prefer(site, other)
    assert not await is_refused(site, other)
    assert not await is_refused(site, other, 1)


async def test_a_stream_goes_on_after_all_hubs_were_killed_long_ago(site: Site) -> None:
    await restart_hubs(site, 0, 1)
    await until_connected(site)
    for hub in site.hubs:
        hub.state.origins.complete_since -= 60
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    assert not await is_refused(site, other, 1)


async def test_a_box_without_hubs_resumes_nothing_by_content(site: Site) -> None:
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    for hub in list(site.hubs):
        await site.kill_hub(hub)
    assert await is_refused(site, other)


async def test_a_box_that_is_cut_off_may_know_another_origin(site: Site) -> None:
    await begin(site, 'r0')
    other = await start_engine(site, 'e3', 'v2')
    for hub in site.hubs:
        for connected in hub.state.connected_boxes.entry_boxes():
            if connected.hello.box == 'box-0':
                connected.last_frame -= 10
                connected.max_silence = 1
                connected.hello.box = 'box-that-is-cut-off'
                hub.state.connected_boxes.boxes['box-that-is-cut-off', False] = (
                    connected
                )
    assert await is_refused(site, other, 1)


async def test_a_stream_that_breaks_is_told_to_all_hubs_at_once(site: Site) -> None:
    # A hub that did not place it was told by a frame that was up to a second away.
    for number in range(TIMES_TOLD):
        await begin(site, f'r{number}')
        key = request_key(AccountName('ann'), RequestId(f'r{number}'))
        async with asyncio.timeout(TOLD_SECONDS):
            while not all(hub.state.origins.find(key) for hub in site.hubs):
                await asyncio.sleep(0.01)


async def test_streams_are_told_soon_while_several_versions_serve(site: Site) -> None:
    # A box that was killed within a second of the first event had told no other hub.
    other = await start_engine(site, 'e3', 'v2')
    other.gap = 0.5
    for number in range(TIMES_TOLD):
        asking = asyncio.create_task(ask(site.boxes[0], f'r{number}'))
        key = request_key(AccountName('ann'), RequestId(f'r{number}'))
        async with asyncio.timeout(2 * TOLD_SECONDS):
            while not all(hub.state.origins.find(key) for hub in site.hubs):
                await asyncio.sleep(0.01)
        asking.cancel()


@pytest.mark.parametrize('versions', [1, 2])
async def test_a_box_lost_with_a_hub_leaves_a_gap_where_versions_differ(
    site: Site, versions: int
) -> None:
    # Its youngest streams were known to nobody else.
    if versions > 1:
        await start_engine(site, 'e3', 'v2')
    hub, lost = site.hubs
    boxes = hub.state.connected_boxes
    await site.boxes[1].stop()
    await site.kill_hub(lost)
    async with asyncio.timeout(WAIT_SECONDS):
        while math.isinf(boxes.untold_until):
            await asyncio.sleep(0.01)
    assert (_complete_seconds(hub.state) < WAIT_SECONDS) == (versions > 1)


async def test_a_refusal_is_no_stream_that_breaks(site: Site) -> None:
    # Frames to all hubs for each refusal would load them most when load is highest.
    box = site.boxes[0]

    async def refuse(_: RequestContext) -> Refusal:
        return Refusal.overloaded

    box.admission.dispatcher.chooser.choose = refuse  # type: ignore[method-assign]
    wakes = box.link.wake.count
    for number in range(TIMES_TOLD):
        refused, _ = await ask(box, f'r{number}')
        assert is_refusal(refused)
    assert box.link.wake.count == wakes
