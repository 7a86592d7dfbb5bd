"""Two accounts at one box each, one asking many times what the other asks.

``python -m bench.flooded_box`` plays hubs and boxes as processes on loopback, the boxes
with a fixed share of a processor, and tells what each account asked and got, in tokens.
``--spare N`` adds boxes of the flooded box's failure domain that no account uses.
"""

import asyncio
import json
import signal
import tempfile
import threading
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType

import fire

from soak.fleet import Fleet, Program, claimed_fleet
from standins.platform_site import document, generation
from standins.platform_worker import Worker

FLOODING = 'ann'
OTHER = 'bob'
KEYS = MappingProxyType({FLOODING: 'key-of-ann', OTHER: 'key-of-bob'})

TOKENS = 240
"""Of one request: 200 read, and 20 made that count twice."""

RATE = 8.0
"""Requests a second of the account that does not flood."""

WARM_SECONDS = 3.0
COUNTED_SECONDS = 6.0
PATIENCE_SECONDS = 2.0
START_SECONDS = 20.0
RETRY_SECONDS = 0.2
REPORT_SECONDS = 0.4
BODY_BYTES = 12_000
ENGINES = 3

FLOODED_NUMBER, OTHER_NUMBER, FIRST_SPARE_NUMBER = 1, 0, 3
"""Numbers of machines.  The failure domain of the flooded box is that of the spare
ones, and not that of the other box."""

SHARE = 0.08
"""Part of a processor that a box has."""

BURST_SECONDS = 0.004
"""Processor time that a box may save up while it is idle."""

LOOK_SECONDS = 0.004
NANOSECONDS = 10**9

SUCCESS = b'HTTP/1.1 200'
LAST_CHUNK = b'0\r\n\r\n'
HEAD_END = b'\r\n\r\n'


class Share:
    """Gives a process a fixed share of a processor, whatever else runs.

    What it has used is read from the kernel, so that neither the load of the machine
    nor a late look changes the share.
    """

    def __init__(self, program: Program) -> None:
        self.program = program
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._limit)

    def __enter__(self) -> None:
        """Begin to limit the process."""
        self.thread.start()

    def __exit__(self, *_: object) -> None:
        """Let the process run freely again."""
        self.ended.set()
        self.thread.join()
        self.program.signal(signal.SIGCONT)

    def _limit(self) -> None:
        looked, used = time.monotonic(), self._used()
        left = 0.0
        while not self.ended.wait(LOOK_SECONDS):
            looked_before, used_before = looked, used
            looked, used = time.monotonic(), self._used()
            left += SHARE * (looked - looked_before) - (used - used_before)
            left = min(left, BURST_SECONDS)
            self.program.signal(signal.SIGCONT if left > 0 else signal.SIGSTOP)

    def _used(self) -> float:
        """Return the processor time of the process so far, in seconds."""
        process = self.program.process
        assert process is not None
        text = Path(f'/proc/{process.pid}/schedstat').read_text()
        return int(text.split()[0]) / NANOSECONDS


