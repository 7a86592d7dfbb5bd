"""Orders to upstreams without fencing: a single sender and no duplicates."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
from typing import cast

import pytest
from tornado.httpserver import HTTPServer

from hitchdeck_control.errors import NotLeaderError
from hitchdeck_control.fleet import orders
from hitchdeck_control.fleet.leader import Leader
from hitchdeck_control.fleet.orders import OrderSender, WeightStore
from hitchdeck_control.machine.state_machine import StateMachine
from hitchdeck_control.raft.replica import Leadership
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.commands import Command, FinishOrder, PlaceOrder, Put
from hitchdeck_core.ids import Address
from hitchdeck_core.resources import Upstream
from standins.engine import Engine, make_app
from standins.ports import free_ports
from standins.records import Recorder, read_records
from tests.cover.test_machine import submit

FLIGHT = 0.4
PAUSE = 1.0


@dataclass
class FakeReplica:
    """The part of a replica that the sender of orders uses."""

    leadership: Leadership
    term: int = 7


@dataclass
class FakeLeader:
    """A leader that can be deposed after a number of checks."""

    machine: StateMachine
    replica: FakeReplica
    checks_left: int = 1000
    finished: list[FinishOrder] = field(default_factory=list)

    def now(self) -> float:
        """Return the current time."""
        return boot_seconds()

    def check_leads(self) -> None:
        """Raise an error once the leader is deposed."""
        self.checks_left -= 1
        if self.checks_left < 0:
            raise NotLeaderError('')

    async def execute(self, command: Command) -> None:
        """Record the outcome of an order."""
        assert isinstance(command, FinishOrder)
        self.finished.append(command)


@dataclass
class Site:
    """An engine, and a newly elected leader with one unfinished order."""

    leader: FakeLeader
    engine: Engine
    server: HTTPServer
    records: Path

    async def carry_out(self) -> list[FinishOrder]:
        """Send the order; return the recorded outcomes."""
        sender = OrderSender(cast(Leader, self.leader), WeightStore(1e9))
        await sender._execute_order(1, self.leader.machine.state.orders[1])
        return self.leader.finished

    def sent(self) -> list[float]:
        """Return the times at which the engine received orders."""
        lines = read_records(self.records)
        return [float(one['at']) for one in lines if one['event'] == 'order']


@pytest.fixture
async def site(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Site:
    """Return a site whose engine does not check fencing tokens."""
    monkeypatch.setattr(orders, 'FLIGHT_SECONDS', FLIGHT)
    port = free_ports(1)[0]
    records = tmp_path / 'records'
    engine = Engine('e', 4, 0, Recorder(records))
    server = make_app(engine).listen(port, '127.0.0.1')
    machine = StateMachine(1000)
    address = Address(f'127.0.0.1:{port}')
    submit(machine, Put(resource=Upstream(name='e', address=address)))
    submit(machine, PlaceOrder(upstream='e', action='load', target='m'))
    leadership = Leadership(started_at=boot_seconds(), first_index=1)
    leader = FakeLeader(machine, FakeReplica(leadership))
    return Site(leader, engine, server, records)


async def test_new_leader_waits_for_orders_in_flight(site: Site) -> None:
    finished = await site.carry_out()
    assert [one.state for one in finished] == ['done']
    elected_at = site.leader.replica.leadership.started_at
    assert len(site.sent()) == 1
    assert boot_seconds() - elected_at >= FLIGHT


async def test_an_order_run_by_an_earlier_leader_is_not_resent(site: Site) -> None:
    site.engine.loaded.add('m')
    finished = await site.carry_out()
    assert [one.state for one in finished] == ['done']
    assert not site.sent()


async def test_deposed_leader_sends_nothing(site: Site) -> None:
    site.leader.checks_left = 0
    assert not await site.carry_out()
    assert not site.sent()


@pytest.mark.parametrize('checks_fences', [True, False])
async def test_an_order_waits_for_the_retry_after_of_its_upstream(
    site: Site,
    checks_fences: bool,
) -> None:
    """Guards against ignoring Retry-After.

    The sender used to retry after 0.2 s, ten times, whatever the upstream asked for.
    """
    kept = site.leader.machine.state.resources['upstream/e'].resource
    assert isinstance(kept, Upstream)
    upstream = Upstream(name='e', address=kept.address, checks_fences=checks_fences)
    submit(site.leader.machine, Put(resource=upstream))
    site.engine.faults['pause'] = PAUSE
    asyncio.get_running_loop().call_later(PAUSE * 0.9, site.engine.faults.clear)
    finished = await site.carry_out()
    assert [one.state for one in finished] == ['done']
    asked = [one['event'] for one in read_records(site.records)]
    first = ['order-taken'] if checks_fences else ['order-asked']
    assert asked == [*first, 'order-taken', 'order']


def test_loads_share_the_rate_of_the_weight_store() -> None:
    store = WeightStore(rate=100)
    assert [store.reserve(200, now=10) for _ in range(3)] == [0, 2, 4]
    assert store.reserve(200, now=30) == 0
