"""The link of a box to a scheduler that is slow, silent or lost."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import pytest

from hitchdeck_core.channels import require_fleet_token, serve
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, BoxName, UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.hub.placing import FleetSize, PlacingService
from hitchdeck_edge.links import placing
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.links.placing import PlacingLink
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.state.registry import Registry
from standins.ports import free_address
from tests.common.scheduling import FakeClock, engine, scheduler_of, wanted

Serving = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_on(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
    """Read every byte and send nothing, like a host behind a network partition."""
    await reader.read()


async def read_nothing(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read nothing, as a process that is stopped."""
    await asyncio.sleep(60)
    writer.close()


@asynccontextmanager
async def silent_hub(serving: Serving) -> AsyncIterator[Address]:
    """Run a hub that never answers."""
    server = await asyncio.start_server(serving, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield Address(f'127.0.0.1:{port}')
    finally:
        server.close()


@asynccontextmanager
async def running_link(hub: Address) -> AsyncIterator[PlacingLink]:
    """Run a link to the only known hub."""
    book = KnownHubs(BoxName('box'), 'a', [hub], boot_seconds)
    book.mark_reachable(hub)
    registry = Registry(boot_seconds, Signal())
    link = PlacingLink('box', book, registry, 'token', Shares(4, boot_seconds))
    task = asyncio.create_task(link.run())
    try:
        yield link
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


async def reached(link: PlacingLink, *, connected: bool) -> None:
    async with asyncio.timeout(15):
        while (link.scheduler is not None) is not connected:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('serving', [read_on, read_nothing])
async def test_a_scheduler_lost_without_a_close_is_abandoned(
    serving: Serving,
) -> None:
    # Guards against unequal shares: four boxes waited 60 ms for each of 1,300
    # answers of a hub that had lost power, and each then shared out capacity by
    # itself, because closing the stream waited for the first message of the hub.
    async with silent_hub(serving) as hub, running_link(hub) as link:
        await reached(link, connected=True)
        link.known_hubs.mark_unreachable(hub)
        await reached(link, connected=False)
        assert link.scheduler is None


async def test_progress_is_sent_without_polling() -> None:
    async with silent_hub(read_on) as hub, running_link(hub) as link:
        await reached(link, connected=True)
        async with asyncio.timeout(15):
            for number in range(50):
                link.report_failure(UpstreamName(str(number)))
                while link.outbox.frame.ByteSize():
                    await asyncio.sleep(0.001)
        assert link.scheduler == hub


@pytest.mark.parametrize('serving', [read_on, read_nothing])
async def test_a_scheduler_that_does_not_answer_is_abandoned(serving: Serving) -> None:
    async with silent_hub(serving) as hub, running_link(hub) as link:
        await reached(link, connected=True)
        async with asyncio.timeout(15):
            while link.scheduler is not None:
                assert await link.place(wanted()) is None


async def test_the_next_scheduler_is_connected_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A delay here makes every box place by itself for 0.3 s after a change.
    monkeypatch.setattr(placing, 'MAX_RETRY_DELAY_SECONDS', 1000)
    async with (
        silent_hub(read_on) as first,
        silent_hub(read_on) as second,
        running_link(first) as link,
    ):
        await reached(link, connected=True)
        link.known_hubs.reachable = {second}
        async with asyncio.timeout(15):
            while link.scheduler != second:
                await asyncio.sleep(0.01)


@asynccontextmanager
async def prompt_hub() -> AsyncIterator[Address]:
    """Run a hub that places every request on the engine ``e0``."""
    clock = FakeClock()
    service = PlacingService(scheduler_of(clock, 1), FleetSize(lambda: 1, clock))
    address = free_address()
    server = await serve([service], address, require_fleet_token('token'))
    try:
        yield address
    finally:
        server.close()


@pytest.mark.parametrize('seconds', [0.15, 0.3])
async def test_a_lagging_box_does_not_take_its_scheduler_for_lost(
    seconds: float,
) -> None:
    # Guards against a box without processor time, in an overloaded domain, that
    # abandons unread answers: it refused two of three requests by itself.
    async with prompt_hub() as hub, running_link(hub) as link:
        link.registry.merge(engine('e0'), 'test')
        await reached(link, connected=True)
        asked = asyncio.create_task(link.place(wanted()))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        # Blocks the event loop, as in a box whose processor share is used up.
        time.sleep(seconds)
        assert isinstance(await asked, Choice)
        assert not link.unanswered


@pytest.mark.parametrize(('busy', 'learned'), [(0.2, True), (0.95, False)])
async def test_nothing_is_learned_of_engines_from_a_lagging_box(
    monkeypatch: pytest.MonkeyPatch,
    busy: float,
    learned: bool,
) -> None:
    # Guards against an overloaded box that records first events seconds late: the
    # scheduler took every engine for slow and refused requests of other domains.
    monkeypatch.setattr(placing, 'loop_utilization', lambda: busy)
    clock = FakeClock()
    scheduler = scheduler_of(clock, 1)
    service = PlacingService(scheduler, FleetSize(lambda: 1, scheduler.now))
    address = free_address()
    server = await serve([service], address, require_fleet_token('token'))
    async with running_link(address) as link:
        link.registry.merge(engine('e0'), 'test')
        await reached(link, connected=True)
        choice = await link.place(wanted(tokens=4000))
        assert isinstance(choice, Choice)
        clock.seconds += 3
        link.track(choice.ticket, choice.upstream.name, choice.tokens)
        link.record_start(choice.ticket)
        async with asyncio.timeout(15):
            while scheduler.placement.open_work.waiting(choice.upstream.name):
                await asyncio.sleep(0.01)
        link.record_end(choice.ticket)
        async with asyncio.timeout(15):
            while scheduler.open:
                await asyncio.sleep(0.01)
    server.close()
    speed = scheduler.placement.speed
    assert bool(speed.seconds) == learned
    assert bool(speed.run_seconds) == learned
