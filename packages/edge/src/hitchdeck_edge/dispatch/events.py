"""Cutting a stream into whole events."""

import re

_ID_LINE = re.compile(rb'(?:^|\n)id:[ ]?([^\r\n]*)')
_BLANK_LINE = re.compile(rb'\r?\n\r?\n')


class EventSplitter:
    """Holds back the part of a stream that is not a whole event yet.

    A stream that breaks off is taken up again after its last whole event, so
    the caller must never have got a part of the next one.

    Attributes
    ----------
    last_id
        Id of the last whole event.
    """

    def __init__(self, last_id: str = '') -> None:
        self.last_id = last_id
        self.remainder = b''

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the whole events that are there now."""
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
