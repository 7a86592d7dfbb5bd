"""gRPC channels and servers with token authentication, and bounded queues."""

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
from hitchdeck_core.grpc_layers import MessageChannel, MessageServer
from hitchdeck_core.ids import Address
from hitchdeck_core.sockets import listening_socket

TRANSPORT_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)
"""Errors that a broken connection may raise; callers convert them to their own."""

_TOKEN_METADATA_KEY = 'hitchdeck-token'

Queued = TypeVar('Queued')


def split_address(address: Address) -> tuple[str, int]:
    """Split ``IP:port`` into host and port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def open_channel(address: Address, token: str) -> Channel:
    """Return a channel that sends a token with every call."""
    host, port = split_address(address)
    channel = MessageChannel(host, port)

    async def attach_token(event: SendRequest) -> None:
        event.metadata[_TOKEN_METADATA_KEY] = token

    listen(channel, SendRequest, attach_token)
    return channel


Authorizer = Callable[[str, str], bool]
"""Decides on a call, given the presented token and the path of the method."""


def require_fleet_token(fleet_token: str) -> Authorizer:
    """Return an authorizer that accepts only the fleet's own processes."""

    def authorize(presented_token: str, method: str) -> bool:
        return hmac.compare_digest(presented_token.encode(), fleet_token.encode())

    return authorize


async def serve(
    handlers: Sequence[IServable],
    address: Address,
    authorize: Authorizer,
) -> Server:
    """Start a server that rejects calls which the authorizer denies."""
    server = MessageServer(handlers)

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

    A peer that doesn't keep up is disconnected instead of delaying the sender:
    ``put`` raises ``LinkError`` on a full queue, the sender closes the connection,
    and the peer requests the full state when it reconnects.
    """

    def __init__(self, capacity: int = 10_000) -> None:
        self.messages: list[Queued] = []
        self.capacity = capacity
        self.not_empty = asyncio.Event()

    def put(self, message: Queued) -> None:
        """Add a message, or raise ``LinkError`` if the queue is full."""
        if len(self.messages) >= self.capacity:
            raise LinkError(f'peer is {self.capacity} messages behind')
        self.messages.append(message)
        self.not_empty.set()

    async def take_all(self) -> list[Queued]:
        """Wait for messages, and remove and return all of them."""
        await self.not_empty.wait()
        self.not_empty.clear()
        taken = self.messages
        self.messages = []
        return taken
