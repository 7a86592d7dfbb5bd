"""Requests that are read in one piece are decided and answered as by Tornado alone."""

import asyncio
import socket
import tracemalloc
from collections.abc import Callable
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    ResponseStartLine,
    parse_request_start_line,
)
from tornado.iostream import IOStream

from hitchdeck_edge.serving import caller_http
from hitchdeck_edge.serving.budgets import Budgets
from hitchdeck_edge.serving.caller import CallerConnection
from hitchdeck_edge.serving.caller_http import PIECE_BYTES
from hitchdeck_edge.serving.caller_server import (
    BODY_BYTES,
    HEADER_BYTES,
    CallerServer,
    ClosingServer,
    IncomingRequest,
)
from hitchdeck_edge.serving.fields import Fields
from hitchdeck_edge.serving.request_heads import parse_whole_request

SECONDS = 10.0
PAUSE_SECONDS = 0.02
QUIET_SECONDS = 0.2
CONNECTIONS = 20
SIZE = 60_000
POST = b'POST /a?b=c HTTP/1.1\r\nHost: h\r\n'
WHOLE = POST + b'x-Two-words: 1\r\nX-Two-Words:\t2 \r\nContent-Length: 4\r\n\r\nbody'
CLOSING = b'GET /z HTTP/1.1\r\nConnection: Close\r\n\r\n'
STREAM = b'GET /stream HTTP/1.1\r\nHost: h\r\n\r\n'

PARTS = st.sampled_from(
    [
        *(b'POST', b'GET', b'HEAD', b'FOO', b' ', b'  ', b'/', b'/a?b', b'*', b'a:1'),
        *(b'http://h/', b'HTTP/1.1', b'HTTP/1.0', b'HTTP/2.0', b'\r\n', b'\n', b'\r'),
        *(b'Host', b':', b': ', b'h', b' h\t', b'\x00', b'\x7f', b'\xe9', b'\t', b','),
        *(b'Content-Length', b'Content-Length: 4\r\n', b'4', b'+4', b'0x4', b'4,4'),
        *(b'Transfer-Encoding: chunked\r\n', b'Connection: close\r\n', b'\r\n\r\n'),
        *(b'Expect: 100-continue\r\n', b'Upgrade: h2c\r\n', b'body', b'a b: c\r\n'),
    ]
)
LATIN_PARTS = PARTS.map(lambda part: part.decode('latin-1'))
FIELDS = st.lists(st.tuples(LATIN_PARTS, LATIN_PARTS), max_size=6)
ENDINGS = st.text('a \t\n\r\x00\x7f\xe9\u0141', max_size=4)
MUTATIONS = st.lists(st.tuples(st.integers(0, len(WHOLE)), PARTS, st.integers(0, 4)))


def mutated(changes: list[tuple[int, bytes, int]]) -> bytes:
    """Replace parts of a well-formed request by others."""
    request = WHOLE
    for at, part, dropped in changes:
        request = request[:at] + part + request[at + dropped :]
    return request


@given(st.one_of(MUTATIONS.map(mutated), st.lists(PARTS, max_size=20).map(b''.join)))
def test_a_request_that_is_not_left_to_tornado_is_read_as_by_it(given: bytes) -> None:
    # Guards against smuggling: what two parsers read differently.
    found = parse_whole_request(given)
    if found is None:
        return
    head, _, body = given.partition(b'\r\n\r\n')
    line, _, fields = head.decode('latin-1').partition('\r\n')
    known = HTTPHeaders.parse(f'{fields}\r\n\r\n')
    assert found.start_line == parse_request_start_line(line)
    assert list(found.fields.get_all()) == list(known.get_all())
    assert found.body == body
    assert len(body) == int(known.get('Content-Length', '0'))
    assert found.start_line.version == 'HTTP/1.1'
    assert 'Transfer-Encoding' not in known


# The second strategy finds values that are malformed by their last character only.
@given(st.one_of(FIELDS, ENDINGS.map(lambda text: [('a', text)])))
def test_fields_are_checked_as_by_tornado(given: list[tuple[str, str]]) -> None:
    outcomes: list[object] = []
    for kind in (Fields, HTTPHeaders):
        fields = kind()
        try:
            for name, text in given:
                fields.add(name, text)
        except HTTPInputError:
            outcomes.append('malformed')
        else:
            outcomes.append((list(fields.get_all()), dict(fields)))
    assert outcomes[0] == outcomes[1]


@pytest.mark.parametrize('text', ['a\r\nSet: b', 'a\n', 'a\r', 'a\0', '\r\n'])
@pytest.mark.parametrize('place', ['reason', 'name', 'value'])
def test_a_head_with_another_end_is_not_sent(text: str, place: str) -> None:
    # Guards against response splitting by fields that are set without a check.
    fields = Fields()
    fields['X'] = text if place == 'value' else 'a'
    fields._as_list[text if place == 'name' else 'Y'] = ['b']
    reason = text if place == 'reason' else 'OK'
    with pytest.raises(ValueError, match='line break or NUL'):
        caller_http._encoded_head(ResponseStartLine('HTTP/1.1', 200, reason), fields)


