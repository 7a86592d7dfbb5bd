"""A truncated response never reaches its caller framed as complete."""

import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

import pytest

from hitchdeck_core.event_streams import EventSplitter
from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.dispatch.response_parser import Framing, ResponseHead
from hitchdeck_edge.serving import caller_server
from standins.platform_site import Site, running_site
from standins.platform_worker import Worker
from standins.worker_bodies import events
from standins.worker_faults import Fault
from standins.worker_requests import Seen
from tests.common.asking import choose_by_name, of_pool
from tests.common.raw_callers import Received, caller_request, receive

EVENTS = 3
STREAM = b''.join(events('', EVENTS))
EVENT_SIZE = len(STREAM) // EVENTS
IDLE_LIMIT_MS = '150'
ENDS = {
    'closed': Fault.end_early,
    'reset': Fault.reset_early,
    'idle': Fault.hang_early,
}


class Kind(NamedTuple):
    """A kind of route."""

    path: str
    pool: str
    streams: bool
    repeatable: bool


KINDS = {
    'resumable-stream': Kind('/s/', 'llm', streams=True, repeatable=True),
    'other-stream': Kind('/once/', 'llm', streams=True, repeatable=False),
    'repeatable-call': Kind('/g/', 'app', streams=False, repeatable=True),
    'other-call': Kind('/u/', 'app', streams=False, repeatable=False),
}


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return a site whose box sends each request to the same worker first."""
    async with running_site(tmp_path) as running:
        dispatcher = running.boxes[0].admission.dispatcher
        dispatcher.budget.share = EVENT_SIZE * len(ENDS) * len(Framing)
        choose_by_name(running.boxes[0])
        for worker in running.workers:
            worker.gap = 0.001
            worker.events = EVENTS
        yield running


async def ask(site: Site, kind: Kind, attempt: str, **more: str) -> Received:
    model = {'Model': 'm', 'Token_Count': '300,40', 'Prompt_Prefix': 'aa:300'}
    headers = {**(model if kind.streams else {}), **more}
    request = caller_request(kind.path, attempt, **headers)
    return await receive(site.boxes[0].settings.listen, request)


def whole_body(kind: Kind, worker: Worker, attempt: str) -> bytes:
    if kind.streams:
        return STREAM
    return json.dumps({'attempt': attempt, 'by': worker.name}).encode()


def body_size(kind: Kind, worker: Worker) -> int:
    """Return the size of a worker's encoded body, for an id of four characters."""
    headers = {'attempt-id': 'r000'}
    if kind.streams:
        headers['model'] = 'm'
    return len(worker.encoded_body(Seen('', headers, b'')))


def is_truncated(kind: Kind, framing: Framing, end: str, cut: int, size: int) -> bool:
    """Tell whether a response is truncated that ends after ``cut`` bytes."""
    if framing is not Framing.close:
        return cut < size
    if end != 'closed':
        return True
    return kind.streams and (cut == 0 or cut % EVENT_SIZE > 0)


def cuts(end: str, size: int) -> list[int]:
    """Return where bodies are cut: at each byte, or at a few if the box must wait."""
    if end != 'idle':
        return list(range(size + 1))
    return [0, EVENT_SIZE, EVENT_SIZE + 1, size - 1]


def check(received: Received, kind: Kind, expected: bytes, *, served: bool) -> None:
    """Check that a response is whole, or else visibly truncated or an error."""
    assert received.succeeded == served
    if served:
        assert received.body == expected
    elif kind.streams and received.status == 200:
        # What was forwarded are complete events, from the first one on.
        assert STREAM.startswith(received.body)
        assert len(received.body) % EVENT_SIZE == 0


