"""Accepting connections without descriptors."""

import asyncio
import errno
import socket

import pytest

from hitchdeck_core.sockets import listening_socket
from hitchdeck_edge.serving.accepting import NO_RESOURCES, PAUSE_SECONDS, Acceptor

WAIT_SECONDS = 5


class Listener:
    """A listening socket whose next accepts fail."""

    def __init__(self, failures: list[OSError]) -> None:
        self.sock = listening_socket('127.0.0.1', 0)
        self.failures = failures
        self.accepts = 0

    def fileno(self) -> int:
        return self.sock.fileno()

    def accept(self) -> tuple[socket.socket, object]:
        self.accepts += 1
        if self.failures:
            raise self.failures.pop(0)
        return self.sock.accept()


@pytest.mark.parametrize('code', sorted(NO_RESOURCES))
async def test_accepting_pauses_without_resources_and_goes_on(code: int) -> None:
    # Guards against a handler that fails in each turn of the event loop.
    listener = Listener([OSError(code, 'none left')])
    accepted: asyncio.Queue[socket.socket] = asyncio.Queue()
    acceptor = Acceptor(listener, accepted.put_nowait)  # type: ignore[arg-type]
    began = asyncio.get_running_loop().time()
    with socket.create_connection(listener.sock.getsockname()):
        async with asyncio.timeout(WAIT_SECONDS):
            (await accepted.get()).close()
    assert asyncio.get_running_loop().time() - began >= PAUSE_SECONDS
    assert listener.accepts <= 3
    acceptor.stop()
    listener.sock.close()


async def test_a_stop_during_a_pause_ends_accepting() -> None:
    listener = Listener([OSError(errno.EMFILE, 'none left')])
    accepted: list[socket.socket] = []
    acceptor = Acceptor(listener, accepted.append)  # type: ignore[arg-type]
    with socket.create_connection(listener.sock.getsockname()):
        async with asyncio.timeout(WAIT_SECONDS):
            while acceptor.resume is None:
                await asyncio.sleep(0)
        acceptor.stop()
        await asyncio.sleep(2 * PAUSE_SECONDS)
    assert not accepted
    assert listener.accepts == 1
    listener.sock.close()
