"""Callers that read slowly, and bodies and connections beyond the budgets of a box."""

import asyncio
import socket
from collections.abc import Callable
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
    SPOOL_BYTES,
    Budgets,
    ByteBudget,
    DescriptorBudget,
)
from hitchdeck_edge.serving.caller import CallerConnection
from standins.platform_site import Site, generation, running_site
from tests.edge.test_budgets import LIMIT, SHORT_SECONDS, WAIT_SECONDS, reading

EVENTS = 1000
SMALL_BUFFER = 4096


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
    assert spool.is_evicted
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
        # The connection is busy from before the engine reads the request, possibly for
        # less than one polling interval.
        await until(lambda: any(worker.seen for worker in site.workers))
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
        assert (await site.ask('/u/x', 'first')).code == 200
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
    caller_server.CallerServer._free_descriptors(server, ends[0][0])
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
