"""A small deployment of hubs, boxes and workers on loopback, in one event loop.

Hubs and boxes run the production code.  Only the surrounding platform is
simulated: its operator, its callers and its workers.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer

from hitchdeck_edge.hub.process import Hub, start_hub
from hitchdeck_edge.process import EntryBox, start_entry
from hitchdeck_edge.settings import EntrySettings, HubSettings
from hitchdeck_platform.documents import read_document
from hitchdeck_platform.hub_api import start_servers
from hitchdeck_platform.requests import DIALECT
from standins.platform_worker import Worker
from standins.ports import free_address
from standins.worker_bodies import SOFTWARE

HOST = 'site.example'
KEY = 'key-of-ann'
WAIT_SECONDS = 15.0
POLL_SECONDS = 0.03
REPORT_SECONDS = 1.0
SERVICE_UNAVAILABLE = 503


def document(version: int, **changes: object) -> dict[str, object]:
    """Return the configuration document that the operator of this site publishes."""
    return {
        'version': version,
        'routes': [
            route('stream', '/s/', 'stream', resumable=True, service='llm'),
            route('once', '/once/', 'stream', resumable=False, service='llm'),
            route('unsafe', '/u/', 'non_idempotent', service='app'),
            route('safe', '/g/', 'idempotent', service='app'),
            route('open', '/o/', 'idempotent', service='app', noAuth=True),
        ],
        'services': [
            {
                'name': 'llm',
                'maxConns': 50,
                'engine': {'slots': 8, 'kvCapacity': 100_000},
            },
            {'name': 'app', 'maxConns': 50},
        ],
        'limits': {'tokensPerS': 100_000},
        'tenants': [{'name': 'ann', 'apiKeys': [KEY]}],
        **changes,
    }


def route(name: str, prefix: str, kind: str, **more: object) -> dict[str, object]:
    """Return one route of a configuration document."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'routeType': kind,
        'timeoutMs': 3000,
        'goalMs': 600,
        'priority': 1,
        'maxAttempts': 2,
        'noAuth': False,
        **more,
    }


def generation(attempt: str, key: str, parts: str, tokens: str, body: int) -> bytes:
    """Return a caller's generation request as bytes on the wire.

    Parameters
    ----------
    attempt
        ID that the caller gives the request.
    key
        API key of the client account.
    parts
        Value of ``Prompt-Prefix``: the parts of the prompt.
    tokens
        Value of ``Token-Count``: tokens of the prompt and the maximum to generate.
    body
        Length of the body, in bytes.
    """
    lines = (
        'POST /s/ HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {attempt}',
        f'Authorization: Token {key}',
        'Deadline-Ms: 3000',
        'Model: m',
        f'Token-Count: {tokens}',
        f'Prompt-Prefix: {parts}',
        f'Content-Length: {body}',
        '\r\n',
    )
    return '\r\n'.join(lines).encode() + bytes(body)


