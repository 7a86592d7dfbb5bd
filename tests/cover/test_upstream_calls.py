"""The router tells whole responses of upstreams from truncated ones."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import product, starmap
from typing import NamedTuple

import pytest

from hitchdeck_core.ids import Address
from hitchdeck_router.dispatch.calls import CallRequest, open_call
from hitchdeck_router.dispatch.services import forward_body
from hitchdeck_router.errors import ResponseTruncatedError
from standins.worker_bodies import (
    Framing,
    encoded_stream,
    events,
    framing_header,
    reset,
)

EVENTS = 2
SEND_SECONDS = 0.002
IDLE_SECONDS = 0.05
EVENT_SIZE = len(events('', 1)[0])


class Case(NamedTuple):
    """How the body of a response is framed, of what type it is, and how it ends."""

    framing: Framing
    content_type: str
    end: str

    @property
    def body(self) -> bytes:
        """Return the whole body as it is sent."""
        return encoded_stream(events('', EVENTS), self.framing)

    def is_truncated(self, cut: int) -> bool:
        """Tell whether the response is truncated if it ends after ``cut`` bytes."""
        if self.framing is not Framing.close:
            return cut < len(self.body)
        if self.end != 'closed':
            return True
        streams = self.content_type == 'text/event-stream'
        return streams and (cut == 0 or cut % EVENT_SIZE > 0)


TYPES = ('text/event-stream', 'application/json')
CASES = list(starmap(Case, product(Framing, TYPES, ('closed', 'reset', 'idle'))))


@asynccontextmanager
async def upstream(case: Case, cut: int) -> AsyncIterator[Address]:
    """Run an upstream whose responses end after ``cut`` bytes of their body."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        stated = framing_header(case.framing, len(case.body))
        head = f'HTTP/1.1 200 OK\r\nContent-Type: {case.content_type}\r\n{stated}\r\n'
        writer.write(head.encode() + case.body[:cut])
        await writer.drain()
        if case.end == 'reset':
            # The bytes must not be discarded with the connection.
            await asyncio.sleep(SEND_SECONDS)
            reset(writer)
        elif case.end == 'idle':
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield Address(f'{host}:{port}')
    server.close()


async def forwarded(address: Address) -> tuple[bytes, bool]:
    """Call an upstream; return the body, and whether it counts as whole."""
    pieces: list[bytes] = []

    async def deliver(piece: bytes) -> None:
        pieces.append(piece)

    request = CallRequest('GET', '/', {}, read_timeout=IDLE_SECONDS)
    call = await open_call(address, request)
    try:
        await forward_body(call, await call.head(), deliver)
    except ResponseTruncatedError:
        return b''.join(pieces), False
    finally:
        call.close()
    return b''.join(pieces), True


@pytest.mark.parametrize('case', CASES, ids=lambda case: '-'.join(map(str, case)))
async def test_only_a_whole_response_counts_as_complete(case: Case) -> None:
    cuts = range(len(case.body) + 1)
    for cut in cuts if case.end != 'idle' else (0, 1, EVENT_SIZE):
        async with upstream(case, cut) as address:
            body, whole = await forwarded(address)
        assert whole == (not case.is_truncated(cut))
        assert b''.join(events('', EVENTS)).startswith(body)
        if whole and case.framing is not Framing.close:
            assert body == b''.join(events('', EVENTS))
