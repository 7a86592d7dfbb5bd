"""Memory and processor time of an entry box beside responses without an end.

``python -m bench.endless_responses`` plays hubs and a box as processes on loopback.  It
sends 0, 1, 8 and 64 requests at a time to an upstream whose responses have no end, and
plain requests to another one, and prints one JSON line for each.
"""

import asyncio
import json
import os
import tempfile
import time
from contextlib import suppress
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient

from hitchdeck_core.ids import Address
from soak.fleet import Fleet, Program, claimed_fleet
from standins.platform_site import document, route
from standins.platform_worker import Worker
from standins.worker_faults import Fault
from tests.common.raw_callers import caller_request, receive

HUBS = 3
COUNTS = (0, 1, 8, 64)
SECONDS = 6.0
START_SECONDS = 20.0
REPORT_SECONDS = 0.4
POLL_SECONDS = 0.02
MANY = 10**9
PIECE = b'a' * 65_536
BEGIN = b'HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: any\r\n\r\n'
MB = 1_000_000
KB_BYTES = 1024


def resident_bytes(program: Program) -> int:
    """Return the memory of a process."""
    assert program.process is not None
    status = Path(f'/proc/{program.process.pid}/status').read_text()
    line = next(one for one in status.splitlines() if one.startswith('VmRSS'))
    return int(line.split()[1]) * KB_BYTES


def processor_seconds(program: Program) -> float:
    """Return the processor time that a process has taken."""
    assert program.process is not None
    fields = Path(f'/proc/{program.process.pid}/stat').read_text().rsplit(')', 1)[1]
    ticks = fields.split()[11:13]
    return sum(map(int, ticks)) / os.sysconf('SC_CLK_TCK')


class Play:
    """Hubs, a box, and two upstreams of different pools."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.endless = Worker('endless', 'other')
        self.plain = Worker('plain', 'app')
        self.client = AsyncHTTPClient(force_instance=True)
        self.asked = 0

    async def start(self) -> None:
        """Start everything, and wait until plain requests are served."""
        for number in range(HUBS):
            self.fleet.add(number, 'hub')
        self.fleet.add(0, 'box')
        for worker in (self.endless, self.plain):
            await worker.start()
        self.endless.script, self.endless.endless = BEGIN, PIECE
        self.endless.misbehave(Fault.endless, MANY)
        routes = [
            route('safe', '/g/', 'idempotent', service='app'),
            route('endless', '/e/', 'non_idempotent', service='other'),
        ]
        services = [{'name': name, 'maxConns': 200} for name in ('app', 'other')]
        body = document(1, routes=routes, services=services)
        async with asyncio.timeout(START_SECONDS):
            while not await self.put('/api/config', body) or not await self.ask('/g/'):
                await asyncio.sleep(REPORT_SECONDS)
                await self.report()

    async def put(self, path: str, body: object) -> bool:
        """Send a document or report to the hub; tell whether it was taken."""
        url = f'http://{self.fleet.control(self.fleet.hubs[0])}{path}'
        with suppress(OSError):
            reply = await self.client.fetch(
                url, method='PUT', body=json.dumps(body), raise_error=False
            )
            return reply.code == 200
        return False

    async def report(self) -> None:
        """Report both upstreams."""
        for worker in (self.endless, self.plain):
            worker.sequence += 1
            body = worker.report(worker.sequence)
            await self.put(f'/api/instances/{worker.name}', body)

    async def ask(self, path: str) -> bool:
        """Send a request; tell whether it succeeded."""
        self.asked += 1
        address = Address(self.fleet.front(self.fleet.boxes[0]))
        with suppress(OSError, TimeoutError):
            return (
                await receive(address, caller_request(path, f'r{self.asked}'))
            ).succeeded
        return False

    async def repeat(self, path: str, until: float, taken: list[float]) -> None:
        """Send requests one after the other; add their durations."""
        while time.monotonic() < until:
            began = time.monotonic()
            if await self.ask(path):
                taken.append(time.monotonic() - began)
            await asyncio.sleep(POLL_SECONDS)

    async def measure(self, count: int) -> dict[str, object]:
        """Return what the box takes beside a number of endless responses at a time."""
        box = self.fleet.boxes[0]
        until = time.monotonic() + SECONDS
        before = processor_seconds(box)
        plain: list[float] = []
        tasks = [asyncio.create_task(self.repeat('/g/', until, plain))]
        for _ in range(count):
            tasks.append(asyncio.create_task(self.repeat('/e/', until, [])))
        most = 0
        while time.monotonic() < until:
            most = max(most, resident_bytes(box))
            await self.report()
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.gather(*tasks)
        ranked = sorted(plain)
        return {
            'endless': count,
            'peak_mb': round(most / MB, 1),
            'processor_share': round((processor_seconds(box) - before) / SECONDS, 2),
            'plain': len(plain),
            'plain_p99_ms': round(1000 * ranked[len(ranked) * 99 // 100], 1)
            if ranked
            else None,
        }


async def play() -> None:
    """Measure all counts, and print a line for each."""
    with tempfile.TemporaryDirectory() as folder:
        running = Play(claimed_fleet(Path(folder), int(time.time())))
        try:
            await running.start()
            for count in COUNTS:
                print(json.dumps(await running.measure(count)), flush=True)
        finally:
            running.fleet.stop()


if __name__ == '__main__':
    fire.Fire(lambda: asyncio.run(play()))
