"""Starts the project's programs on loopback, with stand-in workers and clients.

Shared by the scripts of the cases 4 to 8.  The programs are started with the commands
of ``deploy/system.toml``; their settings hold what DEPLOY.md lists, with the figures of
the deployment stavmat-hitch.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'site.example'
KEYS = ('k7b2ex5wa5xwyhks8nbk', 'asnmgkcuyj8pjbvk9m68')
"""Keys of the two tenants."""
FRONT, READY, CONTROL, DIRECTORY, FIRST, LAST = 8783, 8780, 8785, 8789, 7400, 7415
CLAIM = '127.{}.0.254'
ZONES = ('zilina-a', 'zilina-b', 'bbystrica-a', 'bbystrica-b')
BEAT_SECONDS = 1.2
REGION = 'sk-central'

SETTINGS = """nodeName = "{name}"
role = "{role}"
machineClass = "front"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "sk-central"
portRange = [{first}, {last}]
seeds = [{seeds}]
firstStart = {first_start}
faultCounted = {counted}
dataDir = "{data}"
discovery = "registration"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
configMode = "highest"
[zones]
zilina-a = "sk-central"
zilina-b = "sk-central"
bbystrica-a = "sk-central"
bbystrica-b = "sk-central"
[listen]
{listen}
[limits]
cpuShare = 0.968
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 64
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
stretchMaxMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryExtra = 62
recoveryS = 12
iterationMs = 120
retryAfterS = 9.9
quotaWindowS = 4
ttl_max_s = 5
"""

MODULES = {
    'entry': 'hitchdeck_daemon.platform_entry',
    'hub': 'hitchdeck_daemon.platform_hub',
}


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / 'record.txt'
        self.began = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f'{time.monotonic() - self.began:8.3f} {text}')

    def write(self) -> None:
        """Write the file."""
        self.path.write_text('\n'.join(self.lines) + '\n')


@dataclass
class Program:
    """One process of a machine."""

    name: str
    role: str
    ip: str
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': f'{ROOT / "target/deps"}:{ROOT}',
            'HITCHDECK_SETTINGS': str(self.settings),
        }
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', MODULES[self.role]],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for it."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()


@dataclass
class Fleet:
    """The programs of one run, each machine at a loopback address of its own."""

    folder: Path
    network: int
    claim: socket.socket
    programs: dict[tuple[int, str], Program] = field(default_factory=dict)

    def ip(self, machine: int) -> str:
        """Return the address of a machine."""
        return f'127.{self.network}.0.{machine + 1}'

    def add(self, machine: int, role: str, *, seeds: int, first_start: bool) -> Program:
        """Write the settings of a program, and start it."""
        ip = self.ip(machine)
        name = f'front-{ZONES[machine % len(ZONES)]}-{machine}'
        data = self.folder / f'{name}-data'
        data.mkdir(exist_ok=True)
        if role == 'hub':
            serves = '"control", "directory"'
            listen = f'control = "{ip}:{CONTROL}"\ndirectory = "{ip}:{DIRECTORY}"'
        else:
            serves = '"front"'
            listen = f'front = "{ip}:{FRONT}"\nready = "{ip}:{READY}"'
        path = self.folder / f'{name}-{role}.toml'
        path.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                serves=serves,
                ip=ip,
                zone=ZONES[machine % len(ZONES)],
                first=FIRST,
                last=LAST,
                seeds=', '.join(f'"{self.ip(one)}:{CONTROL}"' for one in range(seeds)),
                first_start=str(first_start).lower(),
                counted=str(role == 'hub').lower(),
                data=data if role == 'hub' else '',
                listen=listen,
            )
        )
        log = self.folder / f'{name}-{role}.log'
        program = Program(name, role, ip, path, log)
        self.programs[machine, role] = program
        program.start()
        return program

    def stop(self) -> None:
        """Kill every process that this run started."""
        for program in self.programs.values():
            program.kill()
        self.claim.close()


def claimed_fleet(folder: Path) -> Fleet:
    """Return a fleet at loopback addresses that no other run uses."""
    for network in range(60, 250):
        claim = socket.socket()
        try:
            claim.bind((CLAIM.format(network), FRONT))
        except OSError:
            claim.close()
            continue
        return Fleet(folder, network, claim)
    raise CannotRunError('no free loopback network')


@dataclass
class Ask:
    """A request as a worker received it."""

    line: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def attempt(self) -> str:
        """Return its id."""
        return self.headers.get('attempt-id', '')


Serve = Callable[['Worker', Ask, asyncio.StreamWriter], Awaitable[bool]]

Early = Callable[['Worker', Ask], bytes]
"""Returns an answer that is given before the body is read; empty for none."""


@dataclass
class Worker:
    """A stand-in worker, which reports itself to the hubs as PROTOCOL.md says."""

    name: str
    service: str
    zone: str
    controls: list[str]
    serve: Serve
    record: Record
    slots: int = 6
    stage: bool = False
    early: Early | None = None
    address: str = ''
    sequence: int = 0
    state: str = 'ready'
    ran: list[str] = field(default_factory=list)
    server: asyncio.Server | None = None
    beating: asyncio.Task[None] | None = None

    async def start(self, ip: str) -> None:
        """Listen, and begin to report."""
        self.server = await asyncio.start_server(self._connected, ip, 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self.beating = asyncio.create_task(self._beat())

    async def report(self, control: str) -> int:
        """Send one report; return the status, 0 if none came."""
        self.sequence += 1
        fields: dict[str, object] = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'sequence': self.sequence,
        }
        if self.stage:
            fields['stage'] = 'unified'
            fields['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        status, _ = await call(
            control, 'PUT', f'/api/instances/{self.name}', json.dumps(fields).encode()
        )
        return status

    async def _beat(self) -> None:
        while True:
            for control in self.controls:
                if await self.report(control) // 100 == 2:
                    break
            await asyncio.sleep(BEAT_SECONDS)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lost = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*lost):
            while (ask := await read_head(reader)) is not None:
                length = int(ask.headers.get('content-length', '0'))
                if self.early is not None and (rejection := self.early(self, ask)):
                    # The connection is kept, and the body is read later.
                    writer.write(rejection)
                    await writer.drain()
                    await reader.readexactly(length)
                    continue
                ask.body = await reader.readexactly(length)
                if ask.headers.get('expect-instance', self.name) != self.name:
                    writer.write(answer(ask, '421 Misdirected Request', b''))
                    continue
                if not await self.serve(self, ask, writer):
                    break
        writer.close()


async def read_head(reader: asyncio.StreamReader) -> Ask | None:
    """Read the head of a request; ``None`` at the end of the connection."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except asyncio.IncompleteReadError:
        return None
    line, *lines = head.split('\r\n')
    pairs = (one.partition(':') for one in lines if one)
    headers = {name.strip().lower(): text.strip() for name, _, text in pairs}
    return Ask(line, headers)


