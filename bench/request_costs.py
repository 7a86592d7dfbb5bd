"""Processor time of an entry box by kind of request.

``python -m bench.request_costs``: one hub and stand-in upstreams run in this process,
the entry box in a process of its own, whose processor time is read from the kernel.
``--profile=FILE`` writes a cProfile of the box instead of figures to rely on.
"""

import asyncio
import cProfile
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import fire

from bench.common import append_row, listed
from hitchdeck_core import logs
from hitchdeck_core.ids import Address
from hitchdeck_core.loop_load import MeteredLoop
from hitchdeck_edge.process import start_entry
from hitchdeck_edge.settings import EntrySettings
from hitchdeck_platform.requests import DIALECT
from standins.platform_site import HOST, KEY, Site, document, route, until_taken
from standins.platform_worker import Worker
from standins.ports import free_address

SHORT_EVENTS = 3
LONG_EVENTS = 48
EVENT_GAP_SECONDS = 0.02
CALLER_PAUSE_SECONDS = 0.03
"""Pause of a caller between two requests: a saturated box refuses some of them."""

WARM_UP_REQUESTS = 50
START_SECONDS = 15.0
NANOSECONDS_PER_US = 1000


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request, and how many events its answer has."""

    name: str
    path: str
    events: int = 0

    def request(self, number: int) -> bytes:
        """Return a request as bytes on the wire."""
        lines = [
            f'POST {self.path} HTTP/1.1',
            f'Host: {HOST}',
            f'Attempt-Id: {self.name}-{number}',
            f'Authorization: Token {KEY}',
            'Deadline-Ms: 10000',
        ]
        if self.events:
            lines += [
                'Model: m',
                'Token-Count: 900,40',
                f'Prompt-Prefix: aa:100,bb:100,own-{number}:700',
            ]
        return '\r\n'.join([*lines, 'Content-Length: 4', '', 'body']).encode()


KINDS = (
    Kind('plain', '/g/'),
    Kind('once', '/u/'),
    Kind('short_stream', '/s/', SHORT_EVENTS),
    Kind('long_stream', '/s/', LONG_EVENTS),
)


class Caller:
    """A caller that sends one request after another on one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def ask(self, request: bytes) -> None:
        """Send a request, and read its whole answer, which must be a success."""
        self.writer.write(request)
        head = await self.reader.readuntil(b'\r\n\r\n')
        if not head.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(f'not served: {head!r}')
        _, marker, rest = head.partition(b'Content-Length: ')
        if marker:
            await self.reader.readexactly(int(rest.partition(b'\r')[0]))
            return
        await self.reader.readuntil(b'\r\n0\r\n\r\n')


async def drive(address: str, kind: Kind, count: int, callers: int) -> None:
    """Send requests of one kind from callers that each wait for their answers."""
    numbers = iter(range(count))
    host, _, port = address.rpartition(':')

    async def call() -> None:
        caller = Caller(*await asyncio.open_connection(host, int(port)))
        for number in numbers:
            await caller.ask(kind.request(number))
            await asyncio.sleep(CALLER_PAUSE_SECONDS)
        caller.writer.close()

    async with asyncio.TaskGroup() as group:
        for _ in range(callers):
            group.create_task(call())


def processor_us(pid: int) -> float:
    """Return the processor time of a process with one thread, in microseconds."""
    spent = Path(f'/proc/{pid}/schedstat').read_text().split()[0]
    return int(spent) / NANOSECONDS_PER_US


@dataclass(frozen=True, slots=True)
class Plan:
    """What to measure: kinds by name, and requests of each from so many callers."""

    kinds: tuple[str, ...]
    count: int
    callers: int

    def selected(self) -> list[Kind]:
        """Return the kinds to measure."""
        return [kind for kind in KINDS if kind.name in self.kinds]


async def measure(site: Site, pid: int, address: str, plan: Plan) -> dict[str, object]:
    """Return the processor time per request of each kind, and per event."""
    row: dict[str, object] = {'requests': plan.count, 'callers': plan.callers}
    costs: dict[str, float] = {}
    for kind in plan.selected():
        for worker in site.workers:
            worker.events = kind.events
            worker.gap = EVENT_GAP_SECONDS
        await drive(address, kind, WARM_UP_REQUESTS, plan.callers)
        before = processor_us(pid)
        await drive(address, kind, plan.count, plan.callers)
        costs[kind.name] = (processor_us(pid) - before) / plan.count
        row[f'{kind.name}_us'] = round(costs[kind.name])
    if {'short_stream', 'long_stream'} <= costs.keys():
        more = costs['long_stream'] - costs['short_stream']
        row['event_us'] = round(more / (LONG_EVENTS - SHORT_EVENTS), 1)
    return row


