"""How long after its SIGTERM a hub still counts as a voter, with real processes.

``python -m bench.hub_replacement`` starts three hubs, replaces one as planned, and
tells the seconds from the SIGTERM of the old one until a hub leads whose group has
three voters.  Until then it has four, of which one stops, and bears no further loss.
"""

import asyncio
import json
import signal
import tempfile
import time
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from bench.common import append_row
from soak.fleet import Fleet, Program, claimed_fleet
from standins.platform_site import document

OUTPUT = 'bench/results/hub_replacement.jsonl'
CATCH_UP = 4.2
PATIENCE = 20.0
POLL = 0.01
VOTERS = 3
NO_ANSWER = 599


async def call(
    address: str, path: str, method: str = 'GET', body: str | None = None
) -> tuple[int, str]:
    """Send a request; return status and body."""
    request = HTTPRequest(
        f'http://{address}{path}', method, body=body, request_timeout=1
    )
    try:
        reply = await AsyncHTTPClient().fetch(request, raise_error=False)
    except OSError:
        return NO_ANSWER, ''
    return reply.code, reply.body.decode() if reply.body else ''


async def group_of(fleet: Fleet) -> tuple[Program, int] | None:
    """Return the hub that leads and how many voters it counts."""
    for hub in fleet.hubs:
        _, text = await call(fleet.metrics(hub), '/metrics')
        lines = dict(line.rsplit(' ', 1) for line in text.splitlines())
        if lines.get('hitchdeck_leads') == '1':
            return hub, int(lines['hitchdeck_voters'])
    return None


async def until_voters(fleet: Fleet, count: int) -> Program:
    """Wait for a leader that counts so many voters."""
    async with asyncio.timeout(PATIENCE):
        while True:
            group = await group_of(fleet)
            if group is not None and group[1] == count:
                return group[0]
            await asyncio.sleep(POLL)


async def replace(fleet: Fleet, *, leads: bool) -> float:
    """Replace a hub; return the seconds until the group bears the next loss."""
    for number in range(VOTERS):
        fleet.add(number, 'hub')
    leader = await until_voters(fleet, VOTERS)
    first = json.dumps(document(1))
    await call(fleet.control(leader), '/api/config', 'PUT', first)
    old = leader if leads else next(one for one in fleet.hubs if one is not leader)
    fleet.add(VOTERS, 'hub', first=False)
    await asyncio.sleep(CATCH_UP)
    fleet.hubs.remove(old)
    began = time.monotonic()
    old.signal(signal.SIGTERM)
    await until_voters(fleet, VOTERS)
    seconds = time.monotonic() - began
    old.end(10)
    return seconds


async def play(folder: Path, seed: int, *, leads: bool) -> float:
    """Replace a hub of a new fleet, and stop the fleet."""
    fleet = claimed_fleet(folder, seed)
    try:
        return await replace(fleet, leads=leads)
    finally:
        fleet.stop()


def main(runs: int = 5, output: str = OUTPUT) -> None:
    """Replace a leader and a follower so many times each."""
    for leads in (True, False):
        seconds = []
        for seed in range(runs):
            with tempfile.TemporaryDirectory() as folder:
                taken = asyncio.run(play(Path(folder), seed, leads=leads))
                seconds.append(round(taken, 2))
        append_row(
            output, {'replaced': 'leader' if leads else 'follower', 'seconds': seconds}
        )


if __name__ == '__main__':
    fire.Fire(main, name='hub_replacement')
