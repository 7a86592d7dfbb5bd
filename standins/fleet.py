"""Runs a fleet of real processes on loopback, and injects process failures."""

import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from hitchdeck_core.hashing import token_hash
from standins.ports import free_ports

FLEET_TOKEN = 'fleet-token-of-the-test'
OPERATOR_TOKEN = 'operator-token-of-the-test'

_ROOT = Path(__file__).parent.parent
_BINARIES = Path(sys.executable).parent
_START_SECONDS = 20.0
_STOP_SECONDS = 30.0
_POLL_SECONDS = 0.05
_DOMAIN_COUNT = 3


class StartError(Exception):
    """Raised when a process fails to start; the message ends with its log."""


@dataclass
class Member:
    """One process of the fleet."""

    name: str
    command: list[str]
    log: Path
    port: int
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and wait until its port accepts connections."""
        self.launch()
        self.wait_until_up()

    def launch(self) -> None:
        """Start the process without waiting for its port."""
        path = f'{_ROOT}:{os.environ.get("PYTHONPATH", "")}'
        environment = {**os.environ, 'PYTHONPATH': path}
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                self.command,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=_ROOT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, by its process ID."""
        assert self.process is not None
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process without a shutdown, as a power failure would."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def stop(self) -> int:
        """Shut down the process gracefully, and return its exit code."""
        self.request_stop()
        return self.wait_until_stopped()

    def request_stop(self) -> None:
        """Send SIGTERM, after SIGCONT in case the process is suspended."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)

    def wait_until_stopped(self) -> int:
        """Return the exit code, killing the process if it exceeds the time limit."""
        assert self.process is not None
        try:
            return self.process.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def wait_until_up(self) -> None:
        """Wait until the process accepts connections on its port.

        Raises
        ------
        StartError
            If the process exits, or does not listen within the time limit.
        """
        deadline = time.monotonic() + _START_SECONDS
        while time.monotonic() < deadline:
            if not self.is_running():
                break
            try:
                socket.create_connection(('127.0.0.1', self.port), 1).close()
            except OSError:
                time.sleep(_POLL_SECONDS)
            else:
                return
        raise StartError(f'{self.name} did not start: {self.log.read_text()[-2000:]}')


@dataclass
class Fleet:
    """A fleet whose settings, logs and data are in one folder."""

    folder: Path
    controls: list[Member] = field(default_factory=list)
    routers: list[Member] = field(default_factory=list)
    engines: list[Member] = field(default_factory=list)
    services: list[Member] = field(default_factory=list)

    @property
    def members(self) -> list[Member]:
        """All processes of the fleet."""
        return [*self.engines, *self.services, *self.controls, *self.routers]

    @property
    def control_addresses(self) -> str:
        """Addresses of the control boxes, comma-separated for the command line."""
        return ','.join(f'127.0.0.1:{one.port}' for one in self.controls)

    def hitchdeck(
        self,
        *arguments: str,
        check: bool = True,
    ) -> subprocess.CompletedProcess[str]:
        """Run the operator command line with the fleet's control addresses."""
        environment = {
            **os.environ,
            'HITCHDECK_CONTROL': self.control_addresses,
            'HITCHDECK_TOKEN': OPERATOR_TOKEN,
        }
        return subprocess.run(
            [str(_BINARIES / 'hitchdeck'), *arguments],
            check=check,
            capture_output=True,
            text=True,
            env=environment,
        )

    def start(self) -> None:
        """Start all processes and initialize the control group."""
        for member in self.members:
            member.launch()
        for member in self.members:
            member.wait_until_up()
        self.hitchdeck('control', 'init')

    def stop(self) -> dict[str, int]:
        """Shut down all processes, routers first; return exit codes by name."""
        exit_codes = {}
        for group in (self.routers, self.controls, self.services, self.engines):
            running = [one for one in group if one.is_running()]
            for member in running:
                member.request_stop()
            for member in running:
                exit_codes[member.name] = member.wait_until_stopped()
        return exit_codes

    def lose_disk(self, control: Member) -> None:
        """Delete the data folder of a control box, to simulate a lost disk."""
        shutil.rmtree(self.folder / control.name)


