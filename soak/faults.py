"""Injects random faults from a seed; faults may overlap."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from hitchdeck_edge.dispatch.response_parser import Framing
from soak.fleet import Fleet, Program
from soak.proxy import LinkState, Proxy
from standins.platform_worker import Worker
from standins.worker_bodies import events
from standins.worker_faults import Fault
from standins.worker_requests import Seen

STOP_GRACE_SECONDS = 3.0
"""Time between SIGTERM and SIGKILL; equal to ``graceS`` in the settings."""

MS = 1000

VERSIONS = ('v1', 'v1', 'v2')
"""Software versions of workers, drawn at each start."""

STREAM_POOL = 'llm'
"""Pool whose workers send streams."""

RETRY_AFTER_VALUES = ('', '', '0.2', '1', 'soon', '-1', '1e-9')
"""Retry-After values, some invalid, of a worker that sheds a request."""

SCRIPTED_STATUSES = ('204 No Content', '302 Found', '404 None', '413 Too Large')
"""What a worker answers that runs nothing and does not say so."""

ENDLESS_STATUSES = ('200 OK', '413 Too Large', '500 Oops')
ENDLESS_PIECE = b'a' * 65_536

Injection = Callable[[], Awaitable[None]]


class Faults:
    """Injects faults into a fleet.

    At most one hub is down at a time: the settings state a fault tolerance of
    one machine.  ``injected`` holds the names of the faults in order.
    """

    def __init__(
        self,
        fleet: Fleet,
        workers: list[Worker],
        proxies: list[Proxy],
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.workers = workers
        self.proxies = proxies
        self.random = random.Random(seed)
        self.hub_down = asyncio.Lock()
        self.injected: list[str] = []
        self.renamed = 0

    async def run(self) -> None:
        """Inject faults at random intervals without waiting for earlier ones."""
        injections = [
            self.kill_box,
            self.stop_box,
            self.freeze_box,
            self.kill_hub,
            self.freeze_hub,
            self.lose_hub_disk,
            self.make_worker_misbehave,
            self.make_worker_misbehave,
            self.make_worker_misbehave,
            self.crash_worker,
            self.crash_worker,
            self.disturb_link,
            self.disturb_link,
            self.reset_link,
        ]
        async with asyncio.TaskGroup() as group:
            group.create_task(self.restart_crashed_regularly())
            while True:
                await asyncio.sleep(self.random.uniform(0.1, 0.6))
                injection = self.random.choice(injections)
                self.injected.append(injection.__name__)
                group.create_task(injection())

    async def clear(self) -> None:
        """Restart what is down and restore all links."""
        for program in self.fleet.programs():
            program.signal(signal.SIGCONT)
            self.fleet.write_settings(program, first=False)
            program.start()
        for proxy in self.proxies:
            await proxy.change(LinkState.whole)
        for worker in self.workers:
            worker.faults_left = 0
        await self.restart_crashed()

    async def kill_box(self) -> None:
        """Kill an entry box and start it again."""
        await self._kill(self.random.choice(self.fleet.boxes))

    async def stop_box(self) -> None:
        """Shut down an entry box gracefully and start it again."""
        box = self.random.choice(self.fleet.boxes)
        box.signal(signal.SIGTERM)
        await asyncio.to_thread(box.end, STOP_GRACE_SECONDS)
        box.start()

    async def freeze_box(self) -> None:
        """Suspend an entry box for up to 2.5 seconds."""
        await self._freeze(self.random.choice(self.fleet.boxes))

    async def kill_hub(self) -> None:
        """Kill a hub and start it again."""
        async with self.hub_down:
            await self._kill(self.random.choice(self.fleet.hubs))

    async def freeze_hub(self) -> None:
        """Suspend a hub for up to 2.5 seconds."""
        async with self.hub_down:
            await self._freeze(self.random.choice(self.fleet.hubs))

    async def lose_hub_disk(self) -> None:
        """Kill a hub, empty its disk, restart it, and let the group repair it."""
        async with self.hub_down:
            hub = self.random.choice(self.fleet.hubs)
            hub.signal(signal.SIGKILL)
            await asyncio.to_thread(hub.end, 1)
            hub.lose_disk()
            self.fleet.write_settings(hub, first=False)
            hub.start()
            # The hub counts as down until its new replica has caught up.
            await asyncio.sleep(4)

    async def make_worker_misbehave(self) -> None:
        """Make a worker misbehave on its next one to five requests."""
        worker = self.random.choice(self.workers)
        fault = self.random.choice(list(Fault))
        worker.pause = self.random.choice(RETRY_AFTER_VALUES)
        answers = ENDLESS_STATUSES if fault is Fault.endless else SCRIPTED_STATUSES
        worker.script = _begun_answer(worker, self.random.choice(answers))
        worker.endless = ENDLESS_PIECE
        if worker.pool == STREAM_POOL:
            worker.framing = self.random.choice(list(Framing))
            # Between two events, the end of a connection may be that of the stream.
            size = len(events('', 1)[0])
            inside = self.random.randrange(1, size)
            worker.cut_bytes = self.random.randrange(worker.events) * size + inside
        worker.misbehave(fault, self.random.randint(1, 5))

    async def crash_worker(self) -> None:
        """Crash a worker; it is restarted later under the same name."""
        worker = self.random.choice(self.workers)
        if not worker.ended:
            await worker.end()

    async def restart_crashed_regularly(self) -> None:
        """Restart crashed workers periodically; runs until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            await self.restart_crashed()

    async def restart_crashed(self) -> None:
        """Restart all crashed workers, under another name at another version.

        Requests are addressed to a name, so that nothing else tells the versions apart
        before the next report.
        """
        for worker in self.workers:
            if worker.ended:
                software = self.random.choice(VERSIONS)
                if software != worker.software:
                    self.renamed += 1
                    worker.name = f'{worker.name.partition("-")[0]}-{self.renamed}'
                worker.software = software
                await worker.restart(int(time.time() * MS))

    async def disturb_link(self) -> None:
        """Delay a link or block one or both of its directions for a while."""
        proxy = self.random.choice(self.proxies)
        kinds = [kind for kind in LinkState if kind is not LinkState.whole]
        proxy.delay = self.random.uniform(0.01, 0.3)
        await proxy.change(self.random.choice(kinds))
        await asyncio.sleep(self.random.uniform(0.2, 2.5))
        await proxy.change(LinkState.whole)

    async def reset_link(self) -> None:
        """Reset every connection of a random link."""
        self.random.choice(self.proxies).reset()

    async def _kill(self, program: Program) -> None:
        program.signal(signal.SIGKILL)
        await asyncio.to_thread(program.end, 1)
        await asyncio.sleep(self.random.uniform(0, 1))
        self.fleet.write_settings(program, first=False)
        program.start()

    async def _freeze(self, program: Program) -> None:
        program.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 2.5))
        program.signal(signal.SIGCONT)


def _begun_answer(worker: Worker, status: str) -> bytes:
    """Return the head of an answer that ends with its connection."""
    head = worker.head(Seen('', {'attempt-id': 'ATTEMPT'}, b''), status, worker.name)
    return f'{head}\r\n'.encode()
