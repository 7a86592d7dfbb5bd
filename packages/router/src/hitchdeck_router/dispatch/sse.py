"""Server-sent events, the subset used by OpenAI-compatible engines."""

from collections.abc import Iterator

DONE = b'[DONE]'
_DATA_FIELD = b'data:'
_MAX_EVENT_BYTES = 1024 * 1024


class EventTooLongError(Exception):
    """Raised when an event exceeds the maximum size."""


class EventReader:
    """Splits a byte stream into the data of its events."""

    def __init__(self) -> None:
        self.buffer = b''

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield the data of each event that is completed by the chunk."""
        *lines, self.buffer = (self.buffer + chunk).split(b'\n')
        if len(self.buffer) > _MAX_EVENT_BYTES:
            raise EventTooLongError(f'event over {_MAX_EVENT_BYTES} bytes')
        for line in lines:
            if line.startswith(_DATA_FIELD):
                yield line[len(_DATA_FIELD) :].strip()


def event(data: bytes) -> bytes:
    """Return the encoded event."""
    return b'data: ' + data + b'\n\n'
