"""Workers and clients of a plain service, as the users' pages describe them."""

import json
import random
import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from socketserver import TCPServer

from machines import Fleet, Machine, Record, call

BEAT_S = 1.2
SERVICE = 'turni-app'
HOST = 'turni.example'
WORK_S = 0.015


@dataclass(slots=True)
class Arrival:
    """A request that reached a worker."""

    at: float
    attempt: str
    sender: str


class Handler(BaseHTTPRequestHandler):
    """Answers the requests of one connection, one after the other."""

    protocol_version = 'HTTP/1.1'
    worker: 'Worker'

    def do_GET(self) -> None:
        """Run a request, or answer a health probe."""
        length = int(self.headers.get('Content-Length', 0))
        if length:
            self.rfile.read(length)
        if self.path == '/healthz':
            self._answer(503 if self.worker.leaving else 200, b'', seal=False)
            return
        attempt = self.headers.get('Attempt-Id', '')
        if self.headers.get('Expect-Instance') != self.worker.name:
            self._answer(421, b'', seal=False)
            return
        sender = self.client_address[0]
        self.worker.arrivals.append(Arrival(time.monotonic(), attempt, sender))
        time.sleep(WORK_S)
        self._answer(200, json.dumps({'by': self.worker.name}).encode(), seal=True)

    do_POST = do_GET

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing: the worker keeps its own record."""

    def _answer(self, status: int, body: bytes, *, seal: bool) -> None:
        self.send_response_only(status)
        if 'Attempt-Id' in self.headers:
            self.send_header('Attempt-Id', self.headers['Attempt-Id'])
        if seal:
            self.send_header('Server-Seal', self.worker.name)
        self.send_header('Instance-Id', self.worker.name)
        self.send_header('Content-Length', str(len(body)))
        if self.worker.leaving:
            self.send_header('Connection', 'close')
            self.close_connection = True
        self.end_headers()
        self.wfile.write(body)


class Server(ThreadingHTTPServer):
    """Listens on a free loopback port."""

    daemon_threads = True
    request_queue_size = 128

    def server_bind(self) -> None:
        """Bind without the look-up of a host name that ``HTTPServer`` makes."""
        TCPServer.server_bind(self)
        host, port = self.server_address[:2]
        self.server_name, self.server_port = str(host), int(port)


@dataclass(slots=True)
class Worker:
    """A worker that reports itself, and may leave by a departure alone."""

    fleet: Fleet
    record: Record
    hubs: list[Machine]
    zone: str
    number: int
    name: str = field(default_factory=lambda: f'i-{uuid.uuid4().hex[:8]}')
    leaving: bool = False
    sequence: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    server: Server | None = None
    stopped: threading.Event = field(default_factory=threading.Event)

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        assert self.server is not None
        host, port = self.server.server_address[:2]
        return f'{host!s}:{port}'

    def start(self) -> None:
        """Listen, and report once every ``heartbeatMs``."""
        handler = type('WorkerHandler', (Handler,), {'worker': self})
        ip = f'127.{self.fleet.network}.1.{self.number}'
        self.server = Server((ip, 0), handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._report, daemon=True).start()
        self.record.add(f'worker {self.name} listens at {self.address}')

    def leave(self, hub: Machine) -> int:
        """Send a departure to a hub; return the status of the answer."""
        self.stopped.set()
        self.leaving = True
        address = self.fleet.control(hub)
        status, _ = call('DELETE', address, f'/api/instances/{self.name}')
        return status

    def end(self) -> None:
        """Close the port."""
        assert self.server is not None
        self.server.shutdown()
        self.server.server_close()

    def _report(self) -> None:
        while not self.stopped.is_set():
            self.sequence += 1
            body = json.dumps(
                {
                    'service': SERVICE,
                    'address': self.address,
                    'zone': self.zone,
                    'version': 'v1',
                    'slots': 6,
                    'state': 'ready',
                    'coldLeftMs': 0,
                    'sequence': self.sequence,
                }
            ).encode()
            for hub in random.sample(self.hubs, len(self.hubs)):
                if self._taken(hub, body):
                    break
            self.stopped.wait(BEAT_S)

    def _taken(self, hub: Machine, body: bytes) -> bool:
        headers = {'Content-Type': 'application/json'}
        path = f'/api/instances/{self.name}'
        try:
            status, _ = call('PUT', self.fleet.control(hub), path, body, headers)
        except OSError:
            return False
        return status == 200


class Clients:
    """Clients that send idempotent requests to some entry boxes, at a steady rate."""

    def __init__(
        self, fleet: Fleet, boxes: list[Machine], per_s: float, path: str
    ) -> None:
        self.fleet = fleet
        self.boxes = boxes
        self.per_s = per_s
        self.path = path
        self.stopped = threading.Event()
        self.statuses: dict[str, int] = {}
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Send requests until stopped, at most for two minutes."""
        for box in self.boxes:
            thread = threading.Thread(target=self._send_all, args=(box,), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """Stop, and wait for the last answers."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(5)

    def _send_all(self, box: Machine) -> None:
        until = time.monotonic() + 120
        while not self.stopped.is_set() and time.monotonic() < until:
            key = f'{box.name}: {self._send(box)}'
            self.statuses[key] = self.statuses.get(key, 0) + 1
            self.stopped.wait(1 / self.per_s)

    def _send(self, box: Machine) -> int:
        headers = {
            'Host': HOST,
            'Attempt-Id': uuid.uuid4().hex[:16],
            'Deadline-Ms': '1500',
        }
        address = self.fleet.front(box)
        try:
            status, _ = call('GET', address, self.path, None, headers, timeout=2.0)
        except OSError:
            return 0
        return status


def wait_until(met: Callable[[], bool], seconds: float) -> bool:
    """Wait until a condition is met; return whether it was in time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if met():
            return True
        time.sleep(0.05)
    return False
