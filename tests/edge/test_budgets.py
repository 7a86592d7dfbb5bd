"""Budgets of bytes and descriptors: reading stops first, then requests are evicted."""

import asyncio
import socket
import time
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import cast
from unittest.mock import Mock

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from hitchdeck_core.sockets import listening_socket, prepare_for_slow_callers
from hitchdeck_edge.dispatch.spool import CallerSpool
from hitchdeck_edge.errors import CallerDisconnectedError
from hitchdeck_edge.serving import budgets, caller_server
from hitchdeck_edge.serving.budgets import (
    EXHAUSTED_SECONDS,
    FILE_DESCRIPTORS,
    MAX_RELAYS,
    READ_FRACTION,
    RESERVED_DESCRIPTORS,
    SPOOL_BYTES,
    STALL_SECONDS,
    Budgets,
    ByteBudget,
    DescriptorBudget,
    Holding,
    budgets_of,
)
from hitchdeck_edge.serving.caller import CallerConnection
from standins.platform_site import Site, generation, running_site
from tests.common.scheduling import FakeClock

LIMIT = 1000
WAIT_SECONDS = 15.0
SHORT_SECONDS = 0.1
EVENTS = 1000
SMALL_BUFFER = 4096


def reading(budget: ByteBudget, account: str, size: int = 0) -> Holding:
    """Return a holding for a request that is being read, and can be evicted."""
    holding = budget.open_reading(account, lambda: None)
    budget.resize(holding, size)
    return holding


def test_reading_stops_at_part_of_the_budget_but_for_the_oldest_request() -> None:
    # Guards against requests that were read in part and wait for one another.
    budget = ByteBudget(LIMIT)
    oldest, next_one = reading(budget, 'a', 100), reading(budget, 'b', 100)
    assert budget.may_read(next_one)
    budget.resize(next_one, int(READ_FRACTION * LIMIT))
    assert not budget.may_read(next_one)
    assert budget.may_read(oldest)
    budget.end_reading(oldest)
    assert budget.may_read(next_one)


def test_the_account_that_holds_most_gives_way_with_its_largest_request() -> None:
    gone: list[str] = []
    budget = ByteBudget(LIMIT)
    for account, size in (('a', 300), ('b', 200), ('b', 250), ('a', 10)):
        holding = budget.open(
            account, lambda name=f'{account}{size}': gone.append(name)
        )
        budget.resize(holding, size)
    budget.resize(budget.open('c'), LIMIT - budget.held)
    assert not gone
    budget.resize(holding, 11)
    budget.resize(holding, 11)
    assert gone == ['b250']
    assert budget.held == LIMIT + 1 - 250


def test_no_other_account_gives_way_for_bodies_in_service() -> None:
    # Guards against breaking off many responses although that frees next to nothing.
    gone: list[str] = []
    budget = ByteBudget(LIMIT)
    innocent = budget.open('a', lambda: gone.append('a'))
    budget.resize(innocent, 10)
    budget.resize(budget.open('b'), LIMIT)
    budget.resize(innocent, 20)
    assert not gone
    assert not budget.may_read(reading(budget, 'c'))


def test_a_body_fits_up_to_the_limit() -> None:
    budget = ByteBudget(LIMIT)
    budget.resize(budget.open('a'), 100)
    assert budget.fits(LIMIT - 100)
    assert not budget.fits(LIMIT - 99)
    assert ByteBudget(0).fits(10**12)


def test_nothing_gives_way_without_a_limit() -> None:
    budget = ByteBudget(0)
    holding = reading(budget, 'a', 10**12)
    assert budget.may_read(holding)
    assert not budget.may_spool(holding)
    assert holding in budget.holdings


async def test_a_request_whose_rest_does_not_come_gives_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a caller that sends half of a large body and then nothing.
    monkeypatch.setattr(budgets, 'STALL_SECONDS', SHORT_SECONDS)
    budget = ByteBudget(LIMIT)
    stuck, waiting = reading(budget, 'a', 500), reading(budget, 'b', 100)
    async with asyncio.timeout(WAIT_SECONDS):
        await budget.wait_to_read(waiting)
    assert stuck not in budget.holdings
    assert waiting in budget.holdings


