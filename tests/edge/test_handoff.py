"""A box short of processor time hands off connections to boxes with spare time."""

import asyncio
import errno
import random
import select
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from unittest.mock import Mock

import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Hello, HubFrame
from hitchdeck_edge.hub.connected_boxes import (
    MAX_RELIEF_TARGETS,
    RELIEF_TARGET_UTILIZATION,
    RELIEF_UTILIZATION,
    ConnectedBox,
    ConnectedBoxes,
)
from hitchdeck_edge.process import EntryBox
from hitchdeck_edge.serving import caller_server, handoff
from hitchdeck_edge.serving.handoff import (
    GREETING,
    HANDOFF_FULL,
    HANDOFF_START,
    Handoff,
    should_hand_off,
)
from hitchdeck_edge.serving.overload import REJECT_LAG_SECONDS
from hitchdeck_edge.serving.relay_pump import READ_BYTES, Relay, RelayPump
from hitchdeck_edge.state.headroom import capacity_percent
from hitchdeck_edge.state.relief import (
    TARGETS_TTL_SECONDS,
    UNREACHABLE_SECONDS,
    ReliefTargets,
)
from standins.platform_site import Site, generation, running_site
from standins.ports import free_address
from tests.common.scheduling import FakeClock

WAIT_SECONDS = 15.0
SHORT_SECONDS = 0.1
SLOW_BYTES = 20_000_000
CONNECTION_LOST = (OSError, HTTPStreamClosedError)


@pytest.fixture
async def site(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Site]:
    """Return a site whose first box hands off every connection, if it has a target."""
    monkeypatch.setattr(caller_server, 'should_hand_off', lambda _busy: True)
    # On a loaded machine a running box may take longer to greet.
    monkeypatch.setattr(handoff, 'CONNECT_SECONDS', WAIT_SECONDS)
    async with running_site(tmp_path, hubs=1, boxes=2) as running:
        yield running


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


def enable_handoff(site: Site) -> tuple[EntryBox, EntryBox]:
    """Make the second box a handoff target of the first; return both."""
    first, second = site.boxes
    first.caller_server.handoff.targets.offer([second.settings.relief_listen or ''])
    return first, second


def relays(box: EntryBox) -> list[Relay]:
    return [one for one in box.caller_server.handoff.open if one.greeted]


def outcomes(box: EntryBox) -> Counter[str]:
    return box.admission.metrics.outcomes


async def test_requests_that_are_handed_off_are_served_elsewhere(site: Site) -> None:
    first, second = enable_handoff(site)
    for number in range(4):
        reply = await site.ask_model('/s/x', f's{number}')
        assert reply.code == 200
        assert reply.headers['Connection'] == 'close'
        assert (await site.ask('/u/x', f'u{number}')).code == 200
    assert not outcomes(first)
    assert outcomes(second).total() == 8
    await until(lambda: not first.caller_server.handoff.open)
    assert first.caller_server.handoff.handed_off == 8


async def test_an_unreachable_target_is_skipped_and_the_request_served(
    site: Site,
) -> None:
    first, second = site.boxes
    gone = free_address()
    first.caller_server.handoff.targets.offer([gone])
    assert (await site.ask('/u/x', 'here')).code == 200
    assert outcomes(first)['answered'] == 1
    assert not outcomes(second)
    assert first.caller_server.handoff.targets.choose() is None


async def test_a_disconnecting_caller_cancels_its_request_at_the_target(
    site: Site,
) -> None:
    first, second = enable_handoff(site)
    for worker in site.workers:
        worker.gap = 0.5
    host, port = first.settings.listen.split(':')
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(generation('left', 'key-of-ann', 'aa:10', '10,10', 4))
    await until(lambda: bool(second.admission.tasks))
    writer.transport.abort()
    await until(lambda: not second.admission.tasks)
    await until(lambda: not first.caller_server.handoff.open)


async def test_a_stopping_box_waits_for_the_connections_it_relays(site: Site) -> None:
    first, _ = enable_handoff(site)
    for worker in site.workers:
        worker.gap = 0.1
    asking = asyncio.create_task(site.ask_model('/once/x', 'slow'))
    await until(lambda: len(relays(first)) == 1)
    sock = relays(first)[0].target
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    await first.drain()
    await first.stop()
    assert (await asking).code == 200


