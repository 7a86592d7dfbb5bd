"""A simulated worker that implements the platform's published protocol.

Serves streams and plain calls, records what it executed, and injects faults.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

from hitchdeck_edge.dispatch.response_parser import Framing
from standins.worker_bodies import (
    LAST_CHUNK,
    SOFTWARE,
    encoded_event,
    encoded_stream,
    events,
    framing_header,
    reset,
)
from standins.worker_faults import Fault
from standins.worker_requests import Seen, read_request


@dataclass(frozen=True, slots=True)
class Peer:
    """The streams of a connection from a box to a worker."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


Behaviour = Callable[[Seen, Peer], Awaitable[bool]]
"""Answers a request; returns whether the connection stays open."""


@dataclass(slots=True)
class Worker:
    """One worker, its faults, and the requests that it received.

    Attributes
    ----------
    cold_left_ms
        Remaining cold start time that it reports, in ms.
    born
        Start time that it reports, in Unix ms; 0 if it reports none.
    gap
        Time between two events of a stream, in seconds.
    events
        ID of the last event of a stream; IDs start at 1.
    cut_at
        ID of the last complete event of a stream that is cut off.
    cut_bytes
        Number of bytes of an encoded body that it sends before it ends early.
    script
        Bytes that it sends in place of a response, with ``ATTEMPT`` for the request's
        ID; it closes the connection after them.
    endless
        Bytes of a response without an end.
    endless_bytes
        Number of bytes of such responses that it sent so far.
    framing
        What marks the end of its responses; that of a plain call is never chunks.
    software
        Software version that it reports; empty for none.
    lethal
        A request with this body crashes the worker, which closes its port.
    lethal_part
        A prompt with this part does the same as soon as the worker begins to answer.
    lethal_events
        Number of whole events that it sends before the crash.
    restarts_at_once
        Whether its next incarnation listens at its address before it has crashed.
    pause
        Value of ``Retry-After`` when it sheds a request; empty for none.
    leaving
        Whether its responses announce that it is draining.
    ended
        Whether it has crashed.
    faults_left
        Number of requests that ``fault`` still applies to.
    ran
        IDs of the requests that it executed.
    left
        IDs of the requests whose connection the box closed early.
    connections
        Number of connections accepted so far.
    """

    name: str
    pool: str
    domain: str = 'a'
    cold_left_ms: float = 0
    born: int = 0
    gap: float = 0.005
    events: int = 5
    cut_at: int = 2
    cut_bytes: int = 0
    script: bytes = b''
    endless: bytes = b''
    endless_bytes: int = 0
    framing: Framing = Framing.chunks
    software: str = SOFTWARE
    lethal: bytes = b''
    lethal_part: str = ''
    lethal_events: int = 0
    restarts_at_once: bool = False
    pause: str = ''
    leaving: bool = False
    ended: bool = False
    fault: Fault = Fault.none
    faults_left: int = 0
    seen: list[Seen] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    left: list[str] = field(default_factory=list)
    connections: int = 0
    address: str = ''
    port: int = 0
    sequence: int = 0
    state: str = 'ready'
    server: asyncio.Server | None = None
    open: list[asyncio.StreamWriter] = field(default_factory=list)

    @property
    def life(self) -> str:
        """Return the name of this incarnation of the worker."""
        return f'{self.name}/{self.born}' if self.born else self.name

    async def start(self) -> None:
        """Listen on loopback, on the port of the previous incarnation if any."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', self.port)
        host, self.port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{self.port}'

    async def stop(self) -> None:
        """Stop listening; connections stay open."""
        assert self.server is not None
        self.server.close()

    async def end(self) -> None:
        """Stop listening and abort all connections, as a crash does."""
        self.ended = not self.restarts_at_once
        await self.stop()
        if self.restarts_at_once:
            # As the next incarnation, which has another name.
            self.name = f'{self.name}+'
            await self.restart(self.born)
        for writer in self.open:
            if self.framing is Framing.close:
                # Between two events, a close would be the end of the stream.
                reset(writer)
            else:
                writer.transport.abort()

    async def restart(self, born: int) -> None:
        """Start a new incarnation with the same name and address."""
        address = self.address
        await self.start()
        self.address = address
        self.born = born
        self.sequence = 0
        self.faults_left = 0
        self.ended = False

    def misbehave(self, fault: Fault, times: int = 1) -> None:
        """Inject a fault into the next requests."""
        self.fault = fault
        self.faults_left = times

    def report(self, sequence: int, state: str = 'ready') -> dict[str, object]:
        """Return the status report that the worker sends to a hub."""
        return {
            'service': self.pool,
            'address': self.address,
            'zone': self.domain,
            'slots': 4,
            'state': state,
            'sequence': sequence,
            'coldLeftMs': self.cold_left_ms,
            **({'born': self.born} if self.born else {}),
            **({'version': self.software} if self.software else {}),
        }

    def encoded_body(self, request: Seen) -> bytes:
        """Return the body of the successful response to a request, as it is framed."""
        if not request.streams:
            return _body(request, self.name)
        return encoded_stream(
            events(request.last_event, self.events, self.software), self.framing
        )

    def head(self, request: Seen, status: str, seal: str = '') -> str:
        """Return the first lines of the head of a response."""
        lines = [f'HTTP/1.1 {status}', f'Attempt-Id: {request.attempt}']
        if seal:
            lines.append(f'Server-Seal: {seal}')
        if self.leaving:
            lines.append('Server-Leaving: 1')
        return '\r\n'.join([*lines, ''])

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        self.open.append(writer)
        keep_open = True
        try:
            while keep_open:
                keep_open = await self._serve_one(Peer(reader, writer))
        except (ConnectionError, asyncio.IncompleteReadError):
            # The box closed the connection, so no response can be sent.
            keep_open = False
        self.open.remove(writer)
        writer.close()

    async def _serve_one(
        self,
        peer: Peer,
    ) -> bool:
        request = await read_request(peer.reader)
        if request is None:
            return False
        self.seen.append(request)
        if request.headers.get('expect-instance') != self.name:
            peer.writer.write(self._answer(request, '421 Misdirected', b''))
            return True
        if _is_lethal(self, request):
            return await self._crash_during_answer(request, peer)
        serve = self._behaviour()
        return await serve(request, peer)

    def _behaviour(self) -> Behaviour:
        if self.faults_left <= 0:
            return self._answer_normally
        self.faults_left -= 1
        behaviours: dict[Fault, Behaviour] = {
            Fault.error: self._answer_error,
            Fault.shed: self._shed,
            Fault.reset: self._reset,
            Fault.cut: self._cut,
            Fault.unsealed: self._answer_unsealed,
            Fault.stale: self._answer_stale,
            Fault.surplus: self._answer_surplus,
            Fault.hang: self._hang,
            Fault.end_early: self._end_early,
            Fault.reset_early: self._end_early,
            Fault.hang_early: self._end_early,
            Fault.scripted: partial(_send_script, self),
            Fault.endless: partial(_send_without_end, self),
        }
        return behaviours.get(self.fault, self._answer_normally)

    async def _answer_normally(self, request: Seen, peer: Peer) -> bool:
        self.ran.append(request.attempt)
        if request.streams:
            return await self._stream(request, peer, self.events)
        peer.writer.write(_whole_head(self, request) + self.encoded_body(request))
        return self.framing is not Framing.close

    async def _crash_during_answer(self, request: Seen, peer: Peer) -> bool:
        self.ran.append(request.attempt)
        head = self.head(request, '200 OK', self.name)
        peer.writer.write(f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode())
        for event in events(request.last_event, self.lethal_events, self.software):
            peer.writer.write(encoded_event(event, Framing.chunks))
        await peer.writer.drain()
        if not self.ended:
            await self.end()
        return False

    async def _answer_error(self, request: Seen, peer: Peer) -> bool:
        self.ran.append(request.attempt)
        peer.writer.write(self._answer(request, '500 Oops', b'oops', seal=self.name))
        return True

    async def _shed(self, request: Seen, peer: Peer) -> bool:
        head = 'Not-Executed: 1\r\n'
        if self.pause:
            head = f'{head}Retry-After: {self.pause}\r\n'
        peer.writer.write(self._answer(request, '503 Full', b'full', extra=head))
        return True

    async def _reset(self, request: Seen, peer: Peer) -> bool:
        self.ran.append(request.attempt)
        peer.writer.transport.abort()
        return False

    async def _cut(self, request: Seen, peer: Peer) -> bool:
        self.ran.append(request.attempt)
        await self._stream(request, peer, self.cut_at, whole=False)
        peer.writer.write(encoded_event(b'id: 9\n', self.framing))
        await peer.writer.drain()
        peer.writer.transport.abort()
        return False

    async def _answer_unsealed(
        self,
        request: Seen,
        peer: Peer,
    ) -> bool:
        self.ran.append(request.attempt)
        peer.writer.write(self._answer(request, '200 OK', _body(request, self.name)))
        return True

    async def _answer_stale(self, request: Seen, peer: Peer) -> bool:
        other = Seen(request.line, {'attempt-id': 'another'}, b'')
        peer.writer.write(self._answer(other, '200 OK', b'not yours', seal=self.name))
        return await self._answer_normally(request, peer)

    async def _answer_surplus(
        self,
        request: Seen,
        peer: Peer,
    ) -> bool:
        await self._answer_normally(request, peer)
        peer.writer.write(self._answer(request, '200 OK', b'once more', seal=self.name))
        return True

    async def _hang(self, request: Seen, peer: Peer) -> bool:
        self.ran.append(request.attempt)
        await peer.reader.read()
        self.left.append(request.attempt)
        return False

    async def _end_early(self, request: Seen, peer: Peer) -> bool:
        """Send a part of the body, and then what the fault says."""
        self.ran.append(request.attempt)
        part = self.encoded_body(request)[: self.cut_bytes]
        peer.writer.write(_whole_head(self, request) + part)
        await peer.writer.drain()
        if self.fault is Fault.hang_early:
            await peer.reader.read()
            self.left.append(request.attempt)
        elif self.fault is Fault.reset_early:
            # The bytes must not be discarded with the connection.
            await asyncio.sleep(self.gap)
            reset(peer.writer)
        return False

    async def _stream(
        self,
        request: Seen,
        peer: Peer,
        last: int,
        *,
        whole: bool = True,
    ) -> bool:
        stream = events(request.last_event, self.events, self.software)
        size = len(encoded_stream(stream, self.framing))
        peer.writer.write(_framed_head(self, request, self.framing, size))
        for event in events(request.last_event, last, self.software):
            peer.writer.write(encoded_event(event, self.framing))
            await peer.writer.drain()
            await asyncio.sleep(self.gap)
            if peer.writer.transport.is_closing():
                self.left.append(request.attempt)
                return False
        if whole and self.framing is Framing.chunks:
            peer.writer.write(LAST_CHUNK)
        return self.framing is not Framing.close

    def _answer(
        self,
        request: Seen,
        status: str,
        body: bytes,
        *,
        seal: str = '',
        extra: str = '',
    ) -> bytes:
        head = self.head(request, status, seal)
        return f'{head}{extra}Content-Length: {len(body)}\r\n\r\n'.encode() + body


async def _send_script(worker: Worker, request: Seen, peer: Peer) -> bool:
    worker.ran.append(request.attempt)
    peer.writer.write(worker.script.replace(b'ATTEMPT', request.attempt.encode()))
    await peer.writer.drain()
    return False


async def _send_without_end(worker: Worker, request: Seen, peer: Peer) -> bool:
    await _send_script(worker, request, peer)
    try:
        while not peer.writer.transport.is_closing():
            peer.writer.write(worker.endless)
            worker.endless_bytes += len(worker.endless)
            await peer.writer.drain()
    finally:
        worker.left.append(request.attempt)
    return False


def _is_lethal(worker: Worker, request: Seen) -> bool:
    if worker.lethal and request.body == worker.lethal:
        return True
    return bool(worker.lethal_part) and worker.lethal_part in request.parts


def _body(request: Seen, worker: str) -> bytes:
    return json.dumps({'attempt': request.attempt, 'by': worker}).encode()


def _whole_head(worker: Worker, request: Seen) -> bytes:
    """Return the head of a successful response, with its framing."""
    framing = worker.framing
    if framing is Framing.chunks and not request.streams:
        framing = Framing.length
    size = len(worker.encoded_body(request))
    return _framed_head(worker, request, framing, size)


def _framed_head(worker: Worker, request: Seen, framing: Framing, size: int) -> bytes:
    head = worker.head(request, '200 OK', worker.name)
    return f'{head}{framing_header(framing, size)}\r\n'.encode()
