"""Machines of a small deployment: the project's programs on loopback addresses.

Each machine has a loopback address of its own, so that all use the same ports, as on
the platform.  The programs get the settings that DEPLOY.md lists, with the figures of
the site turnolibero-hitchdeck, and are started by the commands of the deploy file.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

ZONES = ('torino-a', 'milano-b', 'novara-c')
CONTACT_S = 3.0
CATCH_UP_S = 4.0
DRAIN_S = 2.0
RECOVERY_S = 12.0

BROKEN, HELD, NOT_RUN = 10, 0, 2
"""Exit codes of a case; ``run.sh`` turns the first one into 1, which Python itself uses."""

CLAIM_PORT = 21_400
"""Port whose owner has a loopback network for itself."""

SETTINGS = """
nodeName = "{name}"
role = "{role}"
machineClass = "front"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "nord-ovest"
portRange = [{base}, {last}]
seeds = [{seeds}]
firstStart = {first}
faultCounted = {counted}
dataDir = "{data}"
discovery = "registration"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
configMode = "highest"
[zones]
torino-a = "nord-ovest"
milano-b = "nord-ovest"
novara-c = "nord-ovest"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.968
cores = 2
memoryMb = 150
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
retryExtra = 58
recoveryS = 12
iterationMs = 120
retryAfterS = 7.2
quotaWindowS = 4
ttl_max_s = 5
"""


@dataclass(slots=True)
class Ports:
    """Ports that all machines of a fleet use."""

    front: int
    ready: int
    control: int
    directory: int
    base: int
    last: int


@dataclass(slots=True)
class Machine:
    """A machine: its programs, its address and its disk, if it has one."""

    name: str
    ip: str
    zone: str
    disk: Path | None
    roles: tuple[str, ...]
    settings: dict[str, Path] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    stopped: bool = False


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.stream = path.open('w')

    def add(self, text: str) -> None:
        """Write a line."""
        line = f'{time.monotonic() - self.started:8.3f} {text}'
        self.stream.write(f'{line}\n')
        self.stream.flush()


class Fleet:
    """Starts, kills and replaces machines; ends all that it started."""

    def __init__(self, record: Record) -> None:
        # A script that is stopped must end its processes too.
        signal.signal(signal.SIGTERM, _exit)
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.machines: list[Machine] = []
        self.commands = _commands()
        self.network, self.claims, self.ports = _claim_network()

    def new(
        self, name: str, number: int, zone: str, roles: tuple[str, ...], *, disk: bool
    ) -> Machine:
        """Return a machine that is not started yet."""
        data = self.folder / f'{name}-data' if disk else None
        ip = f'127.{self.network}.0.{number}'
        machine = Machine(name, ip, zone, data, roles)
        self.machines.append(machine)
        return machine

    def start(self, machine: Machine, seeds: list[Machine], *, first: bool) -> None:
        """Write the settings of a machine and start its programs."""
        machine.stopped = False
        if machine.disk is not None:
            machine.disk.mkdir(exist_ok=True)
        for role in machine.roles:
            path = self.folder / f'{machine.name}-{role}.toml'
            path.write_text(self._settings(machine, role, seeds, first=first))
            machine.settings[role] = path
            self.start_role(machine, role)
        self.record.add(
            f'start {machine.name} ({machine.ip}, disk {machine.disk is not None}, '
            f'seeds {[one.name for one in seeds]}, firstStart {first})'
        )

    def start_role(self, machine: Machine, role: str) -> None:
        """Start one program of a machine by the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['HITCHDECK_SETTINGS'] = str(machine.settings[role])
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self.folder / f'{machine.name}-{role}.log').open('ab') as output:
            machine.processes[role] = subprocess.Popen(
                self.commands[role],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def kill(self, machine: Machine) -> None:
        """Kill all programs of a machine."""
        machine.stopped = True
        for process in machine.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in machine.processes.values():
            process.wait()

    def terminate(self, machine: Machine) -> None:
        """Send SIGTERM to all programs of a machine."""
        machine.stopped = True
        for process in machine.processes.values():
            process.send_signal(signal.SIGTERM)

    def wait_ended(self, machine: Machine, grace: float = 8.0) -> None:
        """Wait until all programs have ended, and kill them after the grace period."""
        until = time.monotonic() + grace
        for process in machine.processes.values():
            try:
                process.wait(max(0.0, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def wipe(self, machine: Machine) -> None:
        """Empty the data folder of a machine that is down."""
        if machine.disk is not None:
            shutil.rmtree(machine.disk)

    def stop(self) -> None:
        """Kill all that was started, and remove the folder."""
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        for claim in self.claims:
            claim.close()
        if 'KEEP' in os.environ:
            self.record.add(f'logs kept in {self.folder.name}')
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    def ended(self) -> list[str]:
        """Return the programs that ended without having been stopped here."""
        return [
            f'{machine.name}/{role}'
            for machine in self.machines
            if not machine.stopped
            for role, process in machine.processes.items()
            if process.poll() is not None
        ]

    def control(self, machine: Machine) -> str:
        """Return the address of a hub for operators and workers."""
        return f'{machine.ip}:{self.ports.control}'

    def front(self, machine: Machine) -> str:
        """Return the address of an entry box for clients."""
        return f'{machine.ip}:{self.ports.front}'

    def leads(self, machine: Machine) -> bool:
        """Tell whether a hub says in its metrics that it leads the control group."""
        try:
            status, body = call('GET', f'{machine.ip}:9102', '/metrics', timeout=0.5)
        except OSError:
            return False
        return status == 200 and b'hitchdeck_leads 1\n' in body

    def _settings(
        self, machine: Machine, role: str, seeds: list[Machine], *, first: bool
    ) -> str:
        serves = ('control', 'directory') if role == 'hub' else ('front',)
        return SETTINGS.format(
            name=machine.name,
            role=role,
            serves=', '.join(f'"{one}"' for one in serves),
            ip=machine.ip,
            zone=machine.zone,
            seeds=', '.join(f'"{self.control(one)}"' for one in seeds),
            first=str(first).lower(),
            counted=str(machine.disk is not None).lower(),
            data=machine.disk if machine.disk is not None and role == 'hub' else '',
            front=self.ports.front,
            ready=self.ports.ready,
            control=self.ports.control,
            directory=self.ports.directory,
            base=self.ports.base,
            last=self.ports.last,
        )


def call(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 1.0,
) -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error
    finally:
        connection.close()


class Operator:
    """The operator: sends documents to hubs and reads them back, as the pages say."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet = fleet
        self.record = record
        self.acknowledged = 0

    def publish(
        self, given: dict[str, object], hubs: list[Machine], seconds: float
    ) -> bool:
        """Send a document until it is acknowledged; return whether it was."""
        version = given['version']
        body = json.dumps(given).encode()
        until = time.monotonic() + seconds
        pause = 0.1
        hubs = list(hubs)
        while time.monotonic() < until:
            random.shuffle(hubs)
            for hub in hubs:
                answer = self._call('PUT', hub, body)
                if answer == 200:
                    self.acknowledged = max(self.acknowledged, int(str(version)))
                    self.record.add(f'PUT version {version} at {hub.name}: 200')
                    return True
            time.sleep(pause)
            pause = min(1.0, 2 * pause)
        self.record.add(f'PUT version {version}: no acknowledgement in {seconds} s')
        return False

    def read(self, hubs: list[Machine], seconds: float) -> int | None:
        """Read the document back, repeatedly; return its version, if any answers."""
        until = time.monotonic() + seconds
        answers: dict[str, int] = {}
        while time.monotonic() < until:
            for hub in hubs:
                try:
                    status, body = call(
                        'GET', self.fleet.control(hub), '/api/config', timeout=1.5
                    )
                except OSError as error:
                    status, body = 0, repr(error).encode()
                key = f'{hub.name}: {status}'
                answers[key] = answers.get(key, 0) + 1
                if status == 200:
                    version = int(json.loads(body)['version'])
                    self.record.add(f'GET at {hub.name}: 200, version {version}')
                    return version
            time.sleep(0.2)
        self.record.add(f'GET: no document in {seconds} s; answers: {answers}')
        return None

    def _call(self, method: str, hub: Machine, body: bytes) -> int:
        try:
            status, _ = call(
                method,
                self.fleet.control(hub),
                '/api/config',
                body,
                {'Content-Type': 'application/json'},
                timeout=1.5,
            )
        except OSError:
            return 0
        return status


def document(version: int, idle: int = 0) -> dict[str, object]:
    """Return a small configuration document; ``idle`` adds routes without traffic."""
    routes = [
        _route('shift-confirm', '/confirm/', 'non_idempotent'),
        _route('shift-lookup', '/lookup/', 'idempotent'),
    ]
    routes += [
        _route(f'idle-{one}', f'/idle{one}/', 'idempotent') for one in range(idle)
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'turni-app',
                'healthPath': '/healthz',
                'maxConns': 110,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
            'tokensPerS': 220000,
        },
        'tenants': [
            {'name': 'rota', 'apiKeys': ['k7b2ex5wa5xwyhks8nbk'], 'priority': 1}
        ],
    }


def _route(name: str, prefix: str, kind: str) -> dict[str, object]:
    return {
        'name': name,
        'host': 'turni.example',
        'pathPrefix': prefix,
        'routeType': kind,
        'timeoutMs': 800,
        'goalMs': 100,
        'priority': 2,
        'service': 'turni-app',
        'maxAttempts': 1,
        'noAuth': True,
        'sticky': False,
        'resumable': False,
    }


def play_case(folder: Path, play: Callable[[Fleet, Record], int]) -> int:
    """Play a case on a new fleet, and end all that was started; return the exit code.

    An error of the script or of the machine is no broken rule.
    """
    record = Record(folder / 'record.txt')
    fleet: Fleet | None = None
    try:
        fleet = Fleet(record)
        return play(fleet, record)
    except Exception as error:
        record.add(f'could not run: {error!r}')
        return NOT_RUN
    finally:
        if fleet is not None:
            fleet.stop()


def _exit(number: int, _frame: object) -> None:
    raise SystemExit(NOT_RUN)


def _commands() -> dict[str, list[str]]:
    """Return the commands of the deploy file by role."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    return {role: part['run'].split() for role, part in deploy['roles'].items()}


def _claim_network() -> tuple[int, list[socket.socket], Ports]:
    """Return a second byte of loopback addresses that is unused, and free ports."""
    for network in random.sample(range(10, 250), 200):
        claims: list[socket.socket] = []
        numbers: list[int] = []
        try:
            # The first one is a fixed port: it keeps other scripts off the network.
            for port in (CLAIM_PORT, 0, 0, 0, 0, 0):
                claim = socket.socket()
                claim.bind((f'127.{network}.0.254', port))
                claims.append(claim)
                numbers.append(claim.getsockname()[1])
            # The deploy file fixes the ports of the metrics.
            for port in (9101, 9102):
                with socket.socket() as probe:
                    probe.bind((f'127.{network}.0.1', port))
        except OSError:
            for claim in claims:
                claim.close()
            continue
        front, ready, control, directory, base = numbers[1:]
        ports = Ports(front, ready, control, directory, base, base + 2)
        return network, claims, ports
    raise OSError('no free loopback network')