def test_most_requests_are_not_left_to_tornado() -> None:
    assert parse_whole_request(WHOLE)
    assert parse_whole_request(STREAM)


async def answer(incoming: IncomingRequest, caller: CallerConnection) -> None:
    """Answer with what was read, or with a stream."""
    assert incoming.start_line is not None
    if incoming.is_refused:
        await caller.respond(503, 'Busy', [], b'')
    elif incoming.start_line.path == '/stream':
        await caller.start_response(200, 'OK', [('x-a', '1'), ('X-A', '2')])
        for part in (b'one', b'two'):
            caller.write(part, on_written=bool)
        caller.finish()
    else:
        read = (incoming.start_line, list(incoming.headers.get_all()), incoming.body)
        await caller.respond(200, 'OK', [('X-A', '1')], repr(read).encode())


def serve(incoming: IncomingRequest) -> None:
    service = answer(incoming, CallerConnection(incoming.connection))
    if incoming.connection_serves:
        incoming.serve_in_connection(service)
    else:
        asyncio.get_running_loop().create_task(service)


async def exchange(kind: type[HTTPServer], pieces: tuple[bytes, ...]) -> bytes:
    """Send pieces to a server; return what it answers until it pauses or closes."""
    delegate = CallerServer(serve, Mock(), Mock(), bool)
    server = kind(delegate, max_header_size=HEADER_BYTES, max_body_size=BODY_BYTES)
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setblocking(False)
    if kind is ClosingServer:
        delegate.server = server
        delegate.listen(listener)
        delegate.handoff.is_late = bool
    else:
        server.add_socket(listener)
    reader, writer = await asyncio.open_connection(*listener.getsockname())
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(PAUSE_SECONDS)
    got = bytearray()
    try:
        async with asyncio.timeout(QUIET_SECONDS):
            while piece := await reader.read(100_000):
                got += piece
        got += b'<closed>'
    except (TimeoutError, ConnectionError):
        got += b'<open>'
    writer.close()
    server.stop()
    listener.close()
    return bytes(got)


