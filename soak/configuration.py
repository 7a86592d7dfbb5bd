"""The operator of a run: changes the configuration, and reads it back."""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable

from tornado.httpclient import HTTPRequest

from soak.places import COLD_PER_SECOND
from soak.promises import SUCCESS, History
from standins.platform_site import document

GROUP_RECOVERY_SECONDS = 12.0
"""Time for the group of hubs to take changes again once all hubs are back."""

SERVICES = (
    {
        'name': 'llm',
        'maxConns': 50,
        'engine': {'slots': 8, 'kvCapacity': 100_000},
        'coldS': 1.0,
        'coldPerS': COLD_PER_SECOND,
    },
    {'name': 'app', 'maxConns': 50},
)

Fetch = Callable[[HTTPRequest], Awaitable[tuple[int, str]]]


class Operator:
    """Sends documents to hubs, which ``control`` chooses, and reads them back."""

    def __init__(
        self,
        history: History,
        fetch: Fetch,
        control: Callable[[], str],
        draw: random.Random,
    ) -> None:
        self.history = history
        self.fetch = fetch
        self.control = control
        self.random = draw
        self.version = 1

    async def publish(self) -> bool:
        """Send the current version; tell whether it was acknowledged."""
        url = f'http://{self.control()}/api/config'
        body = json.dumps(document(self.version, services=SERVICES))
        status, _ = await self.fetch(HTTPRequest(url, 'PUT', body=body))
        if status == SUCCESS:
            self.history.accepted = max(self.history.accepted, self.version)
        return status == SUCCESS

    async def read_back(self) -> bool:
        """Read the document; tell whether a hub returned it."""
        accepted = self.history.accepted
        url = f'http://{self.control()}/api/config'
        status, body = await self.fetch(HTTPRequest(url))
        if status == SUCCESS:
            read = int(json.loads(body)['version'])
            self.history.reads.append((accepted, read))
        return status == SUCCESS

    async def keep_changing(self) -> None:
        """Send further versions, and read them back; runs until cancelled."""
        while True:
            self.version += 1
            await self.publish()
            await self.read_back()
            await asyncio.sleep(self.random.uniform(0.1, 0.5))

    async def check(self) -> None:
        """Check that the group takes a change and returns what was accepted."""
        until = time.monotonic() + GROUP_RECOVERY_SECONDS
        self.version += 1
        while time.monotonic() < until:
            if await self.publish() and await self.read_back():
                return
            await asyncio.sleep(0.1)
        self.history.unavailable.append(f'version {self.version} of the configuration')