def answer(ask: Ask, status: str, body: bytes, *lines: str) -> bytes:
    """Return a whole answer of a worker."""
    head = [f'HTTP/1.1 {status}', f'Attempt-Id: {ask.attempt}', *lines]
    head.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*head, '', '']).encode() + body


async def call(
    address: str, method: str, path: str, body: bytes = b'', seconds: float = 1.0
) -> tuple[int, bytes]:
    """Send one request on a new connection; status 0 if no whole answer came."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
            head += 'Content-Type: application/json\r\nConnection: close\r\n'
            head += f'Content-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode() + body)
            received = await reader.read(-1)
    except (OSError, TimeoutError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()
    start, _, rest = received.partition(b'\r\n\r\n')
    words = start.split(b' ', 2)
    return (int(words[1]) if len(words) > 1 else 0), rest


def route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Return a route of a manifest."""
    return {
        'name': f'r-{name}',
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'routeType': kind,
        'timeoutMs': 3000,
        'goalMs': 400,
        'priority': 1,
        'service': service,
        'maxAttempts': 1,
        'noAuth': False,
        'sticky': False,
        'resumable': False,
        **more,
    }


def manifest(version: int, routes: list[dict[str, object]]) -> bytes:
    """Return a manifest, as PROTOCOL.md shows it."""
    engine = {
        'slots': 64,
        'kvCapacity': 392852,
        'kvTokenBytes': 327680,
        'linkMbps': 740000.0,
        'moves': True,
        'backups': True,
        'stride': 3,
        'most': 12,
        'pinMs': 4000.0,
        'holdMs': 2000.0,
        'handleS': 5.0,
        'models': [{'name': 'm'}],
    }
    plain = {'healthPath': '/healthz', 'protocol': 'h1', 'tls': False}
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {'name': 'llm', 'maxConns': 390, **plain, 'engine': engine},
                {'name': 'app', 'maxConns': 130, **plain},
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
                'tokensPerS': 220000,
            },
            'tenants': [
                {'name': 'hule930', 'apiKeys': [KEYS[0]], 'priority': 1},
                {'name': 'pufi791', 'apiKeys': [KEYS[1]], 'priority': 1},
            ],
        }
    ).encode()


