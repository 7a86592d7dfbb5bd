"""A hub that is replaced for good leaves a group that bears the next loss.

Guards against a group that counts the old hub as a voter beside its successor, and
that never has a quorum again when another hub loses its disk just then.
"""

import asyncio
import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from soak.fleet import Fleet, Program, claimed_fleet
from standins.platform_site import document

CATCH_UP = 4.0
SUCCESSOR_SECONDS = 0.3
RECOVERY_SECONDS = 12.0
START_SECONDS = 20.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Return three hubs with disks, which have just been started."""
    running = claimed_fleet(tmp_path)
    try:
        for number in range(3):
            running.add(number, 'hub')
        yield running
    finally:
        running.stop()


async def call(
    address: str, path: str, method: str = 'GET', body: str | None = None
) -> tuple[int, bytes]:
    """Send a request; return status and body, 599 without an answer."""
    request = HTTPRequest(
        f'http://{address}{path}', method, body=body, request_timeout=1.5
    )
    try:
        reply = await AsyncHTTPClient().fetch(request, raise_error=False)
    except OSError:
        return 599, b''
    return reply.code, reply.body or b''


async def publish(fleet: Fleet, version: int, seconds: float) -> None:
    """Send a document to all hubs in turn until it is acknowledged."""
    until = time.monotonic() + seconds
    body = json.dumps(document(version))
    while True:
        for hub in fleet.hubs:
            if (await call(fleet.control(hub), '/api/config', 'PUT', body))[0] == 200:
                return
        assert time.monotonic() < until, f'document {version} is not acknowledged'
        await asyncio.sleep(0.05)


async def read_back(fleet: Fleet, seconds: float) -> int:
    """Return the version of the newest document, from any hub that is sure of it."""
    until = time.monotonic() + seconds
    while True:
        for hub in fleet.hubs:
            code, body = await call(fleet.control(hub), '/api/config')
            if code == 200:
                return int(json.loads(body)['version'])
        assert time.monotonic() < until, 'no hub returns the document'
        await asyncio.sleep(0.05)


async def leader_of(fleet: Fleet) -> Program:
    """Return the hub that leads."""
    async with asyncio.timeout(START_SECONDS):
        while True:
            for hub in fleet.hubs:
                _, body = await call(fleet.metrics(hub), '/metrics')
                if b'hitchdeck_leads 1\n' in body:
                    return hub
            await asyncio.sleep(0.05)


async def replace_as_planned(fleet: Fleet, old: Program) -> None:
    """Start the successor, and stop the old hub once the successor had its time."""
    fleet.add(3, 'hub', first=False)
    await asyncio.sleep(CATCH_UP + 0.1)
    old.signal(signal.SIGTERM)
    await asyncio.to_thread(old.end, 8)
    fleet.hubs.remove(old)


async def lose_and_replace(fleet: Fleet, old: Program) -> None:
    """Kill the old hub for good, and give a successor its time."""
    old.signal(signal.SIGKILL)
    old.end(1)
    fleet.hubs.remove(old)
    await asyncio.sleep(SUCCESSOR_SECONDS)
    fleet.add(3, 'hub', first=False)
    await asyncio.sleep(CATCH_UP + 0.1)


@pytest.mark.parametrize('leads', [True, False], ids=['leader', 'follower'])
@pytest.mark.parametrize('go', [replace_as_planned, lose_and_replace])
async def test_a_disk_lost_right_after_a_replacement_leaves_a_quorum(
    fleet: Fleet, go: object, *, leads: bool
) -> None:
    await publish(fleet, 1, START_SECONDS)
    await asyncio.sleep(CATCH_UP)
    leader = await leader_of(fleet)
    old = leader if leads else next(hub for hub in fleet.hubs if hub is not leader)
    await go(fleet, old)  # type: ignore[operator]
    await publish(fleet, 2, CATCH_UP)

    victim = fleet.hubs[0]
    victim.signal(signal.SIGKILL)
    victim.end(1)
    victim.lose_disk()
    await asyncio.sleep(1)
    fleet.write_settings(victim, first=False)
    victim.start()
    assert await read_back(fleet, RECOVERY_SECONDS) == 2
    await publish(fleet, 3, RECOVERY_SECONDS)
