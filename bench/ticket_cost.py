"""What a request costs the control plane: bytes, messages, processor time.

One scheduler and a number of routers' clients in one process, over real
connections, at a fixed rate; the time of the driver alone is taken off.
"""

import asyncio
import random
import resource
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import fire

from bench.common import append_row
from hitchdeck_core.channels import require_fleet_token, serve
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import AccountName, Address, Incarnation, PoolName, RequestId
from hitchdeck_core.resources import (
    Account,
    Pool,
    Resource,
    Upstream,
    Urgency,
    encode_resource,
)
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.wire.hitchdeck_pb2 import (
    Delta,
    Directory,
    ResourceChange,
    ShardEntry,
)
from hitchdeck_router.dispatch.requests import AdmittedRequest
from hitchdeck_router.fleet.directory import FleetDirectory
from hitchdeck_router.fleet.lease import ConfigurationLease
from hitchdeck_router.fleet.link import Fleet
from hitchdeck_router.fleet.traffic import Traffic
from hitchdeck_router.fleet.view import FleetView
from hitchdeck_router.scheduling.host import REBUILD_SECONDS, SchedulerHost
from hitchdeck_router.scheduling.service import SchedulerService
from hitchdeck_router.scheduling.slots import SlotFinder
from standins.ports import free_ports

_TOKEN = 'bench-token'
_POOL = PoolName('bench')
_OWNER = Incarnation('owner')
_RUN_SECONDS = 0.3


Work = Callable[[SlotFinder, str], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class Setup:
    """Sizes of a run; ``rate`` is requests a second of each router."""

    routers: int
    upstreams: int
    accounts: int
    rate: float
    seconds: float


def make_fleet(setup: Setup, wire: Address, owner: Incarnation) -> Fleet:
    """Return a router's knowledge of a fleet with one shard."""
    resources: list[Resource] = [Pool(name=_POOL, model='bench')]
    resources += [
        Account(name=f'account-{number:03}') for number in range(setup.accounts)
    ]
    resources += [
        Upstream(name=f'engine-{number}', address=Address('127.0.0.1:1'), slots=64)
        for number in range(setup.upstreams)
    ]
    view = FleetView()
    view.apply(
        Delta(
            full=True,
            version=1,
            changes=[
                ResourceChange(
                    kind=one.kind,
                    name=one.name,
                    body=encode_resource(one),
                )
                for one in resources
            ],
        ),
    )
    lease = ConfigurationLease(boot_seconds)
    lease.expires_at = float('inf')
    directory = FleetDirectory()
    shard = ShardEntry(
        shard=f'{_POOL}/0',
        router='owner',
        incarnation=owner,
        epoch=1,
        wire_address=wire,
    )
    directory.update(Directory(full=True, shards=[shard]))
    return Fleet(view, lease, directory, Traffic(), boot_seconds)


async def one_request(finder: SlotFinder, account: str) -> None:
    """Take a slot, run a while, give it back."""
    admitted = AdmittedRequest(
        request=RequestId('r'),
        account=AccountName(account),
        pool=_POOL,
        urgency=Urgency.normal,
        deadline=0,
        hint=100,
        body=b'',
        prefix=(1, 2, 3),
    )
    slot = await finder.acquire(_POOL, admitted.ticket(0, frozenset()))
    await asyncio.sleep(_RUN_SECONDS)
    slot.record_cost(120)
    slot.release()


async def idle_request(finder: SlotFinder, account: str) -> None:
    """Do what the driver does without any control."""
    await asyncio.sleep(_RUN_SECONDS)


async def drive(
    setup: Setup,
    finders: list[SlotFinder],
    work: Work,
) -> tuple[int, float]:
    """Send requests at the rate; returns their count and CPU seconds."""
    choice = random.Random(3)
    names = [f'account-{number:03}' for number in range(setup.accounts)]
    before = _cpu()
    tasks = []
    count = int(setup.rate * setup.routers * setup.seconds)
    started_at = time.monotonic()
    for number in range(count):
        due = started_at + number / (setup.rate * setup.routers)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        finder = finders[number % len(finders)]
        tasks.append(asyncio.create_task(work(finder, choice.choice(names))))
    await asyncio.gather(*tasks)
    return count, _cpu() - before


def _cpu() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def measure(setup: Setup) -> dict[str, float]:
    """Run once and return the figures per request."""
    wire = Address(f'127.0.0.1:{free_ports(1)[0]}')
    fleet = make_fleet(setup, wire, _OWNER)
    host = SchedulerHost(fleet, _OWNER)
    server = await serve([SchedulerService(host)], wire, require_fleet_token(_TOKEN))
    supervisor = Supervisor('bench')
    supervisor.permanent('host', host.maintain)
    finders = [
        make_finder(setup, wire, f'router-{number}', supervisor)
        for number in range(setup.routers)
    ]
    await asyncio.sleep(REBUILD_SECONDS + 0.2)
    await asyncio.gather(*(one_request(one, 'account-000') for one in finders))
    figures = await _compare(setup, finders, fleet.traffic)
    await supervisor.stop()
    server.close()
    return {**setup.__dict__, **figures}


def make_finder(
    setup: Setup,
    wire: Address,
    name: str,
    supervisor: Supervisor,
) -> SlotFinder:
    """Return one router's side."""
    fleet = make_fleet(setup, wire, _OWNER)
    return SlotFinder(fleet, name, Incarnation(name), _TOKEN, supervisor)


async def _compare(
    setup: Setup,
    finders: list[SlotFinder],
    traffic: Traffic,
) -> dict[str, float]:
    idle_count, idle_cpu = await drive(setup, finders, idle_request)
    octets = sum(traffic.octets.values())
    messages = sum(traffic.messages.values())
    count, cpu = await drive(setup, finders, one_request)
    return {
        'requests': count,
        'cpu_us_per_request': 1e6 * (cpu - idle_cpu) / count,
        'idle_cpu_us_per_request': 1e6 * idle_cpu / idle_count,
        'wire_bytes_per_request': (sum(traffic.octets.values()) - octets) / count,
        'wire_messages_per_request': (sum(traffic.messages.values()) - messages)
        / count,
    }


def main(
    routers: int = 4,
    upstreams: int = 100,
    accounts: int = 44,
    rate: float = 24,
    seconds: float = 8,
    output: str = 'bench/results/ticket.jsonl',
) -> None:
    """Print the figures of one run, and append them as a line of JSON."""
    setup = Setup(routers, upstreams, accounts, rate, seconds)
    row = {
        name: round(figure, 2) for name, figure in asyncio.run(measure(setup)).items()
    }
    append_row(output, row)


if __name__ == '__main__':
    fire.Fire(main)
