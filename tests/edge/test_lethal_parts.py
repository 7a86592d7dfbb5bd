"""One prompt part that crashes workers is kept away, and nothing else is.

Guards against a quarantine of whole contents only: requests that share the part are
never alike, so each was in flight at one crash and none was ever quarantined.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.fingerprints import (
    Fingerprint,
    RequestKeys,
    part_fingerprints,
)
from hitchdeck_edge.dispatch.crash_watch import UNFRAMED_CHECK_SECONDS
from hitchdeck_edge.dispatch.response_parser import Framing
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.request_context import RequestContext
from standins.platform_site import HOST, KEY, Site, document, route, running_site
from standins.platform_worker import Worker

LETHAL = 'deadbeef'
SHARED = ('aaaa', 'bbbb', 'cccc')
"""Parts that lethal and sound requests share, in the order of the prompt."""

MAX_CRASHES = 5
"""Crashes by which a part must be recognized."""

ENGINES = 10
SPREAD_SECONDS = 1.0
ROUTES = [
    route('stream', '/s/', 'stream', resumable=True, service='llm'),
    route('once', '/once/', 'stream', resumable=False, service='llm'),
    route('one', '/one/', 'stream', resumable=True, service='llm', maxAttempts=1),
    route('plain', '/p/', 'idempotent', service='llm'),
    route('unsafe', '/u/', 'non_idempotent', service='llm'),
]


class Case(NamedTuple):
    """A way in which lethal requests arrive.

    Attributes
    ----------
    position
        Number of shared parts before the lethal one.
    path
        Route that they take.
    burst
        How many arrive at once.
    beside
        Number of sound streams in flight, with all other parts of the lethal requests.
    events
        Number of events that are written before the crash.
    """

    position: int = 2
    path: str = '/s/'
    burst: int = 1
    boxes: int = 3
    beside: int = 0
    events: int = 0


class Caller:
    """Sends requests of which no two are alike."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.sent = 0

    async def send(self, path: str, parts: tuple[str, ...], box: int = -1) -> int:
        """Return the status of the answer, or 0 if the connection was closed."""
        self.sent += 1
        attempt = f'r{self.sent}'
        listed = ','.join(f'{part}:20' for part in (*parts, f'f{self.sent}'))
        headers = {
            'Host': HOST,
            'Attempt_Id': attempt,
            'Deadline_Ms': '3000',
            'Authorization': f'Token {KEY}',
            'Model': 'm',
            'Token_Count': f'{20 * len(parts) + 20},40',
            'Prompt_Prefix': listed,
        }
        boxes = self.site.boxes
        address = boxes[box if box >= 0 else self.sent % len(boxes)].settings.listen
        try:
            reply = await self.site.call('POST', address, path, attempt, **headers)
        except HTTPStreamClosedError:
            return 0
        return int(reply.code)

    async def send_lethal(self, case: Case) -> list[int]:
        """Send a burst of lethal requests, each with a further part of its own."""
        parts = (*SHARED[: case.position], LETHAL)
        return await asyncio.gather(
            *(
                self.send(case.path, (*parts, f'e{self.sent}'))
                for _ in range(case.burst)
            )
        )


def crash_count(site: Site) -> int:
    return sum(worker.ended for worker in site.workers)


async def add_engines(site: Site) -> list[Worker]:
    """Start engines that crash under the part, and publish the routes."""
    engines = [await site.start_worker(f'x{at}', 'llm') for at in range(ENGINES)]
    await site.publish(document(2, routes=ROUTES))
    await site.settle(2)
    for worker in site.workers:
        worker.lethal_part = LETHAL
    return engines


@asynccontextmanager
async def site_under_way(folder: Path, boxes: int) -> AsyncIterator[Caller]:
    """Run a site that has served sound requests with the shared parts."""
    async with running_site(folder, boxes=boxes) as site:
        await add_engines(site)
        caller = Caller(site)
        for _ in range(boxes):
            assert await caller.send('/s/', SHARED) == 200
        yield caller


async def keep_streaming(caller: Caller) -> None:
    """Send sound streams that last, one after the other, until cancelled."""
    while True:
        await caller.send('/s/', SHARED)


async def crash_until_kept_away(caller: Caller, case: Case) -> None:
    """Send lethal requests until all of a burst are rejected, or too many crashed."""
    async with asyncio.timeout(20):
        while crash_count(caller.site) < MAX_CRASHES + 2:
            codes = await caller.send_lethal(case)
            await asyncio.sleep(0.1)
            if set(codes) == {503}:
                return


