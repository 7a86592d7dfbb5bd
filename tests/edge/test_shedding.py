"""A box without processor time rejects requests on new connections, whole ones only."""

import asyncio
import socket
from pathlib import Path
from typing import NamedTuple

import pytest

from hitchdeck_edge.serving.shedding import Shedder
from standins.platform_site import HOST, KEY, Site, running_site

SECONDS = 5.0
HEAD = f'POST /g/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r1\r\nDeadline-Ms: 3000\r\n'
AUTHORIZED = f'{HEAD}Authorization: Token {KEY}\r\n'
WITH_LENGTH = f'{AUTHORIZED}Content-Length: 4\r\n\r\nbody'
CHUNKED = f'{AUTHORIZED}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'


def shedder() -> Shedder:
    return Shedder('Attempt-Id', bool, str)


@pytest.mark.parametrize(
    ('seen', 'size', 'request_id'),
    [
        (WITH_LENGTH, len(WITH_LENGTH), 'r1'),
        (WITH_LENGTH[:-4], len(WITH_LENGTH), 'r1'),
        (f'{WITH_LENGTH}GET / HTTP/1.1', len(WITH_LENGTH), 'r1'),
        ('GET / HTTP/1.1\r\nHost: h\r\n\r\n', 27, ''),
        ('GET / HTTP/1.1\r\nattempt-id:  r 2 \r\n\r\n', 37, 'r 2'),
        ('PUT / HTTP/1.1\r\ncontent-length:7\r\n\r\n', 43, ''),
    ],
)
def test_a_request_with_a_content_length_ends_there(
    seen: str, size: int, request_id: str
) -> None:
    request = shedder().parse(seen.encode())
    assert request is not None
    assert (request.size, request.id) == (size, request_id.encode())


@pytest.mark.parametrize(
    'seen',
    [
        '',
        'POST /g/x HTTP/1.1\r\nHost',
        CHUNKED,
        'HEAD / HTTP/1.1\r\nHost: h\r\n\r\n',
        'GET / HTTP/1.0\r\nHost: h\r\n\r\n',
        'no request\r\n\r\n',
        'POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n',
        'POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody',
        'POST / HTTP/1.1\r\nContent-Length: four\r\n\r\nbody',
        'POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\nbody',
        'POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody',
    ],
)
def test_whatever_needs_a_parser_goes_to_the_http_server(seen: str) -> None:
    assert shedder().parse(seen.encode()) is None


class Case(NamedTuple):
    """The pieces in which a caller sends a request, and the status of the answer."""

    pieces: tuple[str, ...]
    admits: bool
    status: int


@pytest.mark.parametrize(
    'case',
    [
        Case((WITH_LENGTH,), admits=False, status=503),
        Case((WITH_LENGTH[:-2], WITH_LENGTH[-2:]), admits=False, status=503),
        Case((WITH_LENGTH,), admits=True, status=200),
        Case((WITH_LENGTH[:30], WITH_LENGTH[30:]), admits=True, status=200),
        # Parsed by the HTTP server, which serves or rejects it.
        Case((CHUNKED,), admits=True, status=200),
        Case((CHUNKED,), admits=False, status=503),
        Case((WITH_LENGTH[:30], WITH_LENGTH[30:]), admits=False, status=503),
    ],
)
async def test_a_box_short_of_time_loses_no_request(
    case: Case, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_site(tmp_path) as site:
        box = site.boxes[0]
        box.caller_server.is_overloaded = lambda: True
        monkeypatch.setattr(
            'hitchdeck_edge.serving.admission.should_admit', lambda *_: case.admits
        )
        answer = await exchange(site, case.pieces)
        assert answer.startswith(f'HTTP/1.1 {case.status} ')
        assert '\r\nAttempt-Id: r1\r\n' in answer
        ran = sum(worker.ran.count('r1') for worker in site.workers)
        assert ran == int(case.status == 200)
        if case.status == 503:
            assert '\r\nRetry-After: 0.02\r\n' in answer
            assert answer.endswith('this box has no time left')
        assert not box.admission.shedder.waiting


async def exchange(site: Site, pieces: tuple[str, ...]) -> str:
    """Send pieces on a connection; return what is received until a pause or the end."""
    host, _, port = site.boxes[0].settings.listen.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for piece in pieces:
        writer.write(piece.encode())
        await asyncio.sleep(0.1)
    async with asyncio.timeout(SECONDS):
        answer = await reader.readuntil(b'\r\n\r\n')
        answer += await reader.read(4096)
    writer.close()
    return answer.decode()


@pytest.mark.parametrize(
    ('seen', 'status'), [(WITH_LENGTH, b'HTTP/1.1 503'), (WITH_LENGTH[:30], b'')]
)
async def test_a_request_that_has_arrived_is_rejected_without_a_turn_of_the_loop(
    seen: str, status: bytes
) -> None:
    # Guards against turns of an event loop that is late, for each rejection.
    caller, connection = socket.socketpair()
    for end in (caller, connection):
        end.setblocking(False)
    caller.send(seen.encode())
    known = shedder()
    known.watch(connection)
    assert len(known.waiting) == int(not status)
    if status:
        assert caller.recv(4096).startswith(status)
    known.close()
    caller.close()


async def test_connections_closed_before_a_request_are_dropped(
    tmp_path: Path,
) -> None:
    async with running_site(tmp_path) as site:
        box = site.boxes[0]
        box.caller_server.is_overloaded = lambda: True
        host, _, port = box.settings.listen.rpartition(':')
        for _ in range(5):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
        async with asyncio.timeout(SECONDS):
            while box.admission.shedder.waiting:
                await asyncio.sleep(0.02)
        assert await site.ask('/g/x', 'r2')


async def test_a_box_that_has_stopped_accepts_no_connection(tmp_path: Path) -> None:
    async with running_site(tmp_path) as site:
        box = site.boxes[0]
        host, _, port = box.settings.listen.rpartition(':')
        await box.stop()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