async def test_nothing_is_sent_to_a_target_that_does_not_greet(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(handoff, 'CONNECT_SECONDS', SHORT_SECONDS)
    first, _ = site.boxes
    with listening() as frozen:
        first.caller_server.handoff.targets.offer([address_of(frozen)])
        assert (await site.ask('/u/x', 'here')).code == 200
        assert outcomes(first)['answered'] == 1
        accepted, _ = frozen.accept()
        with accepted:
            assert not accepted.recv(1)


async def test_callers_do_not_wait_for_a_target_that_stopped_answering(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, _ = site.boxes
    with listening() as frozen:
        targets = first.caller_server.handoff.targets
        targets.offer([address_of(frozen)])
        asking = asyncio.create_task(site.ask('/u/x', 'stuck'))
        accepted, _ = await asyncio.to_thread(frozen.accept)
        with accepted:
            accepted.send(GREETING)
            await until(lambda: len(relays(first)) == 1)
            monkeypatch.setattr(handoff, 'CONNECT_SECONDS', SHORT_SECONDS)
            assert (await site.ask('/u/x', 'next')).code == 200
            with pytest.raises(CONNECTION_LOST):
                await asyncio.wait_for(asking, WAIT_SECONDS)
    assert not first.caller_server.handoff.open


async def test_the_delay_of_the_box_itself_does_not_count_as_the_targets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a flooded box that marks every target unreachable.
    monkeypatch.setattr(handoff, 'CONNECT_SECONDS', SHORT_SECONDS)
    with listening() as target, handing_off(target) as (handing, caller):
        await asyncio.sleep(SHORT_SECONDS / 5)
        accepted, _ = target.accept()
        with accepted:
            accepted.send(GREETING)
            # Blocks the event loop for longer than a target may take.
            time.sleep(3 * SHORT_SECONDS)
            await until(lambda: handing.handed_off == 1)
            caller.send(b'x')
            assert await asyncio.to_thread(accepted.recv, 1) == b'x'
        assert handing.targets.choose() is not None


async def test_a_caller_that_reads_nothing_holds_a_bounded_number_of_bytes() -> None:
    with listening() as target, handing_off(target) as (handing, caller):
        accepted, _ = await asyncio.to_thread(target.accept)
        sent = GREETING + bytes(SLOW_BYTES)
        sending = asyncio.create_task(asyncio.to_thread(accepted.sendall, sent))
        # On a busy machine, the sending thread may begin after any fixed time.
        await until(lambda: any(relay.to_caller for relay in handing.open))
        await asyncio.sleep(3 * SHORT_SECONDS)
        held = [len(relay.to_caller) for relay in handing.open]
        assert 0 < sum(held) <= READ_BYTES
        assert not sending.done()
        read = await asyncio.to_thread(read_all, caller, SLOW_BYTES)
        accepted.close()
        assert read == SLOW_BYTES
        await until(lambda: not handing.open)


@contextmanager
def handing_off(target: socket.socket) -> Iterator[tuple[Handoff, socket.socket]]:
    """Hand off one connection to a listening socket; yield the caller's end too."""
    handing = Handoff(ReliefTargets(boot_seconds))
    handing.targets.offer([address_of(target)])
    caller, connection = socket.socketpair()
    connection.setblocking(False)
    with caller:
        assert handing.try_relay(connection)
        yield handing, caller
        handing.close()


def read_all(sock: socket.socket, size: int) -> int:
    received = 0
    while received < size:
        received += len(sock.recv(READ_BYTES))
    return received


def listening() -> socket.socket:
    return socket.create_server(('127.0.0.1', 0))


def address_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f'{host}:{port}'


@pytest.mark.parametrize(
    ('busy', 'chance'), [(0, 0), (HANDOFF_START, 0), (HANDOFF_FULL, 1), (1, 1)]
)
def test_connections_are_handed_off_by_utilization(busy: float, chance: int) -> None:
    assert sum(should_hand_off(busy) for _ in range(50)) == 50 * chance


def test_targets_expire_when_no_hub_lists_them() -> None:
    clock = FakeClock()
    targets = ReliefTargets(clock)
    assert targets.choose() is None
    targets.offer(['a:1'])
    targets.offer([])
    assert targets.choose() == 'a:1'
    targets.mark_unreachable(Address('a:1'))
    assert targets.choose() is None
    clock.seconds += UNREACHABLE_SECONDS
    targets.offer(['a:1'])
    clock.seconds += TARGETS_TTL_SECONDS / 2
    assert targets.choose() == 'a:1'
    clock.seconds += TARGETS_TTL_SECONDS
    assert targets.choose() is None


def connect_box(
    connected_boxes: ConnectedBoxes,
    name: str,
    domain: str,
    busy: float,
    capacity: float = 0,
) -> ConnectedBox:
    hello = Hello(
        box=name,
        domain=domain,
        entry_address=f'{name}:1',
        relief_address=f'{name}:2',
        capacity_percent=capacity_percent(capacity),
    )
    connected_box = connected_boxes.register(hello)
    connected_boxes.record_frame(
        connected_box, BoxFrame(ready=True, busy_percent=round(100 * busy))
    )
    return connected_box


def test_a_busy_box_receives_the_idlest_targets_of_its_domain() -> None:
    connected_boxes = ConnectedBoxes(FakeClock(), 'a')
    for number in range(20):
        connect_box(connected_boxes, f'a{number}', 'a', number / 100)
    connect_box(connected_boxes, 'full', 'a', RELIEF_TARGET_UTILIZATION + 0.1)
    connect_box(connected_boxes, 'far', 'b', 0)
    calm = connect_box(connected_boxes, 'calm', 'a', RELIEF_UTILIZATION)
    busy = connect_box(connected_boxes, 'busy', 'a', RELIEF_UTILIZATION + 0.1)
    assert not connected_boxes.relief_targets_for(calm)
    relief = connected_boxes.relief_targets_for(busy)
    assert relief == [f'a{number}:2' for number in range(MAX_RELIEF_TARGETS)]


def test_boxes_that_state_their_capacity_get_targets_by_headroom_and_early() -> None:
    connected_boxes = ConnectedBoxes(FakeClock(), 'a')
    connect_box(connected_boxes, 'small', 'a', 0.05, 0.4)
    connect_box(connected_boxes, 'large', 'a', 0.15, 1.3)
    busy = RELIEF_UTILIZATION - 0.1
    unstated = connect_box(connected_boxes, 'unstated', 'a', busy)
    stated = connect_box(connected_boxes, 'stated', 'a', busy, 0.4)
    assert not connected_boxes.relief_targets_for(unstated)
    frame = HubFrame()
    connected_boxes.add_relief_targets(frame, stated)
    assert frame.relief == ['large:2', 'small:2']
    assert frame.relief_headroom_percent == [26, 12]


def test_connections_are_handed_off_in_proportion_to_headroom() -> None:
    random.seed(1)
    targets = ReliefTargets(FakeClock())
    targets.offer(['large:2', 'small:2'], [90, 10])
    chosen = Counter(targets.choose() for _ in range(1000))
    assert chosen[Address('large:2')] == pytest.approx(900, abs=40)
    # A hub that does not state the headroom of its list.
    targets.offer(['large:2', 'small:2'])
    chosen = Counter(targets.choose() for _ in range(1000))
    assert chosen[Address('large:2')] == pytest.approx(500, abs=60)


@pytest.mark.parametrize('heeds_lag', [False, True])
def test_lag_calls_for_a_handoff_only_where_capacity_is_stated(heeds_lag: bool) -> None:
    handing = Handoff(ReliefTargets(FakeClock()), heeds_lag=heeds_lag)
    assert handing.is_late(REJECT_LAG_SECONDS + 0.01) is heeds_lag
    assert not handing.is_late(REJECT_LAG_SECONDS)


async def test_a_box_reports_the_capacity_of_its_settings(site: Site) -> None:
    link = site.boxes[0].link
    hub = Address(site.hubs[0].settings.listen)
    assert link.next_frame(hub, False, True).hello.capacity_percent == 0
    link.settings = replace(link.settings, capacity=0.387)
    assert link.next_frame(hub, False, True).hello.capacity_percent == 39


async def test_a_handoff_without_descriptors_leaves_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against serving a caller twice, here and later through the relay.
    targets = ReliefTargets(boot_seconds)
    handing = Handoff(targets)
    no_descriptor = Mock(side_effect=OSError(errno.EMFILE, 'no descriptor'))
    monkeypatch.setattr(select, 'epoll', no_descriptor)
    with listening() as target, socket.socket() as caller:
        targets.offer([address_of(target)])
        assert not handing.try_relay(caller)
        assert not handing.open
        assert not handing.pump.pending
        assert targets.choose() is not None


async def test_an_unexpected_error_ends_only_its_relay() -> None:
    # Guards against one error that stops all relays for good.
    failing = Mock(side_effect=ValueError('unexpected'))
    with listening() as good, listening() as bad:
        pump = RelayPump(boot_seconds, Mock(), Mock(), failing)
        pump.greeting_seconds = WAIT_SECONDS
        callers = [socket.socketpair() for _ in range(2)]
        for pair in callers:
            pair[0].setblocking(False)
            pair[1].settimeout(SHORT_SECONDS)
        pump.start(callers[0][0], address_of(bad))
        pump.start(callers[1][0], address_of(good))
        bad.accept()[0].close()
        await until(lambda: len(pump.open) == 1)
        assert callers[0][1].recv(1) == b''
        accepted, _ = good.accept()
        with accepted:
            accepted.send(GREETING)
            await until(lambda: all(one.greeted for one in pump.open))
        pump.close()
        for pair in callers:
            pair[1].close()


async def test_only_relays_that_were_greeted_are_aborted_for_silence() -> None:
    # Guards against closing callers that could still be served here.
    handing = Handoff(ReliefTargets(boot_seconds))
    with listening() as target, socket.socket() as caller:
        handing.targets.offer([address_of(target)])
        assert handing.try_relay(caller)
        handing._abort_if_silent(next(iter(handing.open)).address, boot_seconds())
        assert len(handing.open) == 1
        handing.close()


async def test_slow_processing_does_not_count_against_a_target() -> None:
    clock = FakeClock()
    failed = Mock()
    with listening() as target, socket.socket() as caller:
        pump = RelayPump(clock, Mock(), Mock(), failed)
        pump.greeting_seconds = 1
        pump.start(caller, address_of(target))
        poller = Mock()
        poller.poll.side_effect = lambda _: setattr(clock, 'seconds', 2000) or ()
        pump._poll_once(poller)
        assert not failed.called
        pump._poll_once(poller)
        assert failed.called
        pump.close()
