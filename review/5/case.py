"""Case 5: a stream that goes on elsewhere, where its request is rejected early."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab_2 import (  # noqa: E402  (the folder is known only now)
    CONTROL,
    FRONT,
    TROUBLE,
    ZONES,
    Ask,
    Fleet,
    Record,
    Worker,
    answer,
    manifest,
    publish,
    request,
    route,
    run_case,
    until_ready,
)

WORKERS = 8
GARBLING = frozenset((0, 1, 4, 5))
"""The half of the workers that garble: those of two zones, the box's own among them.
The largest share of the pages is 0.6."""

ANSWERS_A_FAULT = 50
"""A garbling worker spoils at most one answer of fifty, 0.02."""

CLIENTS = 16
SECONDS = 20
EVENTS = 17
EVENT_SECONDS = 0.02
BODY = b'q' * 18_000
LIMIT_SECONDS = 6.0
GAP_SECONDS = 3.2
"""Time after which a client abandons a stream: eight times the objective of 0.4 s."""


@dataclass
class Faults:
    """What one worker has answered and spoiled."""

    answers: int = 0
    spoiled: int = 0

    def may_spoil(self, kept: int) -> bool:
        """Tell whether an answer may be spoiled, so that ``kept`` more may follow."""
        return self.answers >= ANSWERS_A_FAULT * (self.spoiled + 1 + kept)


def is_garbling(worker: Worker) -> bool:
    """Tell whether a worker garbles."""
    return TROUBLE and int(worker.name.split('-')[1]) in GARBLING


class Engines:
    """Serves streams; some workers break one off, or reject a long request early."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.faults: dict[str, Faults] = {}

    def reject(self, worker: Worker, ask: Ask) -> bytes:
        """Return a rejection of a long request before its body is in; empty for none."""
        faults = self.faults.setdefault(worker.name, Faults())
        faults.answers += 1
        last = ask.headers.get('last-event-id')
        if not (last and is_garbling(worker) and faults.may_spoil(0)):
            return b''
        faults.spoiled += 1
        self.record.note(
            f'{worker.name} rejects {ask.attempt} (Last-Event-Id {last}) with 413, '
            f'spoiled {faults.spoiled} of {faults.answers}'
        )
        seal = f'Server-Seal: {worker.name}'
        return answer(ask, '413 Content Too Large', b'too large', seal)

    async def serve(
        self, worker: Worker, ask: Ask, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request."""
        faults = self.faults[worker.name]
        last = int(ask.headers.get('last-event-id') or 0)
        garbles = is_garbling(worker)
        breaks = garbles and not last and faults.may_spoil(1)
        faults.spoiled += breaks
        worker.ran.append(ask.attempt)
        writer.write(
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {ask.attempt}\r\n'
            f'Server-Seal: {worker.name}\r\nWeight-Versions: 1\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(last + 1, EVENTS + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
            if breaks and number == EVENTS // 2:
                self.record.note(
                    f'{worker.name} breaks off {ask.attempt} after event {number}, '
                    f'spoiled {faults.spoiled} of {faults.answers}'
                )
                writer.transport.abort()
                return False
        writer.write(b'0\r\n\r\n')
        return True


@dataclass
class Received:
    """What a client received for one stream."""

    attempt: str
    status: bytes = b''
    events: int = 0
    whole: bool = False
    foreign: bytes = b''
    end: str = ''


async def read_stream(reader: asyncio.StreamReader, received: Received) -> None:
    """Read a chunked stream; stop at bytes that are no chunk."""
    head = await reader.readuntil(b'\r\n\r\n')
    received.status = head.split(b'\r\n', 1)[0]
    if not received.status.startswith(b'HTTP/1.1 200'):
        return
    while True:
        async with asyncio.timeout(GAP_SECONDS):
            line = await reader.readline()
        if not line:
            received.end = 'closed'
            return
        try:
            size = int(line, 16)
        except ValueError:
            received.foreign = line
            await note_rest(reader, received)
            return
        if not size:
            received.whole = True
            await reader.readexactly(2)
            return
        chunk = await reader.readexactly(size + 2)
        received.events += chunk.count(b'id: ')


async def note_rest(reader: asyncio.StreamReader, received: Received) -> None:
    """Note what follows bytes that are no chunk, and whether the connection ends."""
    try:
        async with asyncio.timeout(GAP_SECONDS):
            while piece := await reader.read(1000):
                received.foreign += piece
        received.end = 'closed after that'
    except TimeoutError:
        received.end = f'open and silent for {GAP_SECONDS} s after that'


async def client(
    fleet: Fleet, number: int, until: float, results: list[Received]
) -> None:
    """Send streams one after the other, each on a new connection."""
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < until:
        count += 1
        received = Received(f'c{number}-{count}')
        results.append(received)
        reader, writer = await asyncio.open_connection(fleet.ip(4), FRONT)
        prompt = f'aa{number % 4}:2520,{number:x}{count:x}:370'
        writer.write(
            request(
                'POST',
                '/quote/1',
                received.attempt,
                BODY,
                Deadline_Ms='6000',
                Model='m',
                Token_Count='2890,51',
                Prompt_Prefix=prompt,
            )
        )
        try:
            async with asyncio.timeout(LIMIT_SECONDS + 4):
                await read_stream(reader, received)
        except (OSError, EOFError, TimeoutError) as error:
            received.end = repr(error)
        writer.close()


async def case(fleet: Fleet, record: Record) -> bool:
    """Play the case; return whether the rule was broken."""
    for machine in range(3):
        fleet.add(machine, 'hub', seeds=3, first_start=True)
    fleet.add(4, 'entry', seeds=3, first_start=True)
    controls = [f'{fleet.ip(machine)}:{CONTROL}' for machine in range(3)]
    engines = Engines(record)
    for number in range(WORKERS):
        zone = ZONES[number % len(ZONES)]
        worker = Worker(
            f'i-{number}', 'llm', zone, controls, engines.serve, record, 64, stage=True
        )
        worker.early = engines.reject
        await worker.start(fleet.ip(20 + number))
    quote = route(
        'quote',
        'stream',
        'llm',
        resumable=True,
        maxAttempts=2,
        sticky=True,
        gapGoalMs=200,
        timeoutMs=6000,
    )
    await publish(fleet, 3, manifest(1, [quote]))
    await until_ready(fleet, [4])
    await asyncio.sleep(3)
    until = asyncio.get_running_loop().time() + SECONDS
    results: list[Received] = []
    async with asyncio.TaskGroup() as group:
        for number in range(CLIENTS):
            group.create_task(client(fleet, number, until, results))
    for name in sorted(engines.faults):
        faults = engines.faults[name]
        record.note(f'{name}: {faults.spoiled} of {faults.answers} answers spoiled')
    whole = [one for one in results if one.whole]
    record.note(f'{len(results)} streams sent, {len(whole)} whole')
    for one in results:
        if not one.whole:
            record.note(
                f'{one.attempt}: {one.status!r}, {one.events} events, then '
                f'{one.foreign!r}; {one.end}'
            )
    return any(one.foreign for one in results)


run_case(HERE, case)
