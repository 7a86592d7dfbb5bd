"""Fairness gap, utilisation, waits and control cost, against baselines.

Sixteen accounts, three of them large, all backlogged; nine engines; routers
as asked.  ``python -m bench.fairness --routers=20 --fault=none``.
"""

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from bench.common import append_row, listed
from bench.figures import Figures, service_gap, utilisation, waits
from bench.load import Profile, Seen, run_profiles
from hitchdeck_core.hashing import token_hash
from standins.fleet import Fleet, FleetSize, Member, running_fleet
from standins.records import read_records

ENGINES = 9
SLOTS = 8
GAP = 0.05
ACCOUNTS = 16
LARGE = 3
WARM_UP = 4.0
FAULT_AT = 8.0
FAULT_SECONDS = 5.0

_READY_SECONDS = 60.0


@dataclass(frozen=True)
class Scenario:
    """One run; ``seconds`` of load."""

    policy: str
    routers: int
    fault: str = 'none'
    seconds: float = 20.0
    urgent_overcommit: int = 1


def resources(fleet: Fleet, overcommit: int) -> str:
    """Return the resource file."""
    lines = ['[[pool]]', 'name = "bench"', 'model = "bench"', 'queue_limit = 1000']
    lines += [f'urgent_overcommit = {overcommit}']
    lines += ['[[rule]]', 'name = "all"', 'effect = "access"']
    lines += ['[[rule]]', 'name = "now"', 'effect = "urgent"']
    lines += ['requests = "work=lookup"']
    for number in range(ACCOUNTS):
        lines += ['[[account]]', f'name = "account-{number}"']
        lines += [f'key_hashes = ["{token_hash(f"key-{number}")}"]']
    for engine in fleet.engines:
        lines += ['[[upstream]]', f'name = "{engine.name}"', f'slots = {SLOTS}']
        lines += [f'address = "127.0.0.1:{engine.port}"']
    return '\n'.join(lines)


async def wait_ready(fleet: Fleet) -> None:
    """Wait until all routers admit."""
    deadline = time.monotonic() + _READY_SECONDS
    client = AsyncHTTPClient()
    for router in fleet.routers:
        url = f'http://127.0.0.1:{router.port}/healthz'
        while (await client.fetch(url, raise_error=False)).code != 200:
            assert time.monotonic() < deadline, router.name
            await asyncio.sleep(0.1)


async def addresses_of(fleet: Fleet, number: int) -> tuple[str, ...]:
    """Ask the fleet where an account is to go."""
    reply = await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://127.0.0.1:{fleet.routers[0].port}/v1/addresses',
            headers={'Authorization': f'Bearer key-{number}'},
        ),
    )
    return tuple(json.loads(reply.body)['addresses'])


async def read_metrics(fleet: Fleet) -> dict[str, float]:
    """Return sums over the routers of CPU seconds, control bytes, messages."""
    totals = {'cpu': 0.0, 'bytes': 0.0, 'messages': 0.0}
    names = {
        'hitchdeck_cpu_seconds_total': 'cpu',
        'hitchdeck_control_bytes_total': 'bytes',
        'hitchdeck_control_messages_total': 'messages',
    }
    for router in fleet.routers:
        if not router.is_running():
            continue
        url = f'http://127.0.0.1:{router.port}/metrics'
        reply = await AsyncHTTPClient().fetch(url)
        for line in reply.body.decode().splitlines():
            name = names.get(line.partition('{')[0].partition(' ')[0])
            if name:
                totals[name] += float(line.rpartition(' ')[2])
    return totals


def scheduler_of(fleet: Fleet) -> Member:
    """Return the router that schedules the pool."""
    status = json.loads(fleet.hitchdeck('status', '--json').stdout)
    holder = status['shards'][0]['router']
    return next(one for one in fleet.routers if one.name == holder)


