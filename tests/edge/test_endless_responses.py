"""A response without an end is given up by its size, long before the deadline."""

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

import pytest

from hitchdeck_edge.dispatch.response_sizes import MAX_EVENT_BYTES, ResponseLimits
from hitchdeck_edge.dispatch.sender import Sender
from hitchdeck_edge.serving.budgets import ByteBudget
from standins.platform_site import Site, running_site
from standins.platform_worker import Worker
from standins.worker_faults import Fault
from tests.common.asking import choose_by_name, of_pool
from tests.common.raw_callers import Received, caller_request, receive

PIECE = bytes(65_536)
LIMIT_BYTES = 2_000_000
SOCKET_BYTES = 12_000_000
"""More than the kernel holds of a connection on loopback."""

CLOSE_SECONDS = 1.5
"""Half of the deadline, and far more than reading up to the limit takes."""

SEALED = b'Attempt-Id: ATTEMPT\r\nServer-Seal: any\r\n'
OTHER = b'Attempt-Id: other\r\nServer-Seal: any\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
EVENTS = b'Content-Type: text/event-stream\r\n'
SIZED = b'Content-Length: 999999999999\r\n'


def head(status: int, *fields: bytes) -> bytes:
    return b'HTTP/1.1 %d Any\r\n%b\r\n' % (status, b''.join(fields))


def chunk(data: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


class Endless(NamedTuple):
    """A response without an end: its kind of route, its beginning and the rest."""

    path: str
    pool: str
    begin: bytes
    rest: bytes
    status: int = 502


RESPONSES = {
    'success in chunks': Endless(
        '/u/', 'app', head(200, SEALED, CHUNKED), chunk(PIECE)
    ),
    'success until close': Endless('/u/', 'app', head(200, SEALED), PIECE),
    'success of a length': Endless('/u/', 'app', head(200, SEALED, SIZED), PIECE),
    'server error': Endless('/u/', 'app', head(500, SEALED, CHUNKED), chunk(PIECE)),
    'rejection': Endless('/u/', 'app', head(404, SEALED, CHUNKED), chunk(PIECE)),
    'answer to another': Endless('/u/', 'app', head(200, OTHER, CHUNKED), chunk(PIECE)),
    'rejected stream': Endless('/once/', 'llm', head(413, SEALED), PIECE),
    'stream of another type': Endless(
        '/once/', 'llm', head(200, SEALED, b'Content-Type: a/b\r\n'), PIECE, 200
    ),
    'one event': Endless('/once/', 'llm', head(200, SEALED, EVENTS), PIECE, 200),
    'event in chunks': Endless(
        '/once/', 'llm', head(200, SEALED, EVENTS, CHUNKED), chunk(b'a' * 999), 200
    ),
}


def sender_of(site: Site) -> Sender:
    return site.boxes[0].admission.dispatcher.sender


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site whose box sends each request to the same worker first."""
    async with running_site(tmp_path) as running:
        choose_by_name(running.boxes[0])
        sender = sender_of(running)
        sender.response_limits = ResponseLimits(
            LIMIT_BYTES, ByteBudget(4 * LIMIT_BYTES)
        )
        yield running


async def ask(site: Site, response: Endless, number: int = 0) -> Received:
    model = {'Model': 'm', 'Token_Count': '300,40', 'Prompt_Prefix': 'aa:300'}
    more = model if response.pool == 'llm' else {}
    request = caller_request(response.path, f'r{number}', **more)
    return await receive(site.boxes[0].settings.listen, request)


def answer_without_end(worker: Worker, response: Endless, times: int = 1) -> None:
    worker.script, worker.endless = response.begin, response.rest
    worker.misbehave(Fault.endless, times)


async def until_left(worker: Worker, count: int) -> None:
    async with asyncio.timeout(CLOSE_SECONDS):
        while len(worker.left) < count:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('name', RESPONSES)
async def test_a_response_without_an_end_is_given_up_by_its_size(
    site: Site, name: str
) -> None:
    # A box gathered 200 MB of one response in 15 s, until the request's deadline.
    response = RESPONSES[name]
    worker = of_pool(site, response.pool)[0]
    answer_without_end(worker, response)
    asked = time.monotonic()
    received = await ask(site, response)
    assert time.monotonic() - asked < CLOSE_SECONDS
    assert received.status == response.status
    assert not received.succeeded
    await until_left(worker, 1)
    assert worker.endless_bytes < max(LIMIT_BYTES, MAX_EVENT_BYTES) + SOCKET_BYTES
    assert not sender_of(site).connections.busy


async def test_a_repeatable_call_is_answered_by_another_upstream(site: Site) -> None:
    worker = of_pool(site, 'app')[0]
    answer_without_end(worker, RESPONSES['success in chunks'])
    reply = await site.ask('/g/', 'r1')
    assert reply.code == 200
    await until_left(worker, 1)


async def test_many_responses_without_an_end_share_one_budget(site: Site) -> None:
    dispatcher = site.boxes[0].admission.dispatcher
    budget = dispatcher.sender.response_limits.budget
    dispatcher.budget.share = 0
    dispatcher.budget.extra = 0
    held = []
    resize = budget.resize

    def record(holding, size):  # type: ignore[no-untyped-def]
        resize(holding, size)
        held.append(budget.held)

    budget.resize = record  # type: ignore[method-assign]
    count = 16
    worker = of_pool(site, 'app')[0]
    answer_without_end(worker, RESPONSES['success in chunks'], count)
    response = RESPONSES['success in chunks']
    replies = await asyncio.gather(
        *(ask(site, response, number) for number in range(count))
    )
    assert {one.status for one in replies} == {502}
    assert 0 < max(held) <= budget.limit
    assert not budget.held
    assert dispatcher.sender.response_limits.given_up >= count


async def test_a_large_sound_response_passes_whole(site: Site) -> None:
    worker = of_pool(site, 'app')[0]
    body = bytes(range(250)) * 7_000
    worker.script = head(200, SEALED, b'Content-Length: %d\r\n' % len(body)) + body
    worker.misbehave(Fault.scripted)
    reply = await site.ask('/u/', 'r1')
    assert (reply.code, reply.body) == (200, body)
    assert not sender_of(site).response_limits.budget.held
