"""Cheaper layers of grpclib between its streams and the library h2.

Fleets exchange thousands of small messages a second.  For each one, grpclib passes the
bytes through a queue and a list of memory views, copies them through a file object, and
acknowledges them to h2.  These layers do the same with fewer steps; all bytes on the
wire come from h2 as before, and updates of its flow control windows may come later by
``MAX_HELD_BYTES``.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from grpclib.client import Channel
from grpclib.protocol import (
    Buffer,
    Connection,
    EventsProcessor,
    H2Protocol,
    Stream,
)
from grpclib.server import Server
from grpclib.utils import Wrapper

MAX_HELD_BYTES = 4096
"""Received bytes of a stream that may be read and not yet acknowledged: a sixteenth of
the smallest usual window, so that a sender never waits for an acknowledgement."""


class MessageBuffer(Buffer):
    """Received bytes of one stream, acknowledged as they are read."""

    def __init__(self, acknowledge: Callable[[int], None]) -> None:
        self.acknowledge = acknowledge
        self.chunks: deque[tuple[bytes, int]] = deque()
        self.ready = bytearray()
        self.held = 0
        self.ended = False
        self.waiter: asyncio.Future[None] | None = None

    def add(self, data: bytes, ack_size: int) -> None:
        """Add the bytes of a frame, of which ``ack_size`` count for flow control."""
        self.chunks.append((data, ack_size))
        self._wake()

    def eof(self) -> None:
        """Record that the peer has ended the stream."""
        self.ended = True
        self._wake()

    async def read(self, size: int) -> bytes:
        """Return this number of bytes, or none if the stream has ended before them."""
        while len(self.ready) < size:
            if self.chunks:
                self._take(*self.chunks.popleft())
            elif self.ended:
                break
            else:
                await self._wait()
        if len(self.ready) < size and self.ready:
            raise AssertionError('received less data than expected')
        read = bytes(self.ready[:size])
        self.ready = self.ready[size:]
        return read

    def unacked_size(self) -> int:
        """Remove everything that is not acknowledged yet, and return its size."""
        unread = sum(ack_size for _, ack_size in self.chunks)
        self.chunks.clear()
        held, self.held = self.held, 0
        return unread + held

    def _take(self, data: bytes, ack_size: int) -> None:
        self.ready += data
        self.held += ack_size
        if self.held > MAX_HELD_BYTES:
            held, self.held = self.held, 0
            self.acknowledge(held)

    async def _wait(self) -> None:
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class MessageStream(Stream):
    """A stream whose messages take few steps where they fit the windows."""

    def init_stream(self, stream_id: int, connection: Connection) -> None:
        """Set the number of the stream and its buffer."""
        super().init_stream(stream_id, connection)
        self.buffer = MessageBuffer(partial(connection.ack, stream_id))

    async def send_data(self, data: bytes, end_stream: bool = False) -> None:
        """Send bytes, at once if the windows and the socket have room for them."""
        connection = self.connection
        http2 = self._h2_connection
        stream_id = self.id
        assert stream_id is not None
        if (
            not connection.write_ready.is_set()
            or len(data) > http2.max_outbound_frame_size
            or len(data) > http2.local_flow_control_window(stream_id)
        ):
            await super().send_data(data, end_stream=end_stream)
            return
        http2.send_data(stream_id, data, end_stream=end_stream)
        self._transport.write(http2.data_to_send())
        self.data_sent += len(data)
        connection.data_sent += len(data)
        connection.data_send_process()


class MessageConnection(Connection):
    """A connection that creates such streams."""

    def create_stream(
        self, *, stream_id: int | None = None, wrapper: Wrapper | None = None
    ) -> Stream:
        """Return a new stream."""
        return MessageStream(
            self,
            self._connection,
            self._transport,
            stream_id=stream_id,
            wrapper=wrapper,
        )


class MessageProtocol(H2Protocol):
    """The protocol of a socket, with such a connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the connection."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        self.connection = MessageConnection(
            self.connection._connection, transport, config=self.config
        )
        self.processor = EventsProcessor(self.handler, self.connection)


class MessageChannel(Channel):
    """A channel to a server with such a connection."""

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        return MessageProtocol(made.handler, made.config, made.h2_config)


class MessageServer(Server):
    """A server with such connections."""

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        return MessageProtocol(made.handler, made.config, made.h2_config)