@asynccontextmanager
async def running_box(
    settings: EntrySettings, profile: str
) -> AsyncIterator[subprocess.Popen[bytes]]:
    """Run an entry box in a process of its own."""
    flags = [
        f'--listen={settings.listen}',
        f'--ready={settings.ready_listen}',
        f'--seed={settings.seeds[0]}',
        f'--profile={profile}',
    ]
    command = [sys.executable, '-m', 'bench.request_costs', 'box', *flags]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(START_SECONDS)


async def wait_ready(site: Site, settings: EntrySettings) -> None:
    """Wait until a box is ready and has learned of the upstreams."""
    async with asyncio.timeout(START_SECONDS):
        while not await is_ready(site, settings):
            await asyncio.sleep(0.05)
    await asyncio.sleep(1)


async def is_ready(site: Site, settings: EntrySettings) -> bool:
    """Tell whether a box listens and is ready."""
    try:
        reply = await site.call('GET', settings.ready_listen, '/')
    except OSError:
        return False
    return reply.code == 200


async def run(plan: Plan, profile: str) -> dict[str, object]:
    """Run the whole measurement."""
    site = Site(Path(tempfile.mkdtemp(prefix='hitchdeck-bench-')))
    await site.start_hubs(1, 0)
    settings = EntrySettings(
        box='box-0',
        domain='a',
        seeds=(site.hubs[0].settings.listen,),
        listen=free_address(),
        ready_listen=free_address(),
    )
    reporting = asyncio.create_task(site.report_periodically())
    async with running_box(settings, profile) as box:
        for name, pool in (('e1', 'llm'), ('e2', 'llm'), ('p1', 'app'), ('p2', 'app')):
            worker: Worker = await site.start_worker(name, pool)
            worker.gap = EVENT_GAP_SECONDS
        await until_taken(site, roomy_document())
        await wait_ready(site, settings)
        row = await measure(site, box.pid, settings.listen, plan)
    reporting.cancel()
    await site.stop()
    return row


def roomy_document() -> dict[str, object]:
    """Return a document by which no request of a run is refused."""
    routes = [
        route('stream', '/s/', 'stream', resumable=True, service='llm', goalMs=5000),
        route('unsafe', '/u/', 'non_idempotent', service='app', goalMs=5000),
        route('safe', '/g/', 'idempotent', service='app', goalMs=5000),
    ]
    for one in routes:
        one['timeoutMs'] = 10_000
    engine = {'slots': 64, 'kvCapacity': 10_000_000}
    services = [
        {'name': 'llm', 'maxConns': 500, 'engine': engine},
        {'name': 'app', 'maxConns': 500},
    ]
    limits = {'tokensPerS': 10_000_000}
    return document(1, routes=routes, services=services, limits=limits)


class Bench:
    """The measurement, and the entry box that it starts."""

    def measure(
        self,
        count: int = 300,
        callers: int = 8,
        kinds: str = 'plain,once,short_stream,long_stream',
        profile: str = '',
        output: str = 'bench/results/request_costs.jsonl',
    ) -> None:
        """Measure each kind of request, and append the figures to a file."""
        logs.silence()
        plan = Plan(tuple(listed(kinds)), count, callers)
        row = asyncio.run(run(plan, profile))
        append_row(os.devnull if profile else output, row)

    def box(self, listen: str, ready: str, seed: str, profile: str = '') -> None:
        """Run an entry box until it is terminated."""
        logs.set_up_stdout(box='box-0')
        settings = EntrySettings(
            box='box-0',
            domain='a',
            seeds=(Address(seed),),
            listen=Address(listen),
            ready_listen=Address(ready),
        )
        profiler = cProfile.Profile()
        with asyncio.Runner(loop_factory=MeteredLoop) as runner:
            if profile:
                profiler.enable()
            runner.run(serve_until_terminated(settings))
            profiler.disable()
        if profile:
            profiler.dump_stats(profile)


async def serve_until_terminated(settings: EntrySettings) -> None:
    """Serve until SIGTERM arrives."""
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    box = await start_entry(settings, DIALECT)
    await terminated.wait()
    await box.stop()


if __name__ == '__main__':
    fire.Fire(Bench)
