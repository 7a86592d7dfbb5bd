"""Command line of the soak test.

``python -m soak --seed 7 --seconds 20`` runs one seed; ``--seeds 50`` runs 50
consecutive seeds from the given one.  Exit code 1 if a guarantee was violated.
"""

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from soak.callers import Request, resumption, send
from soak.configuration import Operator
from soak.faults import MS, VERSIONS, Faults
from soak.fleet import Program, claimed_fleet
from soak.lethal import LETHAL, LETHAL_PART, LethalCallers
from soak.places import DomainOrders
from soak.promises import SUCCESS, Answer, History
from soak.proxy import Proxy
from soak.replacements import HubReplacements
from standins.platform_worker import Worker
from standins.worker_faults import Fault

START_SECONDS = 20.0
CALLERS = 8
PATHS = ('/s/', '/once/', '/u/', '/g/')
LONG_RETRY_AFTER = '60'
"""Retry-After of a worker, in seconds; exceeds the rest of the run."""

UNLIMITED_REQUESTS = 10_000
ROUNDS = 3
RECOVERY_SECONDS = 4.0
"""Time for all processes to reconnect and synchronize their state."""

FOREIGN_REPORTS = (
    '',
    '[',
    '[' * 10_000,
    'null',
    '[1]',
    '{}',
    '{"service": "llm"}',
    '{"service": 7, "address": "127.0.0.1:1", "state": "ready", "sequence": 1}',
    '{"service": "llm", "address": "nowhere", "state": "ready", "sequence": 1}',
    '{"service": "llm", "address": "127.0.0.1:1", "state": "odd", "sequence": 9e9}',
    '{"service": "llm", "address": "127.0.0.1:1", "state": "ready", "sequence": "1"}',
    '{"service": "llm", "address": "127.0.0.1:1", "state": "ready",'
    ' "sequence": 99999, "born": "1700000000000"}',
    '{"service": "llm", "address": "127.0.0.1:1", "state": "ready",'
    ' "sequence": 99999, "born": null}',
)
"""Report bodies that another writer sends under the name of an upstream."""

TRANSPORT_ERRORS = (HTTPClientError, HTTPStreamClosedError, HTTPTimeoutError, OSError)


