"""The leader under many routers: real links, without the routers around them.

``python -m bench.connections --counts=0,50,200,370``: time to be in force,
and the leader's processor time, memory and bytes a router, when idle and at
one change a second.
"""

import asyncio
import json
import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import fire

from bench.common import append_row, listed
from bench.control import client_of, in_force_time
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.commands import Batch, Put
from hitchdeck_core.ids import Address
from hitchdeck_core.resources import Account, Upstream
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.wire.hitchdeck_pb2 import RouterHello
from hitchdeck_router.fleet.directory import FleetDirectory
from hitchdeck_router.fleet.lease import ConfigurationLease
from hitchdeck_router.fleet.link import ControlLink, Fleet, UsageExchange
from hitchdeck_router.fleet.traffic import Traffic
from hitchdeck_router.fleet.view import FleetView
from standins import fleet as processes

_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE = os.sysconf('SC_PAGE_SIZE')
_BATCH = 500


@dataclass(frozen=True)
class Spent:
    """Processor seconds and resident megabytes of a process."""

    cpu: float
    memory: float


def spent_by(pid: int) -> Spent:
    """Return what a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    ticks = int(fields[11]) + int(fields[12])
    return Spent(ticks / _TICKS, pages * _PAGE / 2**20)


def make_link(number: int, addresses: tuple[Address, ...]) -> ControlLink:
    """Return a router's link with nothing behind it."""
    fleet = Fleet(
        FleetView(),
        ConfigurationLease(boot_seconds),
        FleetDirectory(),
        Traffic(),
        boot_seconds,
    )
    hello = RouterHello(
        router=f'router-{number}',
        incarnation=f'life-{number}',
        domain=f'domain-{number % 12}',
        http_address=f'127.0.0.1:{10_000 + number}',
        wire_address=f'127.0.0.1:{20_000 + number}',
    )
    usage = UsageExchange(list, lambda: None, lambda sums, term: None)
    return ControlLink(fleet, hello, addresses, processes.FLEET_TOKEN, usage)


async def fill(fleet: processes.Fleet, upstreams: int) -> None:
    """Define many upstreams."""
    client = client_of(fleet)
    for start in range(0, upstreams, _BATCH):
        changes = tuple(
            Put(
                resource=Upstream(
                    name=f'engine-{number:05}',
                    address=Address(f'10.0.{number % 250}.{number // 250}:8000'),
                    labels={'kind': 'engine', 'domain': f'd{number % 12}'},
                ),
            )
            for number in range(start, min(upstreams, start + _BATCH))
        )
        await client.execute(Batch(changes=changes), 30)
    client.close()


async def measure(
    fleet: processes.Fleet,
    count: int,
    seconds: float,
) -> dict[str, object]:
    """Attach routers' links and measure."""
    status = json.loads(fleet.hitchdeck('status', '--json').stdout)
    leader = next(one for one in fleet.controls if one.name == status['leader'])
    assert leader.process is not None
    addresses = tuple(Address(one) for one in fleet.control_addresses.split(','))
    links = [make_link(number, addresses) for number in range(count)]
    supervisor = Supervisor('bench')
    for number, link in enumerate(links):
        supervisor.permanent(f'link-{number}', link.run)
    started = time.monotonic()
    while not all(link.fleet.lease.is_live() for link in links):
        await asyncio.sleep(0.05)
    attached = time.monotonic() - started
    await asyncio.sleep(3)
    row: dict[str, object] = {'routers': count, 'attach_seconds': round(attached, 2)}
    row |= await _watch(leader.process.pid, links, seconds, 'idle')
    changing = asyncio.create_task(_change(fleet, seconds))
    row |= await _watch(leader.process.pid, links, seconds, 'changing')
    await changing
    in_force = await in_force_time(fleet, 10)
    row |= {name: in_force[name] for name in ('p50_ms', 'max_ms')}
    await supervisor.stop()
    return row


async def _watch(
    pid: int,
    links: list[ControlLink],
    seconds: float,
    name: str,
) -> dict[str, object]:
    octets = sum(sum(link.fleet.traffic.octets.values()) for link in links)
    before = spent_by(pid)
    await asyncio.sleep(seconds)
    after = spent_by(pid)
    octets = sum(sum(link.fleet.traffic.octets.values()) for link in links) - octets
    return {
        f'{name}_leader_cpu_percent': round(
            100 * (after.cpu - before.cpu) / seconds, 2
        ),
        f'{name}_leader_mb': round(after.memory, 1),
        f'{name}_bytes_per_router_second': round(octets / seconds / max(1, len(links))),
    }


async def _change(fleet: processes.Fleet, seconds: float) -> None:
    client = client_of(fleet)
    for number in range(int(seconds)):
        account = Account(name='changing', weight=number + 1)
        await client.execute(Put(resource=account), 10)
        await asyncio.sleep(1)
    client.close()


def main(
    counts: str = '0,50,200,370',
    upstreams: int = 0,
    seconds: float = 6,
    output: str = 'bench/results/connections.jsonl',
) -> None:
    """Run every count on a group of its own."""
    for count in listed(counts):
        folder = Path(tempfile.mkdtemp(prefix='hitchdeck-bench-'))
        size = processes.FleetSize(routers=0, engines=0, services=0)
        with processes.running_fleet(folder, size) as fleet:
            asyncio.run(fill(fleet, upstreams))
            row = asyncio.run(measure(fleet, int(count), seconds))
        row['upstreams'] = upstreams
        append_row(output, row)


if __name__ == '__main__':
    fire.Fire(main)
