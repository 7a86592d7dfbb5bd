"""How long a hub takes to acknowledge departures of upstreams, with real processes.

``python -m bench.departures`` starts three hubs with disks and one without, sends
departures to the one without, one at a time and forty at once, and tells the
milliseconds until each answer.
"""

import asyncio
import json
import tempfile
import time
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from bench.common import append_row
from bench.hub_replacement import VOTERS, call, until_voters
from soak.fleet import Fleet, Program, claimed_fleet
from standins.platform_site import document

OUTPUT = 'bench/results/departures.jsonl'
AT_ONCE = 40
MS = 1000
SETTLE_SECONDS = 2.0
ACCEPTED = 200


async def depart(client: AsyncHTTPClient, address: str, name: str) -> float:
    """Send a departure; return the milliseconds until it is acknowledged."""
    began = time.monotonic()
    request = HTTPRequest(f'http://{address}/api/instances/{name}', 'DELETE')
    reply = await client.fetch(request, raise_error=False)
    if reply.code != ACCEPTED:
        raise RuntimeError(f'{name}: {reply.code}')
    return (time.monotonic() - began) * MS


async def measure(fleet: Fleet, hub: Program, singles: int) -> dict[str, object]:
    """Return the times of single departures, and of many at once."""
    leader = await until_voters(fleet, VOTERS)
    first = json.dumps(document(1))
    await call(fleet.control(leader), '/api/config', 'PUT', first)
    await asyncio.sleep(SETTLE_SECONDS)
    client = AsyncHTTPClient(force_instance=True, max_clients=AT_ONCE)
    address = fleet.control(hub)
    single = [await depart(client, address, f'one-{at}') for at in range(singles)]
    many = await asyncio.gather(
        *(depart(client, address, f'many-{at}') for at in range(AT_ONCE))
    )
    return {'single_ms': _quantiles(single), 'forty_ms': _quantiles(list(many))}


def _quantiles(times: list[float]) -> list[float]:
    """Return the median and the maximum."""
    ordered = sorted(times)
    return [round(ordered[len(ordered) // 2], 1), round(ordered[-1], 1)]


async def play(folder: Path, singles: int) -> dict[str, object]:
    """Measure on a new fleet, and stop it."""
    fleet = claimed_fleet(folder)
    try:
        for number in range(VOTERS):
            fleet.add(number, 'hub')
        hub = fleet.add(VOTERS, 'hub', disk=False)
        return await measure(fleet, hub, singles)
    finally:
        fleet.stop()


def main(runs: int = 3, singles: int = 50, output: str = OUTPUT) -> None:
    """Measure a number of fleets."""
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            append_row(output, asyncio.run(play(Path(folder), singles)))


if __name__ == '__main__':
    fire.Fire(main, name='departures')