class Run:
    """Run of one seed: fleet, workers, proxies and the history of what was seen."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.random = random.Random(seed)
        self.seed = seed
        self.fleet = claimed_fleet(folder, seed)
        # One seed in three runs the parts that limits of processes call for.
        self.fleet.has_limits = seed % 3 == 1
        pools = ('llm', 'llm', 'llm', 'app', 'app')
        self.workers = [
            Worker(f'w{at}', pool, domain='ab'[at % 2]) for at, pool in enumerate(pools)
        ]
        self.proxies: dict[str, Proxy] = {}
        self.history = History()
        self.client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self.domain_orders = DomainOrders(
            self.workers, self.history, self._fetch, self._control
        )
        self.lethal = LethalCallers(self.workers, self.history, self._send, self.random)
        self.asked = 0
        self.operator = Operator(self.history, self._fetch, self._control, self.random)

    async def play(self, seconds: float) -> list[str]:
        """Run the seed; return a line for each violated guarantee.

        ``seconds`` is the time under faults.
        """
        try:
            await self._start()
            await self._play(seconds)
        finally:
            await self._stop()
        ran = Counter(one for worker in self.workers for one in worker.ran)
        return self.history.broken(ran)

    async def _start(self) -> None:
        for number in range(3):
            self.fleet.add(number, 'hub')
            self.fleet.add(number, 'box')
        for worker in self.workers:
            worker.lethal = LETHAL.encode()
            worker.lethal_part = LETHAL_PART
            worker.software = self.random.choice(VERSIONS)
            worker.born = int(time.time() * MS)
            await worker.start()
            worker.address = await self._proxy(worker.address)
        for box in self.fleet.boxes:
            await self._proxy(self.fleet.front(box))
        for hub in self.fleet.hubs:
            await self._proxy(self.fleet.control(hub))

    async def _stop(self) -> None:
        self.fleet.stop()
        for proxy in self.proxies.values():
            await proxy.stop()
        for worker in self.workers:
            if worker.server is not None:
                await worker.stop()

    async def _proxy(self, target: str) -> str:
        proxy = Proxy(target)
        await proxy.start()
        self.proxies[target] = proxy
        return proxy.address

    async def _play(self, seconds: float) -> None:
        reporting = asyncio.create_task(self._report())
        async with asyncio.timeout(START_SECONDS):
            while not await self.operator.publish() or not await self._ask_once():
                await asyncio.sleep(0.2)
        proxies = list(self.proxies.values())
        faults = Faults(self.fleet, self.workers, proxies, self.seed)
        await self._run_under(faults, seconds)
        await self._check_after_recovery(faults)
        await _cancel([reporting])

    async def _run_under(self, faults: Faults, seconds: float) -> None:
        """Run callers, operators and foreign writers concurrently with faults."""
        coroutines = [self._call() for _ in range(CALLERS)]
        coroutines += [
            self.operator.keep_changing(),
            self._send_foreign_reports(),
            self.lethal.repeat(),
            faults.run(),
            HubReplacements(faults, self._proxy, self.seed).run(),
        ]
        coroutines.append(self.domain_orders.operate(self.random))
        tasks = [asyncio.create_task(work) for work in coroutines]
        await asyncio.sleep(seconds)
        await _cancel(tasks)

    async def _check_after_recovery(self, faults: Faults) -> None:
        """Clear all faults, check orders, then send lethal requests to each box."""
        await self._wait_for_recovery(faults)
        await self.operator.check()
        await self.domain_orders.check(self._ask_each, self._restart_all)
        await self.lethal.check(faults, self.fleet.boxes)
        await self._check_refusing_workers()

    async def _wait_for_recovery(self, faults: Faults) -> None:
        await faults.clear()
        await asyncio.sleep(RECOVERY_SECONDS)

    async def _restart_all(self) -> None:
        for program in self.fleet.programs():
            program.signal(signal.SIGKILL)
        for program in self.fleet.programs():
            program.end(1)
            self.fleet.write_settings(program, first=False)
            program.start()
        await asyncio.sleep(RECOVERY_SECONDS)

    async def _ask_each(self) -> None:
        for box in self.fleet.boxes * ROUNDS:
            for path in PATHS:
                await self._ask(self._next('a'), path, box=box)

    async def _check_refusing_workers(self) -> None:
        """Check requests to draining workers, then to workers that send Retry-After."""
        leavers = [self.workers[0], self.workers[-1]]
        for leaver in leavers:
            leaver.leaving = True
        await self._count_sent(leavers)
        for worker in self.workers:
            worker.pause = LONG_RETRY_AFTER
            worker.misbehave(Fault.shed, UNLIMITED_REQUESTS)
        await self._count_sent(self.workers)

    async def _count_sent(self, refusing: list[Worker]) -> None:
        before = [_count_addressed(worker) for worker in refusing]
        await self._ask_each()
        most = len(self.fleet.boxes)
        for worker, known in zip(refusing, before, strict=True):
            self.history.request_limits.append(
                (worker.name, _count_addressed(worker) - known, most)
            )

    def _next(self, kind: str) -> str:
        self.asked += 1
        return f'{kind}{self.asked}'

    async def _report(self) -> None:
        while True:
            for worker in self.workers:
                if worker.ended:
                    continue
                worker.sequence += 1
                body = json.dumps(worker.report(worker.sequence))
                hub = self.random.choice(self.fleet.hubs)
                control = self.proxies[self.fleet.control(hub)].address
                url = f'http://{control}/api/instances/{worker.name}'
                await self._fetch(HTTPRequest(url, 'PUT', body=body))
            await asyncio.sleep(0.4)

    async def _ask_once(self) -> bool:
        answer = await self._ask(self._next('a'), self.random.choice(PATHS))
        attempt = self._next('resumed')
        request = resumption(answer, attempt)
        if request is not None:
            self.history.asked.add(attempt)
            box = self.random.choice(self.fleet.boxes)
            rest = await send(self._fetch, self._front(box), request)
            self.history.add_resumed(answer, rest)
        return answer.status == SUCCESS

    async def _call(self) -> None:
        while True:
            await self._ask_once()
            await asyncio.sleep(self.random.uniform(0, 0.05))

    async def _send_foreign_reports(self) -> None:
        """Send hubs reports that no upstream sends."""
        while True:
            body = self.random.choice(FOREIGN_REPORTS)
            url = f'http://{self._control()}/api/instances/w0'
            status, _ = await self._fetch(HTTPRequest(url, 'PUT', body=body))
            self.history.foreign.append((body, status))
            await asyncio.sleep(self.random.uniform(0.05, 0.4))

    async def _ask(
        self,
        attempt: str,
        path: str,
        box: Program | None = None,
    ) -> Answer:
        return await self._send(Request(attempt, path, 'b'), box)

    async def _send(self, request: Request, box: Program | None = None) -> Answer:
        self.history.asked.add(request.attempt)
        address = self._front(box or self.random.choice(self.fleet.boxes))
        answer = await send(self._fetch, address, request)
        self.history.answers.append(answer)
        return answer

    def _front(self, box: Program) -> str:
        return self.proxies[self.fleet.front(box)].address

    def _control(self) -> str:
        """Return the control address of a random hub."""
        hub = self.random.choice(self.fleet.hubs)
        return self.proxies[self.fleet.control(hub)].address

    async def _fetch(self, request: HTTPRequest) -> tuple[int, str]:
        """Return status and body; status 0 if no complete response arrived."""
        request.connect_timeout = 1
        try:
            reply = await self.client.fetch(request, raise_error=False)
        except TRANSPORT_ERRORS:
            # The outcome of a request without a response is unknown; the history
            # records it with status 0.
            return 0, ''
        return reply.code, reply.body.decode() if reply.body else ''


def _count_addressed(worker: Worker) -> int:
    """Return how many requests to this incarnation a worker got.

    It rejects those to earlier ones with 421.
    """
    named = [one.headers.get('expect-instance') for one in worker.seen]
    return named.count(worker.name)


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main(seed: int = 1, seeds: int = 1, seconds: float = 15, keep: str = '') -> None:
    """Run seeds and print a summary of each.

    Parameters
    ----------
    seed, seeds
        First seed, and number of consecutive seeds.
    seconds
        Time under faults of each run.
    keep
        Folder for the processes' files; a temporary one is used if empty.
    """
    failed = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(keep or temporary) / str(number)
            folder.mkdir(parents=True)
            run = Run(folder, number)
            broken = asyncio.run(run.play(seconds))
        served = sum(one.status == SUCCESS for one in run.history.answers)
        history = run.history
        lethal = [
            f'{one.before} + {one.after} {one.kind}' for one in history.lethal_runs
        ]
        summary = ', '.join([f'{len(history.answers)} asked, {served} served', *lethal])
        sys.stdout.write(f'seed {number}: {summary}, {len(broken)} broken\n')
        sys.stdout.writelines(f'  {line}\n' for line in broken[:10])
        failed += bool(broken)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main, name='soak')
