"""TCP proxy on loopback that delays, resets or blocks connections."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from standins.worker_bodies import reset

CHUNK_BYTES = 65_536

END_POLL_SECONDS = 0.01

HOST = '127.0.0.1'


class LinkState(Enum):
    """How a proxy forwards bytes.

    Held bytes are delivered when the link is whole again, as TCP retransmits after
    a network partition.
    """

    whole = 'whole'
    slow = 'slow'
    forth_held = 'forth held'
    back_held = 'back held'
    silent = 'silent'


class Direction(Enum):
    """Direction of bytes: to the target, or back to the client."""

    forth = 'forth'
    back = 'back'


HELD = {
    LinkState.forth_held: {Direction.forth},
    LinkState.back_held: {Direction.back},
    LinkState.silent: {Direction.forth, Direction.back},
}


@dataclass(slots=True)
class Proxy:
    """Forwards connections to one address.

    ``delay`` is the delay of each chunk on a slow link, in seconds.
    """

    target: str
    delay: float = 0.05
    state: LinkState = LinkState.whole
    address: str = ''
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f'{HOST}:{self.server.sockets[0].getsockname()[1]}'

    async def stop(self) -> None:
        """Close the listening socket and every connection."""
        assert self.server is not None
        self.server.close()
        await self.change(LinkState.whole)
        self.reset()
        while self.writers:
            await asyncio.sleep(END_POLL_SECONDS)

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in self.writers:
            _reset(writer)

    async def change(self, state: LinkState) -> None:
        """Change the state; bytes that it no longer holds are forwarded."""
        async with self.changed:
            self.state = state
            self.changed.notify_all()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            target_streams = await asyncio.open_connection(host, int(port))
        except OSError:
            # The target is down; close the client connection.
            writer.transport.abort()
            return
        pair = {writer, target_streams[1]}
        self.writers |= pair
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(reader, target_streams[1], Direction.forth)
                )
                group.create_task(
                    self._forward(target_streams[0], writer, Direction.back)
                )
        finally:
            self.writers -= pair

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait(direction)
                writer.write(chunk)
            await self._wait(direction)
        except ConnectionError:
            # Propagate a reset to the other side.
            _reset(writer)
            return
        writer.close()

    async def _wait(self, direction: Direction) -> None:
        if self.state is LinkState.slow:
            await asyncio.sleep(self.delay)
        async with self.changed:
            await self.changed.wait_for(
                lambda: direction not in HELD.get(self.state, set()),
            )


def _reset(writer: asyncio.StreamWriter) -> None:
    if writer.transport.is_closing():
        writer.transport.abort()
    else:
        reset(writer)