@pytest.mark.parametrize(
    'case',
    [
        *(Case(position=position) for position in (0, 1, 2, 3)),
        *(Case(path=path) for path in ('/once/', '/one/', '/p/', '/u/')),
        Case(boxes=1),
        Case(beside=6),
        Case(position=1, path='/one/', beside=6),
        Case(position=0, path='/once/', boxes=1, beside=4),
        Case(path='/one/', burst=3),
        Case(path='/once/', burst=3, beside=6),
        Case(position=1, path='/u/', burst=2, boxes=1),
        Case(events=2),
        Case(path='/once/', events=2, beside=4),
    ],
)
async def test_a_lethal_part_reaches_no_worker_after_five_crashes(
    case: Case, tmp_path: Path
) -> None:
    async with site_under_way(tmp_path, case.boxes) as caller:
        for worker in caller.site.workers:
            worker.gap = 0.05
            worker.lethal_events = case.events
        beside = [
            asyncio.create_task(keep_streaming(caller)) for _ in range(case.beside)
        ]
        await crash_until_kept_away(caller, case)
        await asyncio.sleep(SPREAD_SECONDS)
        before = crash_count(caller.site)
        later = [await caller.send_lethal(case._replace(burst=1)) for _ in range(6)]
        for task in beside:
            task.cancel()
        assert before <= MAX_CRASHES + case.burst - 1
        assert later == [[503]] * 6
        assert crash_count(caller.site) == before
        sound = [await caller.send(case.path, SHARED) for _ in range(6)]
        assert sound == [200] * 6


async def test_crashes_count_where_workers_are_back_at_once(tmp_path: Path) -> None:
    # Guards against a probe that the next incarnation at the address accepts.
    async with site_under_way(tmp_path, boxes=2) as caller:
        for worker in caller.site.workers:
            worker.restarts_at_once = True
        case = Case(path='/one/')
        async with asyncio.timeout(20):
            while await caller.send_lethal(case) != [503]:
                await asyncio.sleep(2 * SPREAD_SECONDS)
        crashes = sum(worker.name.count('+') for worker in caller.site.workers)
        assert crashes <= MAX_CRASHES


async def test_a_box_without_hubs_decides_alone(tmp_path: Path) -> None:
    async with site_under_way(tmp_path, boxes=1) as caller:
        for hub in list(caller.site.hubs):
            await caller.site.kill_hub(hub)
        await crash_until_kept_away(caller, Case(path='/one/'))
        assert crash_count(caller.site) <= MAX_CRASHES
        assert await caller.send('/one/', SHARED) == 200


async def test_a_box_that_starts_later_keeps_the_part_away(tmp_path: Path) -> None:
    async with site_under_way(tmp_path, boxes=1) as caller:
        await crash_until_kept_away(caller, Case())
        before = crash_count(caller.site)
        await caller.site.start_box(1)
        await caller.site.settle(2)
        assert await caller.send('/s/', (*SHARED, LETHAL), box=1) == 503
        assert crash_count(caller.site) == before


async def test_a_request_that_waits_is_checked_when_it_is_sent(tmp_path: Path) -> None:
    # Guards against a check on arrival only.
    async with site_under_way(tmp_path, boxes=1) as caller:
        box = caller.site.boxes[0]
        dispatcher = box.admission.dispatcher
        choose = dispatcher.chooser.choose
        placed = asyncio.Event()

        async def choose_late(context: RequestContext) -> Choice | Refusal:
            choice = await choose(context)
            placed.set()
            await asyncio.sleep(SPREAD_SECONDS)
            return choice

        dispatcher.chooser.choose = choose_late
        waiting = asyncio.create_task(caller.send('/s/', (*SHARED, LETHAL)))
        await placed.wait()
        quarantine = box.link.known.quarantine
        for number in range(MAX_CRASHES):
            keys = RequestKeys(Fingerprint(b'%d' % number), part_fingerprints([LETHAL]))
            quarantine.record_crash(UpstreamIncarnation(f'gone-{number}'), [keys])
        assert await waiting == 503
        assert crash_count(caller.site) == 0


@pytest.mark.parametrize(('crashes', 'cleared'), [(False, True), (True, False)])
async def test_an_unframed_answer_clears_parts_unless_its_worker_crashes(
    crashes: bool, cleared: bool, tmp_path: Path
) -> None:
    # The end of such an answer looks like a crash between two events.
    async with running_site(tmp_path) as site:
        await site.publish(document(2, routes=ROUTES))
        await site.settle(2)
        for worker in site.workers:
            worker.framing = Framing.close
        box = site.boxes[0]
        assert await Caller(site).send('/s/', SHARED) == 200
        parts = box.link.known.quarantine.parts
        first = part_fingerprints(SHARED)[0]
        assert not parts.answered.is_recent(first, 60)
        if crashes:
            watch = box.admission.dispatcher.sender.crash_watch
            for worker in site.workers:
                incarnation = UpstreamIncarnation(worker.life)
                watch.quarantine.record_crash(
                    incarnation, [RequestKeys(Fingerprint(b'other'))]
                )
        await asyncio.sleep(UNFRAMED_CHECK_SECONDS + 0.2)
        assert parts.answered.is_recent(first, 60) is cleared