@pytest.mark.parametrize(
    'pieces',
    [
        (WHOLE,),
        (WHOLE, CLOSING),
        (STREAM, WHOLE, STREAM),
        (WHOLE[:7], WHOLE[7:]),
        (WHOLE[:-2], WHOLE[-2:]),
        (WHOLE[:-5] + b'\r', b'\nbody'),
        # Pipelined requests, whole and in part.
        (WHOLE + WHOLE,),
        (WHOLE + STREAM + CLOSING + WHOLE,),
        (WHOLE + WHOLE[:20], WHOLE[20:], STREAM),
        (WHOLE + b'\r\n', WHOLE),
        (b'\r\n' + WHOLE,),
        # Other versions and methods.
        (WHOLE.replace(b'1.1', b'1.0'),),
        (STREAM.replace(b'1.1', b'1.0'),),
        (WHOLE.replace(b'1.1\r\n', b'1.0\r\nConnection: keep-alive\r\n'), WHOLE),
        (STREAM.replace(b'GET', b'HEAD'),),
        (STREAM.replace(b'GET', b'HEAD').replace(b'stream', b'z'),),
        (STREAM.replace(b'GET', b'CONNECT'),),
        (STREAM.replace(b'GET', b'NAME'), WHOLE),
        (STREAM.replace(b'\r\n\r\n', b'\r\nUpgrade: h2c\r\n\r\n'), WHOLE),
        # Framing that is refused, or known only to the server.
        (POST + b'Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!',),
        (POST + b'Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody',),
        (POST + b'Content-Length: 4, 4\r\n\r\nbody',),
        (POST + b'Content-Length: +4\r\n\r\nbody',),
        (POST + b'Content-Length: \r\n\r\n',),
        (POST + b'Content-Length: 99999999\r\n\r\nbody',),
        (POST + b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',),
        (POST + b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n', WHOLE),
        (POST + b'Transfer-Encoding: chunked\r\n\r\n4\r\nbo', b'dy\r\n0\r\n\r\n'),
        (POST + b'Transfer-Encoding: gzip\r\n\r\nbody',),
        (POST + b'Expect: 100-continue\r\nContent-Length: 4\r\n\r\n', b'body'),
        (POST + b'Content-Length : 4\r\n\r\nbody',),
        (POST + b' folded: 4\r\n\r\n',),
        (POST.replace(b'\r\n', b'\n') + b'\n',),
        (POST + b'X: \x00\r\n\r\n',),
        (b'no request\r\n\r\n',),
        # Sizes.
        (POST + b'X: ' + bytes(70_000).replace(b'\0', b'x') + b'\r\n\r\n',),
        (POST + b'Content-Length: 300000\r\n\r\n' + bytes(300_000), WHOLE),
    ],
)
async def test_answers_are_those_of_tornado(pieces: tuple[bytes, ...]) -> None:
    # Guards against differences in limits, framing, and bytes of responses.
    found, expected = await asyncio.gather(
        exchange(ClosingServer, pieces), exchange(HTTPServer, pieces)
    )
    assert found == expected
    assert found


@pytest.mark.parametrize('missing', [0, 30_000])
async def test_bytes_of_a_request_are_held_once(missing: int) -> None:
    # Guards against memory outside the budget while a request is served or read.
    data = POST + b'Content-Length: %d\r\n\r\n' % (SIZE + missing) + bytes(SIZE)
    answered = asyncio.Event()
    delegate = CallerServer(
        lambda one: one.serve_in_connection(answered.wait()), Mock(), Mock(), bool
    )
    start, started = delegate.start_request, list[IncomingRequest]()
    delegate.start_request = lambda *given: started.append(start(*given)) or started[-1]
    pairs = [connected_pair() for _ in range(CONNECTIONS)]
    tracemalloc.start()
    try:
        for caller, accepted in pairs:
            caller.sendall(data)
            delegate._serve_connection(accepted)
        await wait_for(
            lambda: (
                [sum(map(len, one.chunks)) for one in started] == CONNECTIONS * [SIZE]
            )
        )
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    answered.set()
    for caller, _ in pairs:
        caller.close()
    assert held < 1.5 * SIZE * CONNECTIONS
    await wait_for(lambda: not delegate.server._connections)


async def test_a_request_that_arrived_is_served_when_descriptors_are_scarce() -> None:
    # Guards against closing a connection whose next request was read, but not served.
    answering = asyncio.Event()
    served: list[str] = []

    async def answer_later(incoming: IncomingRequest) -> None:
        assert incoming.start_line
        served.append(incoming.start_line.path)
        await answering.wait()
        await answer(incoming, CallerConnection(incoming.connection))

    budgets = Budgets(descriptors=Mock(usable=1, scarce=True))
    delegate = CallerServer(
        lambda one: one.serve_in_connection(answer_later(one)),
        Mock(),
        Mock(),
        bool,
        budgets,
    )
    caller, accepted = connected_pair()
    caller.sendall(STREAM)
    delegate._serve_connection(accepted)
    await wait_for(lambda: served == ['/stream'])
    caller.sendall(CLOSING)
    answering.set()
    async with asyncio.timeout(SECONDS):
        while delegate.server._connections:
            delegate._free_descriptors(Mock())
            await asyncio.sleep(0)
    assert served == ['/stream', '/z']
    with caller:
        assert caller.recv(PIECE_BYTES).count(b'HTTP/1.1 200 OK') == 2


@pytest.mark.parametrize('data', [WHOLE, STREAM.replace(b'1.1', b'1.0')])
async def test_a_request_read_on_a_connection_then_closed_is_not_served(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against requests that wait at the scheduler without a caller to notice.
    async def read_and_close(stream: IOStream, size: int, *, partial: bool) -> bytes:
        read = await IOStream.read_bytes(stream, size, partial=partial)
        stream.close()
        return read

    monkeypatch.setattr(caller_http.CallerStream, 'read_bytes', read_and_close)
    delegate = CallerServer(Mock(), Mock(), Mock(), bool)
    caller, accepted = connected_pair()
    with caller:
        caller.sendall(data)
        delegate._serve_connection(accepted)
        await wait_for(lambda: not delegate.server._connections)
    assert not delegate.serve.called


def connected_pair() -> tuple[socket.socket, socket.socket]:
    """Return the sockets of a caller and of the server."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    accepted.setblocking(False)
    return caller, accepted


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(SECONDS):
        while not condition():
            await asyncio.sleep(PAUSE_SECONDS)


@pytest.mark.parametrize('sent', [b'', WHOLE[:10], WHOLE + WHOLE[:10]])
async def test_a_connection_without_a_whole_head_is_closed_in_time(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(caller_http, 'IDLE_SECONDS', QUIET_SECONDS / 2)
    # Guards against connections that are kept for callers that are gone.
    assert (await exchange(ClosingServer, (sent,))).endswith(b'<closed>')


async def test_a_request_that_is_being_served_is_not_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_http, 'IDLE_SECONDS', PAUSE_SECONDS)
    closed = Mock()
    idle = caller_http.IdleTimer(closed)
    idle.start()
    idle.stop()
    await asyncio.sleep(3 * PAUSE_SECONDS)
    assert not closed.called
    idle.start()
    await wait_for(lambda: closed.called)
    idle.cancel()
