"""Pending tickets move to shards that can start work."""

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Incarnation, PoolName
from hitchdeck_core.resources import Pool, encode_resource
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.wire.hitchdeck_pb2 import Delta, ResourceChange, Ticket
from hitchdeck_router.fleet.directory import FleetDirectory
from hitchdeck_router.fleet.lease import ConfigurationLease
from hitchdeck_router.fleet.link import Fleet
from hitchdeck_router.fleet.traffic import Traffic
from hitchdeck_router.fleet.view import FleetView
from hitchdeck_router.scheduling.client import ShardClient
from hitchdeck_router.scheduling.client_state import PendingTicket
from hitchdeck_router.scheduling.slots import SlotFinder

POOL = PoolName('p')


@pytest_asyncio.fixture
async def finder() -> AsyncIterator[SlotFinder]:
    """Return a finder for a pool of two shards, both connected and busy."""
    body = encode_resource(Pool(name=POOL, shards=2))
    change = ResourceChange(kind='pool', name=POOL, body=body)
    view = FleetView()
    view.apply(Delta(full=True, version=1, changes=[change]))
    lease = ConfigurationLease(boot_seconds)
    fleet = Fleet(view, lease, FleetDirectory(), Traffic(), boot_seconds)
    supervisor = Supervisor('test')
    made = SlotFinder(fleet, 'box', Incarnation('life'), 'token', supervisor)
    for client in made._clients_of(POOL):
        client.connected = True
        client.busy = True
    yield made
    await supervisor.stop()


async def waiting_at(finder: SlotFinder, client: ShardClient) -> PendingTicket:
    """Return a ticket that is pending at a shard."""
    granted = asyncio.get_running_loop().create_future()
    pending = PendingTicket(Ticket(id=1), granted, boot_seconds())
    client.submit(pending)
    return pending


@pytest.mark.parametrize(
    ('here_serves', 'there_idle', 'there_serves', 'moves'),
    [
        (True, True, True, True),
        (True, False, True, False),
        (False, False, True, True),
        (False, False, False, False),
    ],
)
async def test_ticket_moves_to_where_it_can_start(
    finder: SlotFinder,
    here_serves: bool,
    there_idle: bool,
    there_serves: bool,
    moves: bool,
) -> None:
    here, there = finder._clients_of(POOL)
    pending = await waiting_at(finder, here)
    here.serves = here_serves
    there.idle, there.serves = there_idle, there_serves
    finder._move_waiting(here)
    assert pending.client is (there if moves else here)
    assert len(here.waiting) + len(there.waiting) == 1
    assert len(here.unsent.cancelled) == int(moves)


async def test_shard_without_upstreams_is_not_chosen(finder: SlotFinder) -> None:
    here, there = finder._clients_of(POOL)
    here.serves = False
    await waiting_at(finder, there)
    assert finder._best_client(POOL, Ticket()) is there