@dataclass(slots=True)
class Site:
    """A running simulated deployment."""

    folder: Path
    areas: dict[str, str] = field(default_factory=dict)
    shares_services: bool = False
    hubs: list[Hub] = field(default_factory=list)
    servers: dict[str, list[HTTPServer]] = field(default_factory=dict)
    boxes: list[EntryBox] = field(default_factory=list)
    workers: list[Worker] = field(default_factory=list)
    client: AsyncHTTPClient = field(
        default_factory=lambda: AsyncHTTPClient(force_instance=True, max_clients=100),
    )

    async def start_hubs(self, count: int, disks_lost: int) -> None:
        """Start hubs with the same seeds, each with its own data folder."""
        addresses = [free_address() for _ in range(count)]
        for number, address in enumerate(addresses):
            settings = HubSettings(
                box=f'hub-{number}',
                domain='a',
                seeds=tuple(addresses[:3]),
                listen=address,
                control_listen=free_address(),
                directory_listen=free_address(),
                data_folder=self.folder / f'hub-{number}',
                may_found=True,
                disks_lost=disks_lost,
                areas=self.areas,
                share_service_health=self.shares_services,
            )
            await self.start_hub(settings)

    async def start_hub(self, settings: HubSettings) -> Hub:
        """Start one hub and its HTTP servers."""
        hub = await start_hub(settings, read_document)
        self.hubs.append(hub)
        self.servers[settings.box] = start_servers(hub)
        return hub

    async def kill_hub(self, hub: Hub) -> None:
        """Stop a hub without notifying any other process."""
        self.hubs.remove(hub)
        for server in self.servers.pop(hub.settings.box):
            server.stop()
        await hub.stop()

    async def start_box(self, number: int) -> EntryBox:
        """Start an entry box that uses the first three hubs as seeds."""
        settings = EntrySettings(
            box=f'box-{number}',
            domain='a',
            seeds=tuple(hub.settings.listen for hub in self.hubs[:3]),
            listen=free_address(),
            ready_listen=free_address(),
            relief_listen=free_address(),
            stop_grace=2,
            areas=self.areas,
            share_service_health=self.shares_services,
        )
        box = await start_entry(settings, DIALECT)
        self.boxes.append(box)
        return box

    async def start_worker(
        self,
        name: str,
        pool: str,
        domain: str = 'a',
        born: int = 0,
        cold_left_ms: float = 0,
        *,
        software: str = SOFTWARE,
    ) -> Worker:
        """Start a worker and report it to the first hub."""
        worker = Worker(
            name,
            pool,
            domain=domain,
            born=born,
            cold_left_ms=cold_left_ms,
            software=software,
        )
        await worker.start()
        self.workers.append(worker)
        await self.tell(worker, 1)
        return worker

    async def tell(
        self,
        worker: Worker,
        sequence: int,
        state: str = 'ready',
        hub: int = 0,
    ) -> HTTPResponse:
        """Report a worker to a hub.

        A sequence higher than the last one is stored with its state, and later
        periodic reports continue from it.
        """
        if sequence > worker.sequence:
            worker.sequence = sequence
            worker.state = state
        control = self.hubs[hub].settings.control_listen
        body = json.dumps(worker.report(sequence, state))
        return await self.call('PUT', control, f'/api/instances/{worker.name}', body)

    async def report_periodically(self) -> None:
        """Report every running worker periodically, as the platform's workers do.

        A worker that reports only once counts as silent after some seconds; of
        two workers, a box then prefers the one that reported last.
        """
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            for worker in self.workers:
                if not worker.ended:
                    await self.tell(worker, worker.sequence + 1, worker.state)

    async def publish(self, given: object, hub: int = 0) -> HTTPResponse:
        """Publish a configuration document at a hub."""
        control = self.hubs[hub].settings.control_listen
        text = given if isinstance(given, str) else json.dumps(given)
        return await self.call('PUT', control, '/api/config', text)

    async def evacuate(
        self,
        domain: str,
        hub: int = 0,
        *,
        active: bool = True,
        body: str | None = None,
    ) -> HTTPResponse:
        """Start or end the evacuation of a failure domain, by a request to a hub."""
        control = self.hubs[hub].settings.control_listen
        method = 'POST' if active else 'DELETE'
        return await self.call(method, control, f'/api/evacuations/{domain}', body)

    async def read(self, hub: int = 0) -> HTTPResponse:
        """Request the newest document from a hub."""
        control = self.hubs[hub].settings.control_listen
        return await self.call('GET', control, '/api/config')

    async def read_surely(self, hub: int = 0) -> object:
        """Return the newest document, retrying while the hub answers 503."""
        reply = await self.read(hub)
        async with asyncio.timeout(WAIT_SECONDS):
            while reply.code == SERVICE_UNAVAILABLE:
                await asyncio.sleep(POLL_SECONDS)
                reply = await self.read(hub)
        return json.loads(reply.body)

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        body: str | None = None,
        **headers: str,
    ) -> HTTPResponse:
        """Send one HTTP request; underscores in header names become hyphens."""
        request = HTTPRequest(
            f'http://{address}{path}',
            method,
            headers={name.replace('_', '-'): text for name, text in headers.items()},
            body=body,
            request_timeout=10,
            allow_nonstandard_methods=True,
        )
        return await self.client.fetch(request, raise_error=False)

    async def ask(self, path: str, attempt: str, **more: str) -> HTTPResponse:
        """Send a caller's request to the first box; ``more`` overrides its headers."""
        headers = {
            'Host': HOST,
            'Attempt_Id': attempt,
            'Deadline_Ms': '3000',
            'Authorization': f'Token {KEY}',
            **more,
        }
        address = self.boxes[0].settings.listen
        return await self.call('POST', address, path, 'body', **headers)

    async def ask_model(self, path: str, attempt: str, **more: str) -> HTTPResponse:
        """Send a caller's generation request to the first box."""
        prompt = {
            'Model': 'm',
            'Token_Count': '300,40',
            'Prompt_Prefix': 'aa:100,bb:100,cc:100',
        }
        return await self.ask(path, attempt, **{**prompt, **more})

    async def settle(self, version: int = 1) -> None:
        """Wait until every box has the document version and knows all live workers."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not all(self._is_settled(box, version) for box in self.boxes):
                await asyncio.sleep(POLL_SECONDS)

    async def stop(self) -> None:
        """Stop all boxes, hubs and workers."""
        for box in self.boxes:
            await box.stop()
        for hub in list(self.hubs):
            await self.kill_hub(hub)
        for worker in self.workers:
            await worker.stop()
        self.client.close()

    def _is_settled(self, box: EntryBox, version: int) -> bool:
        known = box.link.known
        names = {str(name) for name in known.registry.names()}
        reported = all(
            worker.life in names for worker in self.workers if not worker.ended
        )
        return known.documents.version >= version and reported


@asynccontextmanager
async def running_site(
    folder: Path,
    hubs: int = 1,
    boxes: int = 1,
    disks_lost: int = 0,
    areas: dict[str, str] | None = None,
    *,
    shares_services: bool = False,
) -> AsyncIterator[Site]:
    """Run a site with two engines, two plain workers and document version 1."""
    site = Site(folder, areas or {}, shares_services)
    reporting: asyncio.Task[None] | None = None
    try:
        await _start(site, hubs, boxes, disks_lost)
        reporting = asyncio.create_task(site.report_periodically())
        yield site
    finally:
        await _stop(site, reporting)


def _describe_state(site: Site) -> str:
    """Describe the state of each hub and box, for the message of a timeout."""
    states = []
    for hub in site.hubs:
        figures = ', '.join(hub.metrics_text().replace('hitchdeck_', '').splitlines())
        states.append(
            f'{hub.settings.box}: live {sorted(hub.known_hubs.reachable)}, {figures}'
        )
    for box in site.boxes:
        known = box.link.known
        names = sorted(known.registry.names())
        states.append(
            f'{box.settings.box}: hubs {sorted(box.known_hubs.reachable)}, '
            f'document {known.documents.version}, upstreams {names}',
        )
    return '; '.join(states)


async def _stop(site: Site, reporting: asyncio.Task[None] | None) -> None:
    if reporting is not None:
        reporting.cancel()
    await site.stop()


async def _start(site: Site, hubs: int, boxes: int, disks_lost: int) -> None:
    """Start all processes; a timeout reports the state of each hub and box."""
    try:
        await _start_all(site, hubs, boxes, disks_lost)
    except TimeoutError as error:
        raise TimeoutError(_describe_state(site)) from error


async def _start_all(site: Site, hubs: int, boxes: int, disks_lost: int) -> None:
    await site.start_hubs(hubs, disks_lost)
    for number in range(boxes):
        await site.start_box(number)
    for name, pool in (('e1', 'llm'), ('e2', 'llm'), ('p1', 'app'), ('p2', 'app')):
        await site.start_worker(name, pool)
    await until_taken(site, document(1))
    await site.settle()


async def until_taken(site: Site, given: dict[str, object]) -> None:
    """Publish a document, retrying until a hub accepts it."""
    async with asyncio.timeout(WAIT_SECONDS):
        while (await site.publish(given)).code != 200:
            await asyncio.sleep(POLL_SECONDS)
