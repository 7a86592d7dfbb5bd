"""Once a stream has begun, its next upstream continues it, or the stream is cut."""

import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.platform_site import Site, document, route, running_site
from standins.worker_bodies import events
from standins.worker_faults import Fault
from tests.common.asking import choose_by_name, of_pool
from tests.common.raw_callers import Received, caller_request, receive

EVENTS = 5
CUT_AT = 2
AT_ONCE_SECONDS = 0.6
"""Far below the deadline of 3 s, and more than a busy machine takes."""

RETRIES = 1000
"""Retry budget of a site: no test is about it."""

STREAM = b''.join(events('', EVENTS))
BEGUN = b''.join(events('', CUT_AT))
SEALED = b'Attempt-Id: ATTEMPT\r\nServer-Seal: any\r\n'
TYPED = b'Content-Type: text/event-stream\r\n'


def answer(status: bytes, headers: bytes, body: bytes = b'') -> bytes:
    size = b'' if status.startswith(b'204') else b'Content-Length: %d\r\n' % len(body)
    return b'HTTP/1.1 %b\r\n%b%b\r\n%b' % (status, headers, size, body)


REST = b''.join(events(str(CUT_AT), EVENTS))
OTHER_ANSWERS = {
    'redirect': answer(b'302 Found', SEALED + b'Location: /\r\n'),
    'bad request': answer(b'400 Bad Request', SEALED, b'bad'),
    'not found': answer(b'404 Not Found', SEALED, b'none'),
    'early rejection': answer(b'413 Content Too Large', SEALED, b'too large'),
    'server error': answer(b'500 Oops', SEALED, b'oops'),
    'not run': answer(b'503 Full', SEALED + b'Not-Executed: 1\r\n', b'full'),
    'no content': answer(b'204 No Content', SEALED),
    'partial content': answer(b'206 Partial Content', SEALED + TYPED, REST),
    'another type': answer(b'200 OK', SEALED + b'Content-Type: text/plain\r\n', REST),
    'encoded': answer(b'200 OK', SEALED + b'Content-Encoding: gzip\r\n', REST),
    'unsealed': answer(b'200 OK', b'Attempt-Id: ATTEMPT\r\n' + TYPED, REST),
    'from the start': answer(b'200 OK', SEALED + TYPED, STREAM),
    'last event again': answer(b'200 OK', SEALED + TYPED, STREAM[len(BEGUN) // 2 :]),
    'another kind of id': answer(b'200 OK', SEALED + TYPED, b'id: x\ndata: v1\n\n'),
}


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site whose box sends each request to the engines in one order."""
    async with running_site(tmp_path) as running:
        running.boxes[0].admission.dispatcher.budget.share = RETRIES
        choose_by_name(running.boxes[0])
        yield running


async def ask(site: Site, **more: str) -> Received:
    headers = {'Model': 'm', 'Token_Count': '300,40', 'Prompt_Prefix': 'aa:300'}
    request = caller_request('/s/', 'r1', **headers, **more)
    return await receive(site.boxes[0].settings.listen, request)


@pytest.mark.parametrize('name', OTHER_ANSWERS)
async def test_an_answer_that_is_no_continuation_cuts_the_stream(
    site: Site, name: str
) -> None:
    # Its head was written among the chunks of the stream, which did not end.
    first, second = of_pool(site, 'llm')
    first.misbehave(Fault.cut)
    second.misbehave(Fault.scripted)
    second.script = OTHER_ANSWERS[name]
    asked = time.monotonic()
    received = await ask(site)
    assert time.monotonic() - asked < AT_ONCE_SECONDS
    assert (received.status, received.body) == (200, BEGUN)
    assert not received.complete
    assert second.ran == ['r1']


@pytest.mark.parametrize('name', OTHER_ANSWERS)
async def test_a_third_upstream_continues_the_stream(site: Site, name: str) -> None:
    third = await site.start_worker('llm-z', 'llm')
    tried = route('stream', '/s/', 'stream', resumable=True, service='llm')
    await site.publish(document(2, routes=[{**tried, 'maxAttempts': 3}]))
    await site.settle(2)
    first, second, _ = of_pool(site, 'llm')
    first.misbehave(Fault.cut)
    second.misbehave(Fault.scripted)
    second.script = OTHER_ANSWERS[name]
    received = await ask(site)
    assert received.succeeded
    assert received.body == STREAM
    assert third.ran == ['r1']


async def test_a_body_that_is_no_stream_is_not_continued(site: Site) -> None:
    first, second = of_pool(site, 'llm')
    first.misbehave(Fault.scripted)
    first.script = b'HTTP/1.1 200 OK\r\n%bContent-Type: %b\r\n%b\r\n{\n\n' % (
        SEALED,
        b'application/json',
        b'Content-Length: 9\r\n',
    )
    received = await ask(site)
    assert not received.complete
    assert not second.ran


async def test_events_without_ids_are_not_sent_twice(site: Site) -> None:
    first, second = of_pool(site, 'llm')
    first.misbehave(Fault.scripted)
    first.script = b'HTTP/1.1 200 OK\r\n%bContent-Length: 99\r\n\r\n%b' % (
        SEALED + TYPED,
        b'data: v1\n\n',
    )
    received = await ask(site)
    assert not received.complete
    assert received.body == b'data: v1\n\n'
    assert not second.ran


async def test_a_caller_that_resumes_gets_whatever_its_first_upstream_answers(
    site: Site,
) -> None:
    first, _ = of_pool(site, 'llm')
    first.misbehave(Fault.cut)
    await ask(site)
    first.misbehave(Fault.scripted)
    first.script = OTHER_ANSWERS['not found']
    received = await ask(site, Resumes='r1', Last_Event_Id='2')
    assert (received.status, received.body) == (404, b'none')
    assert received.complete