async def hurt(fleet: Fleet, fault: str) -> None:
    """Do the damage of a scenario in the middle of its run."""
    if fault in {'none', 'flood'}:
        return
    await asyncio.sleep(FAULT_AT)
    victims = [scheduler_of(fleet)]
    if fault == 'kill':
        victims[0].kill()
        return
    if fault == 'rejoin':
        others = [one for one in fleet.routers if one is not victims[0]]
        victims = others[: max(1, len(others) // 5)]
    for victim in victims:
        victim.signal(signal.SIGSTOP)
    await asyncio.sleep(FAULT_SECONDS)
    for victim in victims:
        victim.signal(signal.SIGCONT)


async def profiles_of(fleet: Fleet, scenario: Scenario) -> list[Profile]:
    """Return the callers."""
    choice = random.Random(7)
    profiles = []
    for number in range(ACCOUNTS):
        addresses = await addresses_of(fleet, number)
        if number % 2:
            addresses = (choice.choice(addresses),)
        profiles.append(
            Profile(
                account=f'account-{number}',
                key=f'key-{number}',
                addresses=addresses,
                concurrency=40 if number < LARGE else 10,
                urgent_share=0.1,
            ),
        )
    if scenario.fault == 'flood':
        everywhere = tuple(f'127.0.0.1:{one.port}' for one in fleet.routers)
        flood = Profile('account-0', 'key-0', everywhere, 300, start=FAULT_AT)
        profiles.append(flood)
    return profiles


async def drive(fleet: Fleet, scenario: Scenario) -> dict[str, object]:
    """Run a scenario on a fleet that is up."""
    await wait_ready(fleet)
    profiles = await profiles_of(fleet, scenario)
    before = await read_metrics(fleet)
    started_at = time.monotonic()
    hurting = asyncio.create_task(hurt(fleet, scenario.fault))
    seen = await run_profiles(profiles, scenario.seconds, seed=1)
    await hurting
    ended_at = started_at + scenario.seconds
    after = await read_metrics(fleet)
    figures = _figures(fleet, seen, (started_at + WARM_UP, ended_at))
    per_request = {
        name: (after[name] - before[name]) / max(1, figures.requests) for name in before
    }
    return {
        **scenario.__dict__,
        **figures.as_row(),
        'cpu_ms_per_request': per_request['cpu'] * 1000,
        'control_bytes_per_request': per_request['bytes'],
        'control_messages_per_request': per_request['messages'],
        'control_bytes_per_second_per_node': (after['bytes'] - before['bytes'])
        / scenario.seconds
        / scenario.routers,
    }


def _figures(fleet: Fleet, seen: Seen, window: tuple[float, float]) -> Figures:
    names = [f'account-{number}' for number in range(ACCOUNTS)]
    gaps = service_gap(seen, names, window)
    records = [
        read_records(fleet.folder / f'{engine.name}.records')
        for engine in fleet.engines
    ]
    return Figures(
        requests=sum(one.status == 200 for one in seen.samples),
        gap_max=max(gap for _, gap in gaps),
        gap_final=gaps[-1][1],
        utilisation=utilisation(records, SLOTS, window),
        waits=waits(seen.samples, window),
        statuses=dict(seen.statuses),
    )


def run_scenario(scenario: Scenario) -> dict[str, object]:
    """Run one scenario on a fleet of its own."""
    folder = Path(tempfile.mkdtemp(prefix='hitchdeck-bench-'))
    size = FleetSize(
        routers=scenario.routers,
        engines=ENGINES,
        services=0,
        slots=SLOTS,
        gap=GAP,
        router_command=(
            sys.executable,
            '-m',
            'bench.baselines',
            f'--policy={scenario.policy}',
        ),
    )
    with running_fleet(folder, size) as fleet:
        path = folder / 'resources.toml'
        path.write_text(resources(fleet, scenario.urgent_overcommit))
        fleet.hitchdeck('apply', str(path))
        return asyncio.run(drive(fleet, scenario))


def main(
    routers: str = '4,20,100',
    policies: str = 'fair,fifo,round-robin',
    faults: str = 'none',
    seconds: float = 20,
    output: str = 'bench/results/fairness.jsonl',
    overcommit: int = 1,
) -> None:
    """Run every combination and append a line of JSON for each."""
    for count in listed(routers):
        for fault in listed(faults):
            for policy in listed(policies):
                scenario = Scenario(policy, int(count), fault, seconds, overcommit)
                append_row(output, run_scenario(scenario))


if __name__ == '__main__':
    fire.Fire(main)
