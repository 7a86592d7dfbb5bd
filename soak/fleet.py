"""Starts the programs as child processes on loopback and stops them.

Every machine has its own loopback address, so that all machines use the same
ports, as on the platform.
"""

import os
import shutil
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from itertools import chain
from pathlib import Path
from types import MappingProxyType

from hitchdeck_platform.settings import HUB_METRICS_PORT

FIRST_PORT = 21_400

NETWORKS = range(10, 250)
"""Second bytes of the loopback addresses that a fleet may use."""

CLAIM_HOST = 254
"""Host number whose first port is bound to mark a network as in use."""

SEEDS = 3
"""Hubs that the settings of a program name."""

SETTINGS = """
nodeName = "{name}"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
portRange = [{base}, {last}]
seeds = [{seeds}]
firstStart = {first}
dataDir = "{data}"
heartbeatMs = 500
{options}
[zones]
a = "north"
b = "north"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[faultTolerance]
machines = 1
[bounds]
graceS = 3
ttl_max_s = 2
quotaWindowS = 4
retryBudgetRatio = 0.2
retryExtra = 58
budgetWindowS = 10
{limits}
"""

OPTIONS = """contracts = ["base", "pressure"]
learnEngines = true"""
"""Options that call for the parts for heavy load, together with ``LIMITS``."""

LIMITS = """[limits]
cpuShare = {share}
cores = 1
memoryMb = 200
maxFds = 1638"""

SHARES = (0.4, 0.8, 1.2)
"""Processor shares of the machines, in turn: boxes are uneven."""


PROGRAMS = MappingProxyType(
    {
        'hub': 'hitchdeck_daemon.platform_hub',
        'box': 'hitchdeck_daemon.platform_entry',
    },
)


@dataclass(slots=True)
class Program:
    """One process of the fleet, with what is needed to restart it."""

    name: str
    ip: str
    role: str
    settings: Path
    data: Path | None
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process unless it runs; concurrent faults may both restart it."""
        if self.process is not None and self.process.poll() is None:
            return
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', PROGRAMS[self.role]],
                env={**os.environ, 'HITCHDECK_SETTINGS': str(self.settings)},
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self, seconds: float = 0) -> None:
        """Wait up to ``seconds`` for the process to exit, then kill it."""
        if self.process is None:
            return
        try:
            self.process.wait(seconds or None if seconds else 0)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def lose_disk(self) -> None:
        """Empty the data folder of a hub; no-op for a box."""
        if self.data is not None:
            shutil.rmtree(self.data, ignore_errors=True)
            self.data.mkdir()


@dataclass(slots=True)
class Fleet:
    """All programs of one run.

    ``claim`` is a bound socket that keeps other fleets on the same host from
    using the same addresses.  ``has_limits`` tells whether the settings state limits of
    processes, and so call for the parts for heavy load.
    """

    folder: Path
    network: int
    claim: socket.socket | None = None
    has_limits: bool = False
    hubs: list[Program] = field(default_factory=list)
    boxes: list[Program] = field(default_factory=list)

    def add(
        self, number: int, role: str, *, first: bool = True, disk: bool = True
    ) -> Program:
        """Write a program's settings and start it.

        ``first`` is false for a machine that is added to a running fleet, and ``disk``
        for a hub without one.
        """
        ip = self.ip_of(number)
        name = f'm{number}'
        data = self.folder / f'{name}-data'
        data.mkdir(exist_ok=True)
        path = self.folder / f'{name}-{role}.toml'
        program = Program(
            name=name,
            ip=ip,
            role=role,
            settings=path,
            data=data if role == 'hub' and disk else None,
            log=self.folder / f'{name}-{role}.log',
        )
        self.write_settings(program, first=first)
        (self.hubs if role == 'hub' else self.boxes).append(program)
        program.start()
        return program

    def write_settings(self, program: Program, *, first: bool) -> None:
        """Write the settings that a program reads when it starts.

        ``first`` is true only for the first start of the fleet.
        """
        hosts = (
            [self.ip_of(one) for one in range(SEEDS)]
            if first
            else [hub.ip for hub in self.hubs[-SEEDS:]]
        )
        seeds = ', '.join(f'"{self.control_at(ip)}"' for ip in hosts)
        serves = '"control", "directory"' if program.role == 'hub' else '"front"'
        text = SETTINGS.format(
            name=program.name,
            serves=serves,
            ip=program.ip,
            zone='a' if program.name in {'m0', 'm2'} else 'b',
            base=FIRST_PORT + 10,
            last=FIRST_PORT + 20,
            seeds=seeds,
            first=str(first).lower(),
            options=OPTIONS if self.has_limits else '',
            limits=self._limits(program) if self.has_limits else '',
            data=program.data or '',
            front=FIRST_PORT + 1,
            ready=FIRST_PORT + 2,
            control=FIRST_PORT + 3,
            directory=FIRST_PORT + 4,
        )
        program.settings.write_text(text)

    def ip_of(self, number: int) -> str:
        """Return the loopback address of a machine."""
        return f'127.{self.network}.0.{number + 1}'

    def front(self, box: Program) -> str:
        """Return the address at which a box accepts requests of callers."""
        return f'{box.ip}:{FIRST_PORT + 1}'

    def metrics(self, hub: Program) -> str:
        """Return the address of a hub's metrics."""
        return f'{hub.ip}:{HUB_METRICS_PORT}'

    def control(self, hub: Program) -> str:
        """Return the address of a hub for operators and upstreams."""
        return self.control_at(hub.ip)

    def control_at(self, ip: str) -> str:
        """Return the address for operators and upstreams of the hub on a machine."""
        return f'{ip}:{FIRST_PORT + 3}'

    def programs(self) -> list[Program]:
        """Return all programs, hubs first."""
        return [*self.hubs, *self.boxes]

    def stop(self) -> None:
        """Kill every program that this run started and release the network."""
        for program in self.programs():
            program.signal(signal.SIGCONT)
            program.signal(signal.SIGKILL)
            program.end(1)
        if self.claim is not None:
            self.claim.close()

    def _limits(self, program: Program) -> str:
        number = int(program.name.removeprefix('m'))
        return LIMITS.format(share=SHARES[number % len(SHARES)])


def claimed_fleet(folder: Path, first: int = 0) -> Fleet:
    """Return a fleet on a network that no other fleet on this host uses.

    Parameters
    ----------
    folder
        Folder for the settings, data and logs of its programs.
    first
        Index into ``NETWORKS``, modulo its length, of the network to try first.

    Raises
    ------
    RuntimeError
        If every network is in use.
    """
    start = first % len(NETWORKS)
    for network in chain(NETWORKS[start:], NETWORKS[:start]):
        claim = socket.socket()
        try:
            claim.bind((f'127.{network}.0.{CLAIM_HOST}', FIRST_PORT))
        except OSError:
            # Another fleet is using it.
            claim.close()
            continue
        return Fleet(folder, network, claim)
    raise RuntimeError(f'all of {len(NETWORKS)} networks are in use')
