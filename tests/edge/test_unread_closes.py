"""A close that the machine has received counts before the event loop has read it.

Guards against sending a request for a caller that has already disconnected.  When a box
lags behind its sockets, the close lies unread behind the work that it should cancel,
and the deadline does not help, since it had six more seconds.  A box lagged by seconds:
its readiness check got no answer from 15.487 s to 17.984 s, and 122 of the attempts
that it should have answered failed in one second.  A caller that had waited four
seconds for the first event of its stream closed its connection at 21.971 s.  The
request reached an engine at 23.500 s, which ran it to the end at 24.144 s for nobody;
the box had not logged the close yet.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.request_context import RequestContext
from standins.platform_site import HOST, KEY, Site, running_site

PROMPT = 'Model: m\r\nToken-Count: 300,40\r\nPrompt-Prefix: aa:100,bb:200\r\n'
WARMUP_REQUESTS = 6
"""Enough requests to leave an idle connection to each upstream of a pool."""


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site of one hub and one box, with idle connections to upstreams."""
    async with running_site(tmp_path) as running:
        for number in range(WARMUP_REQUESTS):
            await running.ask_model('/s/', f's{number}')
            await running.ask('/u/', f'u{number}')
        yield running


def before_each_send(site: Site, act: Callable[[], None]) -> None:
    """Run a function between the choice of an upstream and the sending.

    The event loop does not run in between, as in a box that lags.
    """
    chooser = site.boxes[0].admission.dispatcher.chooser
    choose = chooser.choose

    async def choose_and_act(context: RequestContext) -> Choice | Refusal:
        choice = await choose(context)
        act()
        return choice

    chooser.choose = choose_and_act  # type: ignore[method-assign]


def send_request(site: Site, path: str, fields: str) -> socket.socket:
    """Send a request on a plain socket, and return the open socket."""
    host, _, port = site.boxes[0].settings.listen.rpartition(':')
    caller = socket.create_connection((host, int(port)))
    head = f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: left\r\n'
    key = f'Authorization: Token {KEY}\r\nDeadline-Ms: 3000\r\n'
    caller.sendall(f'{head}{key}{fields}Content-Length: 0\r\n\r\n'.encode())
    return caller


@pytest.mark.parametrize(('path', 'fields'), [('/u/', ''), ('/s/', PROMPT)])
async def test_nothing_is_sent_for_a_caller_whose_close_is_not_read_yet(
    site: Site,
    path: str,
    fields: str,
) -> None:
    caller = send_request(site, path, fields)
    chosen = asyncio.Event()

    def disconnect() -> None:
        caller.close()
        chosen.set()

    before_each_send(site, disconnect)
    async with asyncio.timeout(15):
        await chosen.wait()
        while site.boxes[0].admission.tasks:
            await asyncio.sleep(0.01)
    assert not any(
        one.attempt == 'left' for worker in site.workers for one in worker.seen
    )
    # The scheduler releases the slot as well.
    scheduler = site.hubs[0].placing.scheduler
    async with asyncio.timeout(15):
        while scheduler.open:
            await asyncio.sleep(0.01)


async def test_a_kept_connection_whose_close_is_not_read_yet_is_not_used(
    site: Site,
) -> None:
    # If the upstream closes an idle connection, it is unknown whether a request sent
    # on it ran, and a request that may not run twice is lost.
    before_each_send(site, lambda: end_idle_connections(site))
    reply = await site.ask('/u/', 'whole')
    assert reply.code == 200


def end_idle_connections(site: Site) -> None:
    """Have every plain worker close its idle connections without running the loop."""
    for worker in site.workers:
        for kept in worker.open if worker.pool == 'app' else ():
            kept.get_extra_info('socket').shutdown(socket.SHUT_RDWR)
