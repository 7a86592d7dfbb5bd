"""A router gives up responses without an end by their size."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import pytest

from hitchdeck_core.ids import Address
from hitchdeck_router.dispatch.calls import CallRequest, UpstreamCall, open_call
from hitchdeck_router.errors import UpstreamBrokenError

LIMIT_BYTES = 2_000_000
SOCKET_BYTES = 12_000_000
"""More than the kernel holds of a connection on loopback."""

CLOSE_SECONDS = 2.0
PIECE = bytes(65_536)
CHUNK = b'%x\r\n%b\r\n' % (len(PIECE), PIECE)
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD


class Endless(NamedTuple):
    """A response without an end: its beginning, and what follows again and again."""

    begin: bytes
    rest: bytes


RESPONSES = {
    'chunks': Endless(CHUNKED, CHUNK),
    'until close': Endless(HEAD + b'\r\n', PIECE),
    'length': Endless(HEAD + b'Content-Length: 99999999999\r\n\r\n', PIECE),
    'one field': Endless(HEAD + b'A: ', PIECE.replace(b'\0', b'a')),
    'fields': Endless(HEAD, b'A: b\r\n' * 1000),
    'interim responses': Endless(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    'trailer': Endless(CHUNKED + b'0\r\n', b'A: b\r\n' * 1000),
}


class Sent:
    """What the upstream of a test sent."""

    size = 0
    closed = False


@asynccontextmanager
async def upstream(response: Endless, sent: Sent) -> AsyncIterator[Address]:
    """Run an upstream whose responses have no end."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(response.begin)
        try:
            while not writer.transport.is_closing():
                writer.write(response.rest)
                sent.size += len(response.rest)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            sent.closed = True
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield Address(f'{host}:{port}')
    server.close()


async def forward(call: UpstreamCall) -> None:
    async for _ in call.chunks():
        await asyncio.sleep(0)


async def gather(call: UpstreamCall) -> None:
    await call.read_body(LIMIT_BYTES // 2)


@pytest.mark.parametrize('name', RESPONSES)
@pytest.mark.parametrize('read', [forward, gather])
async def test_a_response_without_an_end_is_given_up_by_its_size(
    name: str, read: object
) -> None:
    # One gigabyte was read of it, up to 100 MB at once, or it was waited for.
    sent = Sent()
    asked = time.monotonic()
    async with upstream(RESPONSES[name], sent) as address:
        request = CallRequest('GET', '/', {}, response_limit=LIMIT_BYTES)
        call = await open_call(address, request)
        with pytest.raises(UpstreamBrokenError):
            await call.head()
            await read(call)  # type: ignore[operator]
        call.close()
        assert time.monotonic() - asked < CLOSE_SECONDS
        async with asyncio.timeout(CLOSE_SECONDS):
            while not sent.closed:
                await asyncio.sleep(0.01)
    assert sent.size < LIMIT_BYTES + SOCKET_BYTES


async def test_interim_responses_are_no_answers() -> None:
    # Their status was taken for that of the response.
    whole = b'Content-Length: 2\r\n\r\nab'
    begin = b'HTTP/1.1 103 Early Hints\r\n\r\n' + HEAD + whole
    async with upstream(Endless(begin, b''), Sent()) as address:
        call = await open_call(address, CallRequest('GET', '/', {}))
        head = await call.head()
        assert (head.status, await call.read_body(LIMIT_BYTES)) == (200, b'ab')
        call.close()