@dataclass(frozen=True)
class FleetSize:
    """Number of processes of each kind, and their settings.

    ``slots`` is the number of concurrent requests of an engine, and ``gap`` its
    time between two tokens, in seconds.
    """

    controls: int = 3
    routers: int = 4
    engines: int = 2
    services: int = 1
    slots: int = 4
    gap: float = 0.01
    address_ttl: float = 1.0
    ledger_retention: float = 86_400.0
    snapshot_every: int = 2000
    router_command: tuple[str, ...] = ()


def make_fleet(folder: Path, size: FleetSize) -> Fleet:
    """Write the settings of a fleet without starting any process."""
    folder.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(folder)
    ports = iter(
        free_ports(size.controls + 2 * size.routers + size.engines + size.services),
    )
    for number in range(size.engines):
        fleet.engines.append(_engine(folder, f'engine-{number}', next(ports), size))
    for number in range(size.services):
        fleet.services.append(_service(folder, f'service-{number}', next(ports)))
    for number in range(size.controls):
        member = _control(folder, f'control-{number}', next(ports), size)
        fleet.controls.append(member)
    for number in range(size.routers):
        member = _router(fleet, number, next(ports), next(ports), size)
        fleet.routers.append(member)
    return fleet


@contextmanager
def running_fleet(folder: Path, size: FleetSize) -> Iterator[Fleet]:
    """Run a fleet within a ``with`` block; kill its processes at exit."""
    fleet = make_fleet(folder, size)
    try:
        fleet.start()
        yield fleet
    finally:
        for member in fleet.members:
            member.kill()


def _engine(folder: Path, name: str, port: int, size: FleetSize) -> Member:
    return _python_member(
        folder,
        name,
        port,
        'standins.engine',
        f'--name={name}',
        f'--slots={size.slots}',
        f'--gap={size.gap}',
    )


def _service(folder: Path, name: str, port: int) -> Member:
    return _python_member(folder, name, port, 'standins.service')


def _python_member(
    folder: Path,
    name: str,
    port: int,
    module: str,
    *flags: str,
) -> Member:
    record = folder / f'{name}.records'
    command = [sys.executable, '-m', module, f'--port={port}', f'--log={record}']
    return Member(name, [*command, *flags], folder / f'{name}.log', port)


def _control(folder: Path, name: str, port: int, size: FleetSize) -> Member:
    settings = folder / f'{name}.toml'
    settings.write_text(
        f"""
box = "{name}"
domain = "domain-{name[-1]}"
fleet_token = "{FLEET_TOKEN}"
roles = ["control"]

[control]
listen = "127.0.0.1:{port}"
data_folder = "{folder / name}"
ledger_retention = {size.ledger_retention}
snapshot_every = {size.snapshot_every}
operator_key_hashes = ["{token_hash(OPERATOR_TOKEN)}"]
""",
    )
    return _daemon(folder, name, port, settings)


def _router(
    fleet: Fleet,
    number: int,
    port: int,
    wire_port: int,
    size: FleetSize,
) -> Member:
    name = f'router-{number}'
    settings = fleet.folder / f'{name}.toml'
    controls = [f'127.0.0.1:{one.port}' for one in fleet.controls]
    settings.write_text(
        f"""
box = "{name}"
domain = "domain-{number % _DOMAIN_COUNT}"
fleet_token = "{FLEET_TOKEN}"
roles = ["router"]

[router]
listen = "127.0.0.1:{port}"
wire_listen = "127.0.0.1:{wire_port}"
control = {controls}
address_ttl = {size.address_ttl}
stop_grace = 20
""",
    )
    daemon = _daemon(fleet.folder, name, port, settings)
    if size.router_command:
        daemon.command = [*size.router_command, f'--settings={settings}']
    return daemon


def _daemon(folder: Path, name: str, port: int, settings: Path) -> Member:
    command = [str(_BINARIES / 'hitchdeckd'), f'--settings={settings}']
    return Member(name, command, folder / f'{name}.log', port)
