"""Responses of upstreams are told from truncated, late, surplus and foreign bytes."""

import asyncio
from typing import NamedTuple

import pytest

from hitchdeck_core.event_streams import EventSplitter
from hitchdeck_edge.dispatch.response_parser import MAX_UNPARSED_BYTES
from hitchdeck_edge.dispatch.upstream_connection import (
    Connection,
    UpstreamRequest,
    encode_head,
)
from hitchdeck_edge.errors import IncompleteResponseError, MalformedRequestError

OK = b'HTTP/1.1 200 OK\r\n'
SIZED = OK + b'Content-Length: 2\r\n\r\nab'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n'


class Wire(asyncio.Transport):
    """Keeps what is written; the peer is the test."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b''

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.sent += bytes(data)

    def abort(self) -> None:
        """Do nothing."""

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""


def connection_with_request(method: bytes = b'POST') -> Connection:
    connection = Connection()
    connection.connection_made(Wire())
    send(connection, method)
    return connection


def send(connection: Connection, method: bytes = b'POST') -> None:
    connection.send(UpstreamRequest(method, b'/', [(b'Host', b'a')], b''))


async def read(connection: Connection) -> tuple[int, bytes]:
    async with asyncio.timeout(1):
        head = await connection.read_head()
        return head.status, await connection.read_body(lambda _: None)


class Case(NamedTuple):
    """What an upstream sends, what is read, and whether the connection is kept."""

    sent: bytes
    status: int
    body: bytes
    kept: bool
    closed: bool = False
    method: bytes = b'POST'


COMPLETE = {
    'sized': Case(SIZED, 200, b'ab', kept=True),
    'chunked': Case(CHUNKED, 200, b'ab', kept=True),
    'trailer': Case(CHUNKED[:-2] + b'A: b\r\n\r\n', 200, b'ab', kept=True),
    'no reason': Case(
        b'HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n', 200, b'', kept=True
    ),
    'no content': Case(b'HTTP/1.1 204 No\r\n\r\n', 204, b'', kept=True),
    'informational': Case(b'HTTP/1.1 103 E\r\nA: b\r\n\r\n' + SIZED, 200, b'ab', True),
    'line feeds only': Case(SIZED.replace(b'\r', b''), 200, b'ab', kept=True),
    'space after size': Case(CHUNKED.replace(b'1\r', b'1 \r'), 200, b'ab', kept=True),
    'length beside chunks': Case(
        CHUNKED.replace(b'OK\r', b'OK\r\nContent-Length: 9\r'), 200, b'ab', kept=True
    ),
    'HEAD': Case(SIZED[:-2], 200, b'', kept=True, method=b'HEAD'),
    'HEAD with a body': Case(SIZED, 200, b'', kept=False, method=b'HEAD'),
    'old version': Case(SIZED.replace(b'/1.1', b'/1.0'), 200, b'ab', kept=False),
    'told to close': Case(
        SIZED.replace(b'OK\r', b'OK\r\nConnection: close\r'), 200, b'ab', kept=False
    ),
    'until close': Case(OK + b'\r\nab', 200, b'ab', kept=False, closed=True),
    'surplus response': Case(SIZED + SIZED, 200, b'ab', kept=False),
    'surplus bytes': Case(SIZED + b'c', 200, b'ab', kept=False),
    'surplus line': Case(SIZED + b'\r\n', 200, b'ab', kept=False),
    'surplus line after chunks': Case(CHUNKED + b'\r\n', 200, b'ab', kept=False),
    'surplus line feed after chunks': Case(CHUNKED + b'\n', 200, b'ab', kept=False),
}


@pytest.mark.parametrize('name', COMPLETE)
async def test_a_complete_response_is_read_and_surplus_bytes_are_noticed(
    name: str,
) -> None:
    case = COMPLETE[name]
    connection = connection_with_request(case.method)
    connection.data_received(case.sent)
    if case.closed:
        connection.eof_received()
    assert await read(connection) == (case.status, case.body)
    assert connection.usable == case.kept


@pytest.mark.parametrize('name', COMPLETE)
async def test_a_response_is_the_same_however_its_bytes_are_split(name: str) -> None:
    case = COMPLETE[name]
    for cut, _ in enumerate(case.sent[1:], start=1):
        connection = connection_with_request(case.method)
        connection.data_received(case.sent[:cut])
        if connection.busy:
            connection.data_received(case.sent[cut:])
        if case.closed:
            connection.eof_received()
        assert await read(connection) == (case.status, case.body)
        assert connection.usable == case.kept, cut


TRUNCATED = {
    'nothing': b'',
    'head': SIZED[:20],
    'sized': SIZED[:-1],
    'chunked': CHUNKED[:-1],
    'only informational': b'HTTP/1.1 100 Continue\r\n\r\n',
}
FOREIGN = {
    'other bytes': b'\x16\x03\x01\x02',
    'other protocol': SIZED.replace(b'HTTP/1.1', b'RTSP/1.0'),
    'blank line first': b'\r\n' + SIZED,
    'bad chunk size': CHUNKED.replace(b'1\r', b'z\r'),
    'other transfer encoding': OK + b'Transfer-Encoding: gzip\r\n\r\nab',
    'switched protocol': b'HTTP/1.1 101 S\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n',
    'two lengths': OK + b'Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc',
    'endless head': OK + b'A: ' + bytes([97]) * (MAX_UNPARSED_BYTES + 1),
}


@pytest.mark.parametrize('sent', TRUNCATED.values(), ids=TRUNCATED.keys())
@pytest.mark.parametrize('reset', [False, True])
async def test_a_truncated_response_is_an_error(sent: bytes, *, reset: bool) -> None:
    connection = connection_with_request()
    connection.data_received(sent)
    if not reset:
        connection.eof_received()
    connection.connection_lost(None)
    with pytest.raises(IncompleteResponseError):
        await read(connection)
    assert not connection.usable


@pytest.mark.parametrize('sent', FOREIGN.values(), ids=FOREIGN.keys())
async def test_bytes_that_are_no_response_are_an_error(sent: bytes) -> None:
    connection = connection_with_request()
    connection.data_received(sent)
    with pytest.raises(IncompleteResponseError, match='not an answer'):
        await read(connection)
    assert not connection.usable


async def test_a_reset_does_not_complete_a_body_of_unstated_length() -> None:
    connection = connection_with_request()
    connection.data_received(OK + b'\r\nab')
    connection.connection_lost(ConnectionResetError())
    with pytest.raises(IncompleteResponseError):
        await read(connection)


@pytest.mark.parametrize('together', [False, True])
async def test_a_late_response_does_not_hide_the_next(*, together: bool) -> None:
    connection = connection_with_request()
    late = SIZED.replace(b'ab', b'no')
    connection.data_received(late + CHUNKED if together else late)
    assert await read(connection) == (200, b'no')
    assert connection.expect_another_response()
    if not together:
        connection.data_received(CHUNKED)
    assert await read(connection) == (200, b'ab')
    assert not connection.usable


async def test_a_kept_connection_carries_further_responses() -> None:
    connection = connection_with_request()
    for method in (b'POST', b'HEAD', b'POST', b'POST'):
        if not connection.busy:
            send(connection, method)
        has_body = method != b'HEAD'
        connection.data_received(SIZED if has_body else SIZED[:-2])
        assert await read(connection) == (200, b'ab' if has_body else b'')
        assert connection.usable


async def test_a_relayed_body_arrives_in_the_turn_in_which_it_is_read() -> None:
    # One part per turn however many chunks arrive, and no task runs in between.
    connection = connection_with_request()
    connection.data_received(CHUNKED[:-17])
    parts: list[bytes] = []
    await connection.read_head()
    relaying = asyncio.create_task(connection.relay_body(parts.append))
    await asyncio.sleep(0)
    connection.data_received(CHUNKED[-17:-5])
    assert parts == [b'ab']
    assert not relaying.done()
    connection.data_received(CHUNKED[-5:])
    await relaying
    assert connection.usable


async def test_a_relayed_body_that_is_truncated_is_an_error() -> None:
    connection = connection_with_request()
    connection.data_received(CHUNKED[:-5])
    parts: list[bytes] = []
    await connection.read_head()
    relaying = asyncio.create_task(connection.relay_body(parts.append))
    await asyncio.sleep(0)
    connection.eof_received()
    with pytest.raises(IncompleteResponseError):
        await relaying
    assert parts == [b'ab']


@pytest.mark.parametrize(
    ('target', 'header'),
    [
        (b'/', (b'A', b'b\r\nC: d')),
        (b'/', (b'A', b'b\nC: d')),
        (b'/', (b'A\r\n', b'b')),
        (b'/', (b'A', b'b\x00')),
        (b'/ HTTP/1.1', (b'A', b'b')),
        (b'/\xff', (b'A', b'b')),
    ],
)
def test_a_head_that_would_change_on_the_way_is_not_sent(
    target: bytes, header: tuple[bytes, bytes]
) -> None:
    with pytest.raises(MalformedRequestError):
        encode_head(UpstreamRequest(b'GET', target, [header], b''))


@pytest.mark.parametrize(
    ('parts', 'whole', 'last_id'),
    [
        ((b'id: 1\ndata: a\n\n',), [b'id: 1\ndata: a\n\n'], '1'),
        ((b'id: 1\nda', b'ta: a\n\n'), [b'', b'id: 1\ndata: a\n\n'], '1'),
        (
            (b'id: 1\r\n\r\nid: 2\r\n', b'\r\n'),
            [b'id: 1\r\n\r\n', b'id: 2\r\n\r\n'],
            '2',
        ),
        ((b'id: 1\n\n', b'data: id: 7\n\n'), [b'id: 1\n\n', b'data: id: 7\n\n'], '1'),
        ((b'id: 1\n\n', b'id: 2\ndata'), [b'id: 1\n\n', b''], '1'),
        ((b'data: a\n\n',), [b'data: a\n\n'], '0'),
    ],
)
def test_only_complete_events_are_forwarded_and_count(
    parts: tuple[bytes, ...], whole: list[bytes], last_id: str
) -> None:
    # A caller that got a part of an event would get that event twice on a resumption.
    splitter = EventSplitter('0')
    assert [splitter.feed(part) for part in parts] == whole
    assert splitter.last_id == last_id