def request(method: str, path: str, attempt: str, body: bytes, **more: str) -> bytes:
    """Return a client's request; underscores in names of fields become hyphens."""
    fields = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Deadline-Ms': '3000',
        'Authorization': f'Token {KEYS[0]}',
        **{name.replace('_', '-'): text for name, text in more.items()},
    }
    if body:
        fields['Content-Length'] = str(len(body))
    lines = [f'{name}: {text}' for name, text in fields.items()]
    return '\r\n'.join([f'{method} {path} HTTP/1.1', *lines, '', '']).encode() + body


async def until(
    condition: Callable[[], Awaitable[bool]], seconds: float, what: str
) -> None:
    """Wait for a condition, or raise ``CannotRunError``."""
    limit = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > limit:
            raise CannotRunError(f'{what}: not within {seconds} s')
        await asyncio.sleep(0.1)


async def publish(fleet: Fleet, hubs: int, body: bytes) -> None:
    """Send a manifest to the hubs in turn until it is acknowledged."""
    for number in range(200):
        control = f'{fleet.ip(number % hubs)}:{CONTROL}'
        status, _ = await call(control, 'PUT', '/api/config', body)
        if status == 200:
            return
        await asyncio.sleep(0.1)
    raise CannotRunError('the manifest was not acknowledged')


async def until_ready(fleet: Fleet, boxes: list[int]) -> None:
    """Wait until entry boxes say that they are ready."""

    async def ready() -> bool:
        answers = [
            await call(f'{fleet.ip(one)}:{READY}', 'GET', '/api/readyz')
            for one in boxes
        ]
        return all(status == 200 for status, _ in answers)

    await until(ready, 30, 'entry boxes ready')


Case = Callable[[Fleet, Record], Awaitable[bool]]


def run_case(folder: Path, case: Case) -> None:
    """Run a case, write its record, and exit with 1 if it found the rule broken."""
    record = Record(folder)
    # The programs are ended also if the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as name:
        fleet = None
        try:
            fleet = claimed_fleet(Path(name))
            broken = asyncio.run(asyncio.wait_for(case(fleet, record), 110))
            code = 1 if broken else 0
        except (CannotRunError, OSError, TimeoutError) as error:
            record.note(f'could not run: {error!r}')
            code = 2
        finally:
            if fleet is not None:
                fleet.stop()
                if keep := os.environ.get('KEEP_LOGS'):
                    for log in Path(name).glob('*.log'):
                        Path(keep, log.name).write_bytes(log.read_bytes())
    record.note(f'exit {code}, TROUBLE={int(TROUBLE)}')
    record.write()
    sys.exit(code)