@pytest.mark.parametrize('name', KINDS)
@pytest.mark.parametrize('framing', Framing)
async def test_only_a_whole_response_is_framed_as_complete(
    site: Site, framing: Framing, name: str
) -> None:
    kind = KINDS[name]
    first, second = of_pool(site, kind.pool)
    first.framing = framing
    size = body_size(kind, first)
    endings = [(end, cut) for end in ENDS for cut in cuts(end, size)]
    connections = site.boxes[0].admission.dispatcher.sender.connections
    for end, cut in endings:
        # A kept connection may be reset only after the response that it carried.
        connections.close_idle(UpstreamName(first.name))
        attempt = f'{end[0]}{cut:03}'
        first.cut_bytes = cut
        first.misbehave(ENDS[end])
        limit = {'Deadline_Ms': IDLE_LIMIT_MS} if end == 'idle' else {}
        received = await ask(site, kind, attempt, **limit)
        truncated = is_truncated(kind, framing, end, cut, size)
        repeated = truncated and kind.repeatable and end != 'idle'
        sender = second if repeated and not kind.streams else first
        expected = whole_body(kind, sender, attempt)
        if framing is Framing.close and not truncated:
            expected = expected[:cut]
        check(received, kind, expected, served=repeated or not truncated)
        assert (attempt in second.ran) == repeated


class Ending(NamedTuple):
    """Data of a stream, and whether it ends inside an event."""

    data: bytes
    inside: bool


ENDINGS = {
    'line feeds': Ending(b'id: 1\ndata: 1\n\n', inside=False),
    'carriage returns': Ending(b'id: 1\rdata: 1\r\r', inside=False),
    'both': Ending(b'id: 1\r\ndata: 1\r\n\r\n', inside=False),
    'further blank line': Ending(b'id: 1\ndata: 1\n\n\n', inside=False),
    'one line end': Ending(b'id: 1\ndata: 1\n', inside=True),
    'no line end': Ending(b'id: 1\ndata: 1', inside=True),
    'later event': Ending(b'id: 1\ndata: 1\n\nid', inside=True),
    'comment': Ending(b'id: 1\ndata: 1\n\n: ping', inside=True),
    'nothing': Ending(b'', inside=False),
}


@pytest.mark.parametrize('name', ENDINGS)
def test_the_end_of_a_stream_is_inside_an_event_until_its_blank_line(name: str) -> None:
    splitter = EventSplitter()
    passed_on = b''.join(splitter.feed(bytes([one])) for one in ENDINGS[name].data)
    assert splitter.is_inside_event == ENDINGS[name].inside
    assert passed_on + splitter.remainder == ENDINGS[name].data
    assert splitter.last_id == ('1' if passed_on else '')


@pytest.mark.parametrize(
    ('content_type', 'expected'),
    [
        ('', True),
        ('text/event-stream', True),
        ('Text/Event-Stream; charset=utf-8', True),
        ('application/json', False),
    ],
)
def test_a_response_is_a_stream_unless_its_type_is_another(
    content_type: str, expected: bool
) -> None:
    headers = [(b'Content-Type', content_type.encode())] if content_type else []
    head = ResponseHead(200, b'OK', headers, Framing.close)
    assert head.is_event_stream == expected


@pytest.mark.parametrize('handed_off', [False, True])
@pytest.mark.parametrize('cut', [0, EVENT_SIZE, EVENT_SIZE + 1, len(STREAM)])
async def test_a_caller_without_chunks_gets_a_reset_for_a_truncated_stream(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cut: int, handed_off: bool
) -> None:
    # The end of its connection would mark a truncated response as complete.
    monkeypatch.setattr(caller_server, 'should_hand_off', lambda _busy: handed_off)
    async with running_site(tmp_path, boxes=2) as site:
        first, second = site.boxes
        target = second.settings.relief_listen or ''
        first.caller_server.handoff.targets.offer([target])
        for worker in of_pool(site, 'llm'):
            worker.events = EVENTS
            worker.framing = Framing.close
            worker.cut_bytes = cut
            worker.misbehave(Fault.end_early)
        headers = {'Model': 'm', 'Token_Count': '300,40', 'Prompt_Prefix': 'aa:300'}
        request = caller_request('/once/', 'r1', 'HTTP/1.0', **headers)
        received = await receive(first.settings.listen, request)
    assert received.status == 200
    assert received.reset == (cut < len(STREAM) and cut != EVENT_SIZE)
    assert first.caller_server.handoff.handed_off == handed_off
