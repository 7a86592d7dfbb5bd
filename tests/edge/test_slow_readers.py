"""A caller that reads slowly gets all of its stream, and its upstream waits for it."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import pytest
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from hitchdeck_edge.dispatch.relay import StreamRelay
from hitchdeck_edge.errors import CallerDisconnectedError
from hitchdeck_edge.serving.caller import CallerConnection
from tests.edge.test_upstream_responses import OK, connection_with_request

CHUNK = bytes(range(256)) * 1024
CHUNKS = 40
"""Together some 10 MB, which no socket buffers."""

EVENT = OK + b'Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n'

ASK = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


class Stream:
    """Answers one request with chunks, and keeps count of what had to wait."""

    def __init__(self) -> None:
        self.waited = 0
        self.written = 0
        self.error: Exception | None = None
        self.task: asyncio.Task[None] | None = None

    def start(self, request: HTTPServerRequest) -> None:
        connection = request.connection
        assert isinstance(connection, HTTP1Connection)
        self.task = asyncio.create_task(self.serve(CallerConnection(connection)))

    async def serve(self, caller: CallerConnection) -> None:
        await caller.start_response(200, 'OK', [])
        try:
            for _ in range(CHUNKS):
                pending = caller.write(CHUNK, self.count)
                if pending is not None:
                    self.waited += 1
                    await caller.wait_written(pending)
        except CallerDisconnectedError as error:
            self.error = error
            return
        caller.finish()

    def count(self) -> None:
        self.written += 1


async def connect(stream: Stream) -> tuple[HTTPServer, socket.socket]:
    server = HTTPServer(stream.start)
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setblocking(False)
    server.add_socket(listener)
    caller = socket.socket()
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, listener.getsockname())
    return server, caller


async def receive(caller: socket.socket, version: bytes) -> bytes:
    """Ask for the stream, and read it until its end."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, ASK.replace(b'1.1', version))
    got = bytearray()
    while not got.endswith(b'\r\n0\r\n\r\n'):
        piece = await loop.sock_recv(caller, 1_000_000)
        if not piece:
            break
        got += piece
    return bytes(got)


@pytest.mark.parametrize('version', [b'1.1', b'1.0'])
async def test_a_slow_caller_gets_every_byte_in_order(version: bytes) -> None:
    # A part that the kernel did not accept must neither be lost nor overtaken.
    stream = Stream()
    server, caller = await connect(stream)
    async with asyncio.timeout(20):
        got = await receive(caller, version)
    _, _, body = got.partition(b'\r\n\r\n')
    frame = b'%x\r\n%b\r\n' % (len(CHUNK), CHUNK) if version == b'1.1' else CHUNK
    end = b'0\r\n\r\n' if version == b'1.1' else b''
    assert body == frame * CHUNKS + end
    assert stream.waited > 0
    assert stream.written == stream.waited
    caller.close()
    server.stop()


async def test_a_caller_that_leaves_while_it_is_waited_for_ends_its_stream() -> None:
    stream = Stream()
    server, caller = await connect(stream)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, ASK)
    async with asyncio.timeout(5):
        while not stream.waited:
            await asyncio.sleep(0.01)
        caller.close()
        assert stream.task is not None
        await stream.task
    assert isinstance(stream.error, CallerDisconnectedError)
    server.stop()


class StalledCaller:
    """A caller that has not read its response, and leaves."""

    def __init__(self) -> None:
        self.started = False

    async def start_response(self, *_: object) -> None:
        self.started = True

    def write(self, data: bytes, on_written: Callable[[], None]) -> Awaitable[None]:
        return asyncio.get_running_loop().create_future()

    async def wait_written(self, pending: Awaitable[None]) -> None:
        raise CallerDisconnectedError('left')


async def test_a_complete_stream_whose_caller_leaves_closes_its_connection() -> None:
    # It is paused and in no pool, so that nothing else would ever close it.
    connection = connection_with_request()
    connection.data_received(EVENT)
    head = await connection.read_head()
    context = SimpleNamespace(last_event='', account=None)
    relay = StreamRelay(context, StalledCaller())  # type: ignore[arg-type]
    with pytest.raises(CallerDisconnectedError):
        await relay.forward(connection, head, lambda: None)
    assert connection.closed
