"""Command line of the soak.

``python -m soak --seed 7 --seconds 20`` plays one seed; ``--seeds 50`` plays
so many in a row, from the given one on.  Exit code 1 if a promise was broken.
"""

import asyncio
import json
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from soak.faults import Faults
from soak.fleet import Fleet
from soak.promises import SUCCESS, Answer, History
from soak.proxy import Proxy
from standins.platform_site import HOST, KEY, document
from standins.platform_worker import Worker

START_SECONDS = 20.0
PATHS = ('/s/', '/once/', '/u/', '/g/')
LOST = (HTTPClientError, HTTPStreamClosedError, HTTPTimeoutError, OSError)


class Run:
    """One seed's run."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.random = random.Random(seed)
        self.seed = seed
        self.fleet = Fleet(folder, 10 + seed % 200)
        pools = ('llm', 'llm', 'llm', 'app', 'app')
        self.workers = [Worker(f'w{at}', pool) for at, pool in enumerate(pools)]
        self.proxies: dict[str, Proxy] = {}
        self.history = History()
        self.client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self.asked = 0
        self.version = 1

    async def play(self, seconds: float) -> list[str]:
        """Play the seed; return the broken promises."""
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

    def _through(self, target: str) -> str:
        return self.proxies[target].address

    async def _play(self, seconds: float) -> None:
        reporting = asyncio.create_task(self._report())
        async with asyncio.timeout(START_SECONDS):
            while not await self._publish() or not await self._serves():
                await asyncio.sleep(0.2)
        proxies = list(self.proxies.values())
        faults = Faults(self.fleet, self.workers, proxies, self.seed)
        tasks = [asyncio.create_task(self._call()) for _ in range(8)]
        tasks.append(asyncio.create_task(self._operate()))
        tasks.append(asyncio.create_task(faults.run()))
        await asyncio.sleep(seconds)
        tasks.append(reporting)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _report(self) -> None:
        while True:
            for worker in self.workers:
                worker.sequence += 1
                body = json.dumps(worker.report(worker.sequence))
                hub = self.random.choice(self.fleet.hubs)
                control = self._through(self.fleet.control(hub))
                url = f'http://{control}/api/instances/{worker.name}'
                await self._fetch(HTTPRequest(url, 'PUT', body=body))
            await asyncio.sleep(0.4)

    async def _call(self) -> None:
        while True:
            self.asked += 1
            await self._ask(f'a{self.asked}', self.random.choice(PATHS))
            await asyncio.sleep(self.random.uniform(0, 0.05))

    async def _ask(self, attempt: str, path: str) -> Answer:
        self.history.asked.add(attempt)
        headers = {'Host': HOST, 'Attempt-Id': attempt, 'Deadline-Ms': '2000'}
        headers['Authorization'] = f'Token {KEY}'
        if path in {'/s/', '/once/'}:
            prompt = f'x:100,{attempt}:100'
            model = {'Model': 'm', 'Token-Count': '200,20', 'Prompt-Prefix': prompt}
            headers.update(model)
        box = self.random.choice(self.fleet.boxes)
        url = f'http://{self._through(self.fleet.front(box))}{path}'
        status, body = await self._fetch(
            HTTPRequest(url, 'POST', headers=headers, body='b', request_timeout=5),
        )
        answer = Answer(attempt, path, status, bool(status), body)
        self.history.answers.append(answer)
        return answer

    async def _serves(self) -> bool:
        self.asked += 1
        return (await self._ask(f'a{self.asked}', '/s/')).status == SUCCESS

    async def _publish(self) -> bool:
        hub = self.random.choice(self.fleet.hubs)
        url = f'http://{self._through(self.fleet.control(hub))}/api/config'
        body = json.dumps(document(self.version))
        status, _ = await self._fetch(HTTPRequest(url, 'PUT', body=body))
        if status == SUCCESS:
            self.history.accepted = max(self.history.accepted, self.version)
        return status == SUCCESS

    async def _operate(self) -> None:
        while True:
            self.version += 1
            await self._publish()
            accepted = self.history.accepted
            hub = self.random.choice(self.fleet.hubs)
            url = f'http://{self._through(self.fleet.control(hub))}/api/config'
            status, body = await self._fetch(HTTPRequest(url))
            if status == SUCCESS:
                read = int(json.loads(body)['version'])
                self.history.reads.append((accepted, read))
            await asyncio.sleep(self.random.uniform(0.1, 0.5))

    async def _fetch(self, request: HTTPRequest) -> tuple[int, str]:
        """Return status and body, or 0 where no whole answer came."""
        request.connect_timeout = 1
        try:
            reply = await self.client.fetch(request, raise_error=False)
        except LOST:
            # A lost answer is part of the history: nothing is known of it.
            return 0, ''
        return reply.code, reply.body.decode() if reply.body else ''


def main(seed: int = 1, seeds: int = 1, seconds: float = 15, keep: str = '') -> None:
    """Play seeds and print what each came to.

    Parameters
    ----------
    seed, seeds
        First seed, and how many.
    seconds
        Length of each run under faults.
    keep
        Folder that keeps the processes' logs; a passing folder if not given.
    """
    failed = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as passing:
            folder = Path(keep or passing) / str(number)
            folder.mkdir(parents=True)
            run = Run(folder, number)
            broken = asyncio.run(run.play(seconds))
        served = sum(one.status == SUCCESS for one in run.history.answers)
        told = f'{len(run.history.answers)} asked, {served} served'
        sys.stdout.write(f'seed {number}: {told}, {len(broken)} broken\n')
        sys.stdout.writelines(f'  {line}\n' for line in broken[:10])
        failed += bool(broken)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main, name='soak')