async def test_a_stalled_request_gives_way_under_traffic(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against releases of other requests that hide that one has stalled.
    monkeypatch.setattr(budgets, 'STALL_SECONDS', SHORT_SECONDS)
    budget = ByteBudget(LIMIT)
    stuck, waiting = reading(budget, 'a', 500), reading(budget, 'b', 100)
    reader = asyncio.create_task(budget.wait_to_read(waiting))
    async with asyncio.timeout(WAIT_SECONDS):
        while not reader.done():
            budget.close(reading(budget, 'c', 10))
            await asyncio.sleep(SHORT_SECONDS / 10)
    assert stuck not in budget.holdings


async def test_a_request_that_waits_too_long_is_to_be_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(budgets, 'STALL_SECONDS', SHORT_SECONDS)
    budget = ByteBudget(LIMIT)
    budget.resize(budget.open('a'), LIMIT)
    async with asyncio.timeout(WAIT_SECONDS):
        assert not await budget.wait_to_read(reading(budget, 'b'))
    assert budget.evicted == 0


def test_a_stalled_request_passes_its_turn_on() -> None:
    clock = FakeClock()
    budget = ByteBudget(LIMIT, clock)
    budget.resize(budget.open('d'), 500)
    stuck, oldest = reading(budget, 'a', 10), reading(budget, 'b', 10)
    assert not budget.may_read(oldest)
    clock.seconds += STALL_SECONDS
    budget.resize(oldest, 20)
    assert budget.may_read(oldest)
    budget.resize(stuck, 20)
    assert not budget.may_read(oldest)


def test_only_stalled_requests_are_evicted_for_one_that_waits() -> None:
    clock = FakeClock()
    budget = ByteBudget(LIMIT, clock)
    reading(budget, 'a', 300)
    other, spooled = reading(budget, 'b', 200), budget.open('a', lambda: None)
    budget.resize(spooled, 400)
    clock.seconds += STALL_SECONDS / 2
    budget.make_room_of_stalled()
    assert budget.evicted == 0
    clock.seconds += STALL_SECONDS / 2
    budget.make_room_of_stalled()
    budget.make_room_of_stalled()
    assert list(budget.holdings) == [other, spooled]


async def test_a_waiting_request_is_read_on_as_soon_as_another_was_read() -> None:
    # Guards against breaking off a request that was served meanwhile.
    budget = ByteBudget(LIMIT)
    oldest, waiting = reading(budget, 'a', 500), reading(budget, 'b', 100)
    reader = asyncio.create_task(budget.wait_to_read(waiting))
    await asyncio.sleep(0)
    budget.end_reading(oldest)
    await asyncio.wait_for(reader, SHORT_SECONDS)
    assert budget.evicted == 0


async def test_nothing_gives_way_after_a_suspension_before_input_was_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(budgets, 'STALL_SECONDS', SHORT_SECONDS)
    budget = ByteBudget(LIMIT)
    oldest, waiting = reading(budget, 'a', 500), reading(budget, 'b', 100)
    reader = asyncio.create_task(budget.wait_to_read(waiting))
    await asyncio.sleep(0)
    time.sleep(2 * SHORT_SECONDS)
    # The rest of the oldest request is processed a turn after its input was found.
    for _ in range(3):
        await asyncio.sleep(0)
    budget.end_reading(oldest)
    await asyncio.wait_for(reader, WAIT_SECONDS)
    assert budget.evicted == 0


def test_descriptors_are_scarce_before_all_are_open() -> None:
    descriptors = DescriptorBudget(1638)
    most = 1638 - FILE_DESCRIPTORS - RESERVED_DESCRIPTORS
    for descriptor, scarce in ((most - 1, False), (most, True), (5, False)):
        descriptors.record_accepted(descriptor)
        assert descriptors.scarce is scarce
    assert descriptors.may_relay(100)
    assert not descriptors.may_relay(most // 8 + 1)


def test_descriptors_without_a_limit_are_never_scarce() -> None:
    descriptors = DescriptorBudget(0)
    descriptors.record_accepted(10**6)
    assert not descriptors.scarce
    assert descriptors.may_relay(MAX_RELAYS - 1)
    assert not descriptors.may_relay(MAX_RELAYS)


def test_budgets_grow_with_the_limits_and_are_off_without_them() -> None:
    sizes = [budgets_of(memory, 0).bytes.limit for memory in (1e6, 160e6, 200e6, 440e6)]
    assert all(smaller < larger for smaller, larger in pairwise(sizes))
    assert budgets_of(0, 0).bytes.limit == 0
    assert not budgets_of(0, 0).descriptors.usable


class SlowCaller:
    """A caller that reads only when told to."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.pending: asyncio.Future[None] | None = None
        self.aborted = False

    def write(
        self, data: bytes, on_written: Callable[[], None]
    ) -> asyncio.Future[None]:
        self.written.append(data)
        self.pending = asyncio.get_running_loop().create_future()
        self.pending.add_done_callback(lambda _: on_written())
        return self.pending

    def abort(self) -> None:
        self.aborted = True

    def read(self) -> None:
        assert self.pending is not None
        self.pending.set_result(None)


def spool_of(caller: SlowCaller, budget: ByteBudget) -> CallerSpool:
    return CallerSpool(cast(CallerConnection, caller), budget, 'r', 'ann')


async def test_a_spool_takes_a_stream_that_its_caller_does_not_read() -> None:
    caller = SlowCaller()
    budget = ByteBudget(4 * SPOOL_BYTES)
    spool = spool_of(caller, budget)
    for part in (b'a', b'b', b'c'):
        assert spool.write(part) is None
    assert budget.held == 3
    draining = asyncio.create_task(spool.drain())
    for _ in range(2):
        caller.read()
        await asyncio.sleep(0)
    await draining
    assert caller.written == [b'a', b'bc']
    assert budget.held == 0


async def test_a_full_spool_stops_reading_from_the_upstream() -> None:
    caller = SlowCaller()
    spool = spool_of(caller, ByteBudget(4 * SPOOL_BYTES))
    assert spool.write(bytes(SPOOL_BYTES - 1)) is None
    pending = spool.write(b'bb')
    assert pending is not None
    waiting = asyncio.ensure_future(pending)
    await asyncio.sleep(0)
    assert not waiting.done()
    caller.read()
    async with asyncio.timeout(WAIT_SECONDS):
        await waiting


async def test_a_spool_that_gives_way_breaks_its_response_off() -> None:
    # Guards against a response that looks complete although its end was discarded.
    caller = SlowCaller()
    budget = ByteBudget(LIMIT)
    spool = spool_of(caller, budget)
    room = spool.write(bytes(600))
    assert room is not None
    waiting = asyncio.ensure_future(room)
    budget.resize(budget.open('bob'), 500)
    assert caller.aborted
    assert budget.evicted == 1
    with pytest.raises(CallerDisconnectedError):
        spool.write(b'more')
    caller.read()
    with pytest.raises(CallerDisconnectedError):
        await spool.drain()
    async with asyncio.timeout(WAIT_SECONDS):
        await waiting


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


def limit(site: Site, size: float) -> ByteBudget:
    """Limit the bytes that the first box holds."""
    known = Budgets(ByteBudget(size))
    box = site.boxes[0]
    box.caller_server.budgets = known
    box.admission.budgets = known
    box.admission.dispatcher.held_bytes = known.bytes
    return known.bytes


async def test_bytes_of_served_requests_are_released(tmp_path: Path) -> None:
    async with running_site(tmp_path) as site:
        budget = limit(site, 10**6)
        for number in range(3):
            assert (await site.ask_model('/s/x', f's{number}')).code == 200
            assert (await site.ask('/u/x', f'u{number}')).code == 200
        await until(lambda: not budget.holdings)
        assert budget.held == 0


@pytest.mark.parametrize('limited', [True, False])
async def test_a_stream_ends_at_its_engine_before_a_slow_caller_reads_it(
    tmp_path: Path, limited: bool
) -> None:
    # Guards against an engine that cuts a stream off as it is left unread.
    async with running_site(tmp_path) as site:
        box = site.boxes[0]
        limit(site, 10**6 if limited else 0)
        for worker in site.workers:
            worker.events, worker.gap = EVENTS, 0
        for listener, _ in box.caller_server.listeners:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        caller.connect(split_address(Address(box.settings.listen)))
        caller.sendall(generation('slow', 'key-of-ann', 'aa:10', '10,10', 4))
        connections = box.admission.dispatcher.sender.connections
        await until(lambda: any(connections.busy.values()))
        if limited:
            await until(lambda: not any(connections.busy.values()))
        else:
            await asyncio.sleep(5 * SHORT_SECONDS)
            assert any(connections.busy.values())
        assert box.admission.tasks
        caller.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=caller)
        async with asyncio.timeout(WAIT_SECONDS):
            answer = await reader.readuntil(b'0\r\n\r\n')
        assert answer.count(b'id: ') == EVENTS
        writer.close()


async def test_a_body_that_does_not_fit_is_not_read(tmp_path: Path) -> None:
    # Guards against a process that ends for lack of memory under large bodies.
    async with running_site(tmp_path) as site:
        budget = limit(site, 10**6)
        host, port = site.boxes[0].settings.listen.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(generation('large', 'key-of-ann', 'aa:10', '10,10', 10_000_000))
        async with asyncio.timeout(WAIT_SECONDS):
            assert b' 503 ' in await reader.readline()
        assert budget.held == budget.evicted == 0
        assert not site.boxes[0].admission.tasks
        assert (await site.ask('/u/x', 'next')).code == 200
        writer.close()


async def test_reading_of_bodies_stops_while_the_budget_is_used(
    tmp_path: Path,
) -> None:
    async with running_site(tmp_path) as site:
        budget = limit(site, 10**6)
        oldest = reading(budget, 'bob', 500_000)
        host, port = site.boxes[0].settings.listen.split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(generation('large', 'key-of-ann', 'aa:10', '10,10', 400_000))
        await until(lambda: len(budget.holdings) == 2)
        await asyncio.sleep(SHORT_SECONDS)
        assert not site.boxes[0].admission.tasks
        read = budget.held - oldest.size
        assert 0 < read < 400_000
        budget.close(oldest)
        await until(lambda: not budget.holdings)
        assert budget.evicted == 0
        writer.close()


async def test_a_body_that_is_complete_does_not_wait(tmp_path: Path) -> None:
    # Guards against requests that are delayed or refused although they were read.
    async with running_site(tmp_path) as site:
        budget = limit(site, 10**6)
        reading(budget, 'bob', 600_000)
        assert (await site.ask_model('/s/x', 'complete')).code == 200
        assert budget.evicted == 0


async def test_a_body_that_waits_too_long_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(budgets, 'STALL_SECONDS', SHORT_SECONDS)
    async with running_site(tmp_path) as site:
        budget = limit(site, 10**6)
        other = budget.open('bob')
        budget.resize(other, 599_000)
        host, port = site.boxes[0].settings.listen.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        sent = generation('large', 'key-of-ann', 'aa:10', '10,10', 400_000)
        writer.write(sent[:1000])
        await until(lambda: len(budget.holdings) == 2)
        budget.resize(other, 10**6)
        writer.write(sent[1000:])
        async with asyncio.timeout(WAIT_SECONDS):
            assert b' 503 ' in await reader.readline()
        assert list(budget.holdings) == [other]
        assert not site.boxes[0].admission.tasks
        writer.close()


async def test_an_evicted_request_is_not_served() -> None:
    # Guards against serving a request whose connection was closed on purpose.
    served: list[caller_server.IncomingRequest] = []
    known = Budgets(ByteBudget(LIMIT))
    server = Mock(budgets=known, serve=served.append, account_field='key')
    incoming = caller_server.IncomingRequest(Mock(), server)
    start = RequestStartLine('POST', '/', 'HTTP/1.1')
    incoming.headers_received(start, HTTPHeaders({'Content-Length': '2'}))
    assert incoming.data_received(b'ab') is None
    known.bytes.make_room()
    incoming.finish()
    assert not served


async def test_idle_connections_are_closed_before_requests_are_rejected(
    tmp_path: Path,
) -> None:
    # Guards against a process without descriptors that accepts no connection.
    async with running_site(tmp_path) as site:
        limit(site, 10**6)
        site.boxes[0].admission.budgets.descriptors.usable = 1
        server = site.boxes[0].caller_server
        host, port = site.boxes[0].settings.listen.split(':')
        idle, _ = await asyncio.open_connection(host, int(port))
        await until(lambda: len(server.idle) == 1)
        assert (await site.ask('/u/x', 'spared')).code == 200
        async with asyncio.timeout(WAIT_SECONDS):
            assert await idle.read() == b''
        await until(lambda: not server.idle)
        assert (await site.ask('/u/x', 'rejected')).code == 503


def test_a_connection_with_an_unread_request_is_not_closed_as_idle() -> None:
    # Guards against a reset after which a caller can't tell whether its call ran.
    server = Mock(budgets=Budgets(descriptors=DescriptorBudget(1)))
    ends = [socket.socketpair() for _ in range(2)]
    unread, unused = (Mock(socket=pair[0], closed=bool) for pair in ends)
    server.idle = dict.fromkeys((unread, unused))
    ends[0][1].send(b'GET')
    caller_server.CallerServer._spare_descriptors(server, ends[0][0])
    assert unused.close.called
    assert not unread.close.called
    for pair in ends:
        pair[0].close()
        pair[1].close()


def test_callers_may_read_nothing_for_longer_than_a_lost_host_is_kept() -> None:
    with listening_socket('127.0.0.1', 0) as listener:
        before = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        prepare_for_slow_callers(listener)
        after = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert before < 15_000
        assert after > 15_000


def test_requests_are_rejected_only_for_a_while_after_descriptors_ran_out() -> None:
    # Guards against rejections that last until someone happens to connect.
    clock = FakeClock()
    descriptors = DescriptorBudget(1000, clock)
    descriptors.record_accepted(999)
    descriptors.record_closed(0)
    assert descriptors.exhausted
    clock.seconds += EXHAUSTED_SECONDS
    assert not descriptors.exhausted
