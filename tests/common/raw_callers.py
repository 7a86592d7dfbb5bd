"""Callers that see the framing of a response, and how its connection ends."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from httptools import HttpResponseParser

from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from standins.platform_site import HOST, KEY

READ_BYTES = 65_536
WAIT_SECONDS = 5.0


@dataclass(slots=True)
class Received:
    """What a caller received until the response or the connection ended.

    Attributes
    ----------
    complete
        Whether the response was framed as complete.
    reset
        Whether the connection was reset.
    """

    status: int = 0
    body: bytes = b''
    complete: bool = False
    reset: bool = False

    @property
    def succeeded(self) -> bool:
        """Tell whether the caller takes it for a complete successful response."""
        return self.complete and self.status == HTTPStatus.OK

    def on_body(self, piece: bytes) -> None:
        """Add a part of the body; called by the parser."""
        self.body += piece

    def on_message_complete(self) -> None:
        """Record the end of the response; called by the parser."""
        self.complete = True


def caller_request(
    path: str, attempt: str, version: str = 'HTTP/1.1', **more: str
) -> bytes:
    """Return a caller's generation request as bytes on the wire.

    Underscores in the names of further headers become hyphens.
    """
    headers = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Deadline-Ms': '3000',
        'Authorization': f'Token {KEY}',
        'Content-Length': '0',
        **{name.replace('_', '-'): text for name, text in more.items()},
    }
    lines = [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join((f'POST {path} {version}', *lines, '\r\n')).encode()


async def receive(address: Address, request: bytes) -> Received:
    """Send a request, and read until the response or the connection ends."""
    received = Received()
    parser = HttpResponseParser(received)
    reader, writer = await asyncio.open_connection(*split_address(address))
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            writer.write(request)
            while not received.complete:
                data = await reader.read(READ_BYTES)
                if not data:
                    break
                parser.feed_data(data)
    except ConnectionResetError:
        received.reset = True
    finally:
        writer.close()
    received.status = parser.get_status_code()
    return received
