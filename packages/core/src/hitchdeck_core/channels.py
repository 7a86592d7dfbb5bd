"""Calls and streams between processes, over grpclib."""

import asyncio
import hmac
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from grpclib._typing import IServable
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address
from hitchdeck_core.sockets import listening_socket

TRANSPORT_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)
"""What a broken link may raise; layers above turn these into their own."""

_TOKEN_METADATA_KEY = 'hitchdeck-token'

Queued = TypeVar('Queued')


def split_address(address: Address) -> tuple[str, int]:
    """Return the host and the port of ``IP:port``."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def open_channel(address: Address, token: str) -> Channel:
    """Return a channel that shows a token with every call."""
    host, port = split_address(address)
    channel = Channel(host, port)

    async def attach_token(event: SendRequest) -> None:
        event.metadata[_TOKEN_METADATA_KEY] = token

    listen(channel, SendRequest, attach_token)
    return channel


Authorizer = Callable[[str, str], bool]
"""Told the token shown and the method's path, says if the call may go on."""


def require_fleet_token(fleet_token: str) -> Authorizer:
    """Return a check that lets only the fleet's own processes in."""

    def authorize(presented_token: str, method: str) -> bool:
        return hmac.compare_digest(presented_token.encode(), fleet_token.encode())

    return authorize


async def serve(
    handlers: Sequence[IServable],
    address: Address,
    authorize: Authorizer,
) -> Server:
    """Start a server that refuses calls whose token is not good for them."""
    server = Server(handlers)

    async def check_token(event: RecvRequest) -> None:
        presented_token = str(event.metadata.get(_TOKEN_METADATA_KEY, ''))
        if not authorize(presented_token, event.method_name):
            raise GRPCError(Status.UNAUTHENTICATED, 'wrong or missing token')

    listen(server, RecvRequest, check_token)
    host, port = split_address(address)
    await server.start(sock=listening_socket(host, port))
    return server


class Outbox(Generic[Queued]):
    """A bounded queue of messages for one peer.

    A peer that does not keep up is cut off rather than waited for: whoever
    fills the box gets ``LinkError`` and drops the link, and the peer asks
    for the whole state when it comes back.
    """

    def __init__(self, capacity: int = 10_000) -> None:
        self.messages: list[Queued] = []
        self.capacity = capacity
        self.not_empty = asyncio.Event()

    def put(self, message: Queued) -> None:
        """Add a message, or raise ``LinkError`` if the peer is too slow."""
        if len(self.messages) >= self.capacity:
            raise LinkError(f'peer is {self.capacity} messages behind')
        self.messages.append(message)
        self.not_empty.set()

    async def take_all(self) -> list[Queued]:
        """Wait for messages and return all that are there."""
        await self.not_empty.wait()
        self.not_empty.clear()
        taken = self.messages
        self.messages = []
        return taken