@dataclass
class Site:
    """Hubs, boxes and engines as processes, and what accounts asked and got."""

    fleet: Fleet
    workers: list[Worker]
    asked: Counter[str] = field(default_factory=Counter)
    got: Counter[str] = field(default_factory=Counter)
    counts: bool = False

    async def report(self) -> None:
        """Report the engines to a hub; for ever."""
        while True:
            for worker in self.workers:
                worker.sequence += 1
                body = json.dumps(worker.report(worker.sequence))
                path = f'/api/instances/{worker.name}'
                await self.put(path, body)
            await asyncio.sleep(REPORT_SECONDS)

    async def put(self, path: str, body: str) -> bytes:
        """Send a hub something; return its answer."""
        address = self.fleet.control(self.fleet.hubs[0])
        head = f'PUT {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n'
        return await exchange(address, f'{head}{body}'.encode())

    async def ask(self, account: str, box: Program, number: int) -> bytes:
        """Send a request on a new connection, as a caller does after a rejection."""
        counted = self.counts
        self.asked[account] += counted * TOKENS
        request = generation(
            f'{account}{number}',
            KEYS[account],
            f'aa:100,{number:x}:100',
            '200,20',
            BODY_BYTES,
        )
        answer = await exchange(self.fleet.front(box), request)
        served = answer.startswith(SUCCESS) and answer.endswith(LAST_CHUNK)
        self.got[account] += counted * served * TOKENS
        return answer

    async def keep_asking(self, account: str, box: Program, rate: float) -> None:
        """Ask at a fixed rate, whatever becomes of the requests."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(rate * (WARM_SECONDS + COUNTED_SECONDS))):
                tasks.create_task(self.ask(account, box, number))
                await asyncio.sleep(1 / rate)

    async def count(self) -> None:
        """Count what is asked, after a while, for some seconds."""
        await asyncio.sleep(WARM_SECONDS)
        self.counts = True
        await asyncio.sleep(COUNTED_SECONDS)
        self.counts = False


async def exchange(address: str, request: bytes) -> bytes:
    """Return the answer on a connection of its own, cut off after a while."""
    host, _, port = address.rpartition(':')
    answer = b''
    try:
        async with asyncio.timeout(PATIENCE_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            answer = await read_answer(reader)
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        # What did not come in time was not served.
        return answer
    return answer


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return the head of an answer, and of one that is streamed its end too."""
    answer = await reader.readuntil(HEAD_END)
    if answer.startswith(SUCCESS) and b'chunked' in answer:
        answer += await reader.readuntil(LAST_CHUNK)
    return answer


async def start(site: Site, spare: int) -> None:
    """Start everything, and wait until all boxes serve."""
    for number in range(3):
        site.fleet.add(number, 'hub')
    for number in (FLOODED_NUMBER, OTHER_NUMBER):
        site.fleet.add(number, 'box')
    for number in range(FIRST_SPARE_NUMBER, FIRST_SPARE_NUMBER + spare):
        site.fleet.add(number, 'box')
    for worker in site.workers:
        await worker.start()
    tenants = [{'name': name, 'apiKeys': [key]} for name, key in KEYS.items()]
    body = json.dumps(document(1, tenants=tenants))
    async with asyncio.timeout(START_SECONDS):
        while b' 200 ' not in await site.put('/api/config', body):
            await asyncio.sleep(RETRY_SECONDS)
        for box in site.fleet.boxes:
            while not (await site.ask(OTHER, box, 0)).startswith(SUCCESS):
                await asyncio.sleep(RETRY_SECONDS)


async def stop(site: Site, reporting: asyncio.Task[None]) -> None:
    """End every process and engine."""
    reporting.cancel()
    site.fleet.stop()
    # Until the engines have seen that the boxes are gone.
    await asyncio.sleep(RETRY_SECONDS)
    for worker in site.workers:
        await worker.stop()


async def play(folder: Path, times: int, spare: int = 0) -> Site:
    """Play one flood; return what was asked and got in the counted seconds.

    Parameters
    ----------
    times
        How often the flooding account asks for each request of the other one.
    spare
        Number of boxes in the flooded box's failure domain that no account uses.
    """
    workers = [Worker(f'w{one}', 'llm') for one in range(ENGINES)]
    site = Site(claimed_fleet(folder), workers)
    reporting = asyncio.create_task(site.report())
    try:
        await start(site, spare)
        flooded, other, *_ = site.fleet.boxes
        with ExitStack() as shares:
            for box in site.fleet.boxes:
                shares.enter_context(Share(box))
            await asyncio.gather(
                site.keep_asking(FLOODING, flooded, times * RATE),
                site.keep_asking(OTHER, other, RATE),
                site.count(),
            )
    finally:
        await stop(site, reporting)
    return site


def main(times: int = 10, spare: int = 0) -> None:
    """Play one flood and print it."""
    with tempfile.TemporaryDirectory() as folder:
        site = asyncio.run(play(Path(folder), times, spare))
    for account in KEYS:
        print(f'{account}: asked {site.asked[account]}, got {site.got[account]} tokens')


if __name__ == '__main__':
    fire.Fire(main)
