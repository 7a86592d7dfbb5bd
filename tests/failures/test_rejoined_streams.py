"""Real processes join no events of two versions, whatever was killed before."""

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from tornado.httpclient import AsyncHTTPClient

from hitchdeck_core.ids import Address
from soak.fleet import Fleet, Program, claimed_fleet
from standins.platform_site import document
from standins.platform_worker import Worker
from standins.worker_bodies import events
from standins.worker_faults import Fault
from tests.common.raw_callers import Received, caller_request, receive

MACHINES = 3
EVENTS = 5
CUT_AT = 2
WAIT_SECONDS = 30.0
REPORT_SECONDS = 0.3
PAUSE_SECONDS = 0.3


class Deployment:
    """Programs of a fleet, and the engines that report to it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.engines = [Worker('e1', 'llm', software='v1')]
        self.client = AsyncHTTPClient(force_instance=True)
        self.asked = 0

    async def stop(self) -> None:
        """Kill all programs, and stop the engines."""
        self.fleet.stop()
        for engine in self.engines:
            await engine.stop()

    async def put(self, hub: Program, path: str, body: object) -> int:
        url = f'http://{self.fleet.control(hub)}{path}'
        try:
            reply = await self.client.fetch(
                url, method='PUT', body=json.dumps(body), raise_error=False
            )
        except OSError:
            return 0
        return reply.code

    async def report(self) -> None:
        """Report all engines to all hubs, until cancelled."""
        while True:
            for engine in self.engines:
                engine.sequence += 1
                for hub in self.fleet.hubs:
                    body = engine.report(engine.sequence, engine.state)
                    await self.put(hub, f'/api/instances/{engine.name}', body)
            await asyncio.sleep(REPORT_SECONDS)

    async def ask(self, box: int = 0, **more: str) -> Received:
        """Send a request whose content is always the same."""
        self.asked += 1
        headers = {'Model': 'm', 'Token_Count': '300,40', 'Prompt_Prefix': 'aa:300'}
        request = caller_request('/s/', f'r{self.asked}', **headers, **more)
        address = Address(self.fleet.front(self.fleet.boxes[box]))
        try:
            return await receive(address, request)
        except OSError:
            return Received()

    async def begin(self, box: int = 0) -> str:
        """Have a stream begin and break off; return the id of its request."""
        self.engines[0].misbehave(Fault.cut)
        received = await self.ask(box)
        assert received.body == b''.join(events('', CUT_AT))
        return f'r{self.asked}'

    async def until_served(self, software: str) -> None:
        """Wait until a new request begins at a version, and runs to its end."""
        whole = b''.join(events('', EVENTS, software))
        async with asyncio.timeout(WAIT_SECONDS):
            while (await self.ask()).body != whole:
                await asyncio.sleep(0.1)

    async def until_resumed(self) -> None:
        """Wait until streams are resumed by their content."""
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                await self.begin()
                received = await self.ask(1, Last_Event_Id=str(CUT_AT))
                if received.succeeded:
                    return
                await asyncio.sleep(PAUSE_SECONDS)

    async def kill(self, programs: list[Program], pause: float) -> None:
        """Kill programs and start them again, with a pause between two of them."""
        for program in programs:
            program.signal(signal.SIGKILL)
            if pause:
                await asyncio.sleep(pause)
                await self.start(program)
        for program in programs:
            await self.start(program)

    async def start(self, program: Program) -> None:
        await asyncio.to_thread(program.end, 1)
        self.fleet.write_settings(program, first=False)
        program.start()


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[Deployment]:
    """Return a deployment of real processes that resumes streams."""
    fleet = claimed_fleet(tmp_path, int(time.time()))
    running = Deployment(fleet)
    await running.engines[0].start()
    for number in range(MACHINES):
        fleet.add(number, 'hub')
        fleet.add(number, 'box')
    reporting = asyncio.create_task(running.report())
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            while await running.put(fleet.hubs[0], '/api/config', document(1)) != 200:
                await asyncio.sleep(0.1)
        await running.until_served('v1')
        await running.until_resumed()
        yield running
    finally:
        reporting.cancel()
        await running.stop()


@pytest.mark.parametrize('pause', [0, PAUSE_SECONDS])
@pytest.mark.parametrize('names_attempt', [False, True])
async def test_no_stream_is_joined_after_a_kill_of_all(
    deployment: Deployment, pause: float, names_attempt: bool
) -> None:
    # It went on at v2: its content's only record was that of a later request.
    attempt = await deployment.begin()
    resumed = {'Resumes': attempt} if names_attempt else {}
    newer = Worker('e2', 'llm', software='v2')
    await newer.start()
    await deployment.kill(deployment.fleet.programs(), pause)
    deployment.engines[0].state = 'draining'
    deployment.engines.append(newer)
    await deployment.until_served('v2')
    for box in range(MACHINES):
        received = await deployment.ask(box, Last_Event_Id=str(CUT_AT), **resumed)
        assert b'v2' not in received.body
    deployment.engines[0].state = 'ready'


@pytest.mark.parametrize('role', ['box', 'hub'])
async def test_streams_go_on_after_one_process_was_killed(
    deployment: Deployment, role: str
) -> None:
    await deployment.begin()
    fleet = deployment.fleet
    programs = fleet.boxes if role == 'box' else fleet.hubs
    await deployment.kill(programs[:1], 0)
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            received = await deployment.ask(1, Last_Event_Id=str(CUT_AT))
            if received.succeeded:
                break
            assert received.status in {0, 503}
            await asyncio.sleep(0.05)
    assert received.body == b''.join(events(str(CUT_AT), EVENTS))
