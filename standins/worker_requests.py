"""Requests as a simulated worker receives them."""

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Seen:
    """One request as a worker received it."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Return the ID that the caller gave the request."""
        return self.headers.get('attempt-id', '')

    @property
    def last_event(self) -> str:
        """Return the ID of the last event that the caller received."""
        return self.headers.get('last-event-id', '')

    @property
    def parts(self) -> tuple[str, ...]:
        """Return the ids of the parts of its prompt."""
        listed = self.headers.get('prompt-prefix', '').split(',')
        return tuple(one.partition(':')[0] for one in listed)

    @property
    def streams(self) -> bool:
        """Tell whether the response is a stream."""
        return bool(self.headers.get('model'))


async def read_request(reader: asyncio.StreamReader) -> Seen | None:
    """Return the next request of a connection."""
    head = await reader.readuntil(b'\r\n\r\n')
    line, *rest = head.decode('latin-1').split('\r\n')
    headers = {}
    for one in rest:
        name, colon, text = one.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Seen(line, headers, body)
