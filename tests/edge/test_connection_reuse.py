"""Connections to upstreams are reused, but not where a request risks its run."""

import asyncio
import heapq
import json
import random
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from hitchdeck_core.sockets import enable_keepalive, seconds_since_acknowledged
from hitchdeck_edge.dispatch import connections
from hitchdeck_edge.dispatch.connections import ConnectionPool
from hitchdeck_edge.dispatch.reuse import (
    DEFAULT_IDLE_SECONDS,
    FRESH_SECONDS,
    REACHABLE_SECONDS,
    SILENT_SECONDS,
    IdleTime,
    Reuse,
    may_use,
    permitted_reuse,
)
from hitchdeck_edge.dispatch.upstream_connection import Connection
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_platform.documents import read_document
from hitchdeck_platform.requests import DIALECT
from hitchdeck_platform.settings import decode_settings
from standins.platform_site import document, running_site
from tests.common.scheduling import FakeClock, engine
from tests.edge.test_outside_numbers import settings_fields

ENGINES = 30
RESUMED_PER_SECOND = 2.9
OTHER_PER_SECOND = 3.2
"""Streams that reach one of 77 boxes: those that may be resumed, and others."""

STREAM_SECONDS = 1.5
SECONDS = 120


class FakeConnection(Connection):
    """A connection without a network."""

    acknowledged = 0.0

    def is_quiet(self) -> bool:
        return self.usable

    def acknowledged_ago(self) -> float:
        return self.acknowledged


@pytest.fixture(autouse=True)
def _connect(monkeypatch: pytest.MonkeyPatch) -> None:
    async def connect(address: str) -> Connection:
        return FakeConnection()

    monkeypatch.setattr(connections, 'connect', connect)


def arrivals() -> Iterator[tuple[float, bool]]:
    """Return when streams arrive, and whether each may be resumed."""
    draw = random.Random(7)
    rate = RESUMED_PER_SECOND + OTHER_PER_SECOND
    now = draw.expovariate(rate)
    while now < SECONDS:
        yield now, draw.random() < RESUMED_PER_SECOND / rate
        now += draw.expovariate(rate)


async def opened_per_stream(*, streams_reuse: bool) -> float:
    """Return how many connections a box opens per stream."""
    clock = FakeClock()
    pool = ConnectionPool(clock, streams_reuse=streams_reuse)
    engines = [engine(f'e{number}') for number in range(ENGINES)]
    choice = random.Random(3)
    ends: list[tuple[float, int, int, Connection]] = []
    count = 0
    for arrived, resumed in arrivals():
        while ends and ends[0][0] < arrived:
            clock.seconds, _, which, done = heapq.heappop(ends)
            pool.keep_alive(engines[which], done, [])
        clock.seconds = arrived
        which = choice.randrange(ENGINES)
        reuse = Reuse.any
        if not resumed:
            reuse = Reuse.reachable if streams_reuse else Reuse.fresh
        used = await pool.acquire(engines[which], reuse=reuse)
        heapq.heappush(ends, (arrived + STREAM_SECONDS, count, which, used))
        count += 1
    assert pool.opened + pool.reused == count
    return pool.opened / count


async def test_streams_that_are_rare_at_each_engine_reuse_connections() -> None:
    # Guards against a new connection for every other request, as a day had it.
    before = await opened_per_stream(streams_reuse=False)
    after = await opened_per_stream(streams_reuse=True)
    # Most of the streams that are not resumed opened one before.
    assert before > OTHER_PER_SECOND / (RESUMED_PER_SECOND + OTHER_PER_SECOND) / 2
    assert after < before / 2


@pytest.mark.parametrize(
    ('reuse', 'idle', 'acknowledged', 'used'),
    [
        (Reuse.fresh, FRESH_SECONDS - 0.1, 9, True),
        (Reuse.fresh, FRESH_SECONDS, 0, False),
        (Reuse.reachable, FRESH_SECONDS - 0.1, 9, True),
        (Reuse.reachable, 5, REACHABLE_SECONDS - 0.1, True),
        (Reuse.reachable, 5, REACHABLE_SECONDS, False),
        (Reuse.reachable, 10, 0, False),
        (Reuse.any, 9.9, 9, True),
        (Reuse.any, 10, 0, False),
    ],
)
def test_a_request_uses_only_connections_that_it_may(
    reuse: Reuse, idle: float, acknowledged: float, *, used: bool
) -> None:
    # A request that must not repeat is lost on a dead connection.
    assert may_use(reuse, IdleTime(idle, 10), acknowledged) is used


