"""The control group: commits, claims, time to be in force, recovery, idle cost.

Real processes on loopback, fsync on.  ``python -m bench.control``.
"""

import asyncio
import json
import signal
import tempfile
import time
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient

from bench.common import append_row, listed
from bench.fairness import read_metrics, wait_ready
from hitchdeck_core.commands import Claim, Command, Put
from hitchdeck_core.control_client import ControlClient
from hitchdeck_core.ids import Address, Incarnation
from hitchdeck_core.queries import InForce, WaitInForce
from hitchdeck_core.resources import Account
from standins.fleet import OPERATOR_TOKEN, Fleet, FleetSize, running_fleet

_SECONDS = 20.0
_CHANGES = 500


def client_of(fleet: Fleet) -> ControlClient:
    """Return a client of the control group."""
    addresses = fleet.control_addresses.split(',')
    return ControlClient(tuple(Address(one) for one in addresses), OPERATOR_TOKEN)


async def commit_rate(
    fleet: Fleet,
    writers: int,
    kind: str,
    seconds: float,
) -> dict[str, object]:
    """Measure commits a second and their latency under concurrent writers."""
    client = client_of(fleet)
    await client.execute(_command('put', 'warm', 0), _SECONDS)
    times: list[float] = []
    end = time.monotonic() + seconds

    async def write(writer: int) -> None:
        number = 0
        while time.monotonic() < end:
            number += 1
            started = time.monotonic()
            await client.execute(_command(kind, f'w{writer}', number), _SECONDS)
            times.append(time.monotonic() - started)

    await asyncio.gather(*(write(one) for one in range(writers)))
    client.close()
    times.sort()
    return {
        'figure': f'commits-{kind}',
        'writers': writers,
        'per_second': round(len(times) / seconds),
        'p50_ms': round(1000 * times[len(times) // 2], 2),
        'p99_ms': round(1000 * times[int(0.99 * len(times))], 2),
    }


async def in_force_time(fleet: Fleet, rounds: int) -> dict[str, object]:
    """Measure from the acceptance of a change to its being in force."""
    client = client_of(fleet)
    times = []
    for number in range(rounds):
        outcome = await client.execute(_command('put', 'f', number), _SECONDS)
        accepted = time.monotonic()
        version = getattr(outcome, 'version', 0)
        query = WaitInForce(version=version, seconds=_SECONDS)
        answer = await client.read(query, InForce, _SECONDS)
        assert answer.in_force, answer.laggards
        times.append(time.monotonic() - accepted)
    client.close()
    times.sort()
    return {
        'figure': 'accept-to-in-force',
        'routers': len(fleet.routers),
        'p50_ms': round(1000 * times[len(times) // 2], 1),
        'max_ms': round(1000 * times[-1], 1),
    }


async def node_cost(fleet: Fleet, seconds: float, rate: float) -> dict[str, object]:
    """Measure a router's processor time and control bytes, without requests."""
    client = client_of(fleet)
    before = await read_metrics(fleet)
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        if rate:
            number += 1
            await client.execute(_command('put', 'c', number), _SECONDS)
        await asyncio.sleep(1 / rate if rate else seconds)
    after = await read_metrics(fleet)
    client.close()
    per_node = {
        name: (after[name] - before[name]) / seconds / len(fleet.routers)
        for name in before
    }
    return {
        'figure': 'router-idle' if not rate else f'router-at-{rate}-changes-a-second',
        'routers': len(fleet.routers),
        'cpu_percent_of_a_core': round(100 * per_node['cpu'], 3),
        'bytes_per_second': round(per_node['bytes']),
    }


async def recovery_time(fleet: Fleet) -> list[dict[str, object]]:
    """Measure election after a kill, and a restart of all after many changes."""
    client = client_of(fleet)
    for number in range(_CHANGES):
        await client.execute(_command('put', f'r{number}', number), _SECONDS)
    status = json.loads(fleet.hitchdeck('status', '--json').stdout)
    leader = next(one for one in fleet.controls if one.name == status['leader'])
    leader.kill()
    started = time.monotonic()
    await client.execute(_command('put', 'after', 1), _SECONDS)
    election = time.monotonic() - started
    leader.start()
    for control in fleet.controls:
        control.signal(signal.SIGKILL)
        control.kill()
    started = time.monotonic()
    for control in fleet.controls:
        control.launch()
    await client.execute(_command('put', 'after', 2), _SECONDS)
    restart = time.monotonic() - started
    client.close()
    return [
        {'figure': 'commit-after-leader-kill', 'seconds': round(election, 2)},
        {
            'figure': f'commit-after-restart-of-all-{_CHANGES}-changes',
            'seconds': round(restart, 2),
        },
    ]


def _command(kind: str, name: str, number: int) -> Command:
    if kind == 'put':
        return Put(resource=Account(name=name, weight=1 + number % 900))
    return Claim(
        account='bench',
        key=f'{name}-{number}',
        digest='d',
        issued=time.time(),
        router='r',
        incarnation=Incarnation('i'),
        request=f'{name}-{number}',
        upstream='u',
    )


async def memory_of(fleet: Fleet) -> dict[str, object]:
    """Return the largest resident memory of a router, in MB."""
    reply = await AsyncHTTPClient().fetch(
        f'http://127.0.0.1:{fleet.routers[0].port}/metrics',
    )
    for line in reply.body.decode().splitlines():
        if line.startswith('hitchdeck_resident_kilobytes_max'):
            kilobytes = float(line.rpartition(' ')[2])
            return {'figure': 'router-memory-mb', 'mb': round(kilobytes / 1024, 1)}
    return {}


async def _measure(fleet: Fleet, size: int, seconds: float) -> list[dict[str, object]]:
    await wait_ready(fleet)
    rows = [await in_force_time(fleet, 20)]
    rows.append(await node_cost(fleet, seconds, 0))
    rows.append(await node_cost(fleet, seconds, 1))
    rows.append(await memory_of(fleet))
    if size == 4:
        for kind in ('put', 'claim'):
            for writers in (1, 8, 64):
                rows.append(await commit_rate(fleet, writers, kind, seconds))
        rows += await recovery_time(fleet)
    return rows


def main(
    sizes: str = '4,50,200',
    seconds: float = 5,
    output: str = 'bench/results/control.jsonl',
) -> None:
    """Run everything and append a line of JSON for each figure."""
    for size in listed(sizes):
        folder = Path(tempfile.mkdtemp(prefix='hitchdeck-bench-'))
        fleet_size = FleetSize(routers=int(size), engines=0, services=0)
        with running_fleet(folder, fleet_size) as fleet:
            for row in asyncio.run(_measure(fleet, int(size), seconds)):
                append_row(output, row)


if __name__ == '__main__':
    fire.Fire(main)
