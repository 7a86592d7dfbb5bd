"""Splitting a server-sent event stream into complete events."""

import re

_ID_LINE = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')
_BLANK_LINE = re.compile(rb'\r?\n\r?\n')


class EventSplitter:
    """Buffers the end of a stream until it is a complete event.

    A stream that breaks is resumed after its last complete event, so the caller must
    not have received a part of the next one.

    Attributes
    ----------
    last_id
        Id of the last complete event.
    remainder
        Bytes of an incomplete event.
    """

    def __init__(self, last_id: str = '') -> None:
        self.last_id = last_id
        self.remainder = b''

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that are complete now."""
        gathered = self.remainder + data
        end = 0
        for blank in _BLANK_LINE.finditer(gathered):
            end = blank.end()
        self.remainder = gathered[end:]
        whole = gathered[:end]
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1].decode('latin-1').strip()
        return whole