@pytest.mark.parametrize('streams_reuse', [False, True])
@pytest.mark.parametrize(
    ('path', 'without', 'with_it'),
    [
        ('/s/', Reuse.any, Reuse.reachable),
        ('/g/', Reuse.any, Reuse.reachable),
        ('/once/', Reuse.fresh, Reuse.reachable),
        ('/u/', Reuse.fresh, Reuse.fresh),
    ],
)
def test_a_request_uses_the_connections_that_its_kind_permits(
    path: str, without: Reuse, with_it: Reuse, *, streams_reuse: bool
) -> None:
    given = read_document(json.dumps(document(1)).encode())
    route = next(one for one in given.routes if one.prefix == path)
    call = DIALECT.read_call('POST', path, [])
    context = RequestContext(
        call=call,
        body=b'',
        route=route,
        pool=given.pools[route.targets[0].pool],
        account=None,
        version=given.version,
        arrived=0,
        deadline=1,
    )
    expected = with_it if streams_reuse else without
    assert permitted_reuse(context, streams_reuse=streams_reuse) is expected


@pytest.mark.parametrize(('table', 'streams_reuse'), [('', False), ('limits', True)])
def test_connections_are_reused_for_streams_where_settings_state_limits(
    table: str, *, streams_reuse: bool
) -> None:
    fields = {**settings_fields(), **({table: {'cores': 2}} if table else {})}
    entry = decode_settings(fields).entry
    assert entry is not None
    assert entry.stream_reuse is streams_reuse


async def kept(pool: ConnectionPool, count: int) -> list[Connection]:
    """Have connections to one upstream kept."""
    upstream = engine('e0')
    used = [await pool.acquire(upstream, reuse=Reuse.any) for _ in range(count)]
    for connection in used:
        pool.keep_alive(upstream, connection, [])
    return used


@pytest.mark.parametrize(
    ('seconds', 'streams_reuse', 'closed'),
    [
        (SILENT_SECONDS, True, True),
        (SILENT_SECONDS - 0.1, True, False),
        (SILENT_SECONDS, False, False),
    ],
)
async def test_after_a_kept_connection_was_silent_no_other_is_used(
    seconds: float, *, streams_reuse: bool, closed: bool
) -> None:
    pool = ConnectionPool(FakeClock(), streams_reuse=streams_reuse)
    first, second = await kept(pool, 2)
    used = await pool.acquire(engine('e0'), reuse=Reuse.any)
    assert used is second
    pool.abandon(engine('e0').name, used, seconds)
    assert used.closed
    assert first.closed is closed


async def test_a_new_connection_that_is_slow_closes_no_kept_one() -> None:
    pool = ConnectionPool(FakeClock(), streams_reuse=True)
    first = (await kept(pool, 1))[0]
    pool.abandon(engine('e0').name, FakeConnection(), SILENT_SECONDS)
    assert not first.closed


@pytest.mark.parametrize('streams_reuse', [False, True])
async def test_without_the_setting_connections_are_kept_as_long_as_before(
    *, streams_reuse: bool
) -> None:
    clock = FakeClock()
    pool = ConnectionPool(clock, streams_reuse=streams_reuse)
    first = (await kept(pool, 1))[0]
    clock.seconds += DEFAULT_IDLE_SECONDS
    used = await pool.acquire(engine('e0'), reuse=Reuse.any)
    assert (used is first) is streams_reuse


async def test_an_idle_peer_acknowledges_probes_until_it_is_gone() -> None:
    listener = socket.create_server(('127.0.0.1', 0))
    with listener, socket.create_connection(listener.getsockname()) as sock:
        enable_keepalive(sock)
        accepted, _ = listener.accept()
        with accepted:
            await asyncio.sleep(FRESH_SECONDS * 1.5)
            assert seconds_since_acknowledged(sock) < REACHABLE_SECONDS


@pytest.mark.parametrize(('streams_reuse', 'most'), [(False, 4), (True, 2)])
async def test_streams_that_follow_after_a_pause_share_a_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, most: int, *, streams_reuse: bool
) -> None:
    # With real sockets: each of two engines needs one connection at most.
    monkeypatch.undo()
    async with running_site(tmp_path) as site:
        pool = site.boxes[0].admission.dispatcher.sender.connections
        pool.streams_reuse = streams_reuse
        for number in range(4):
            assert (await site.ask_model('/once/', f'r{number}')).code == 200
            await asyncio.sleep(FRESH_SECONDS * 1.2)
        opened = sum(one.connections for one in site.workers if one.pool == 'llm')
    assert opened == pool.opened
    assert opened <= most
    assert (opened == 4) is not streams_reuse
