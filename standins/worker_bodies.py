"""Bodies of a simulated worker's responses, and their framing."""

from asyncio import StreamWriter

from hitchdeck_core.sockets import reset_on_close
from hitchdeck_edge.dispatch.response_parser import Framing

LAST_CHUNK = b'0\r\n\r\n'


SOFTWARE = 'v1'
"""Software version that a worker reports unless it is given another one."""


def events(last_event: str, last: int, software: str = SOFTWARE) -> list[bytes]:
    """Return the events of a stream after the one that a request names.

    Each of them names the software version that made it.
    """
    first = int(last_event or 0) + 1
    return [
        f'id: {number}\ndata: {software}\n\n'.encode()
        for number in range(first, last + 1)
    ]


def encoded_event(event: bytes, framing: Framing) -> bytes:
    """Return an event as it is sent."""
    if framing is not Framing.chunks:
        return event
    return b'%x\r\n%s\r\n' % (len(event), event)


def encoded_stream(stream: list[bytes], framing: Framing) -> bytes:
    """Return the body of a whole stream as it is sent."""
    encoded = b''.join(encoded_event(event, framing) for event in stream)
    return encoded + LAST_CHUNK if framing is Framing.chunks else encoded


def framing_header(framing: Framing, size: int) -> str:
    """Return the header line that states the framing of a body, if any does."""
    return {
        Framing.length: f'Content-Length: {size}\r\n',
        Framing.chunks: 'Transfer-Encoding: chunked\r\n',
        Framing.close: '',
    }[framing]


def reset(writer: StreamWriter) -> None:
    """Reset a connection, so that its peer sees an error and not its end."""
    reset_on_close(writer.get_extra_info('socket'))
    writer.transport.abort()
