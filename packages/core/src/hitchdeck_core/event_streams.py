"""Splitting a server-sent event stream into complete events."""

import re

_ID_LINE = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')
_ID_START = b'id:'
_DATA = b'data'
_LATER_ID_STARTS = (b'\nid:', b'\rid:')
_BLANK_LINES = (b'\n\n', b'\n\r\n', b'\r\r')
_LINE_ENDS = b'\r\n'


MAX_ID_DIGITS = 18
"""Maximum number of digits of an id that is compared as a number."""

_MEDIA_TYPE = 'text/event-stream'


def is_event_stream(content_type: str) -> bool:
    """Tell whether a ``Content-Type`` states that a body consists of events."""
    media_type, _, _ = content_type.partition(';')
    return media_type.strip().lower() == _MEDIA_TYPE


class EventSplitter:
    """Buffers the end of a stream until it is a complete event.

    A stream that breaks is resumed after its last complete event, so the caller must
    not have received a part of the next one.

    Attributes
    ----------
    remainder
        Bytes of an incomplete event.
    has_unnumbered
        Whether events with data came before the first id, so that no id tells where
        the stream could be resumed.
    """

    def __init__(self, last_id: str = '') -> None:
        self.remainder = b''
        self.has_unnumbered = False
        self._last_id = last_id
        self._with_id = b''

    @property
    def is_inside_event(self) -> bool:
        """Tell whether the data so far ends inside an event."""
        return bool(self.remainder.strip(_LINE_ENDS))

    @property
    def last_id(self) -> str:
        """Return the id of the last complete event that has one.

        It is decoded only here: most streams need it once, or not at all.
        """
        ids = _ID_LINE.findall(self._with_id)
        if ids:
            self._last_id = ids[-1].decode('latin-1').strip()
            self._with_id = b''
        return self._last_id

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that are complete now."""
        if self.remainder:
            data = self.remainder + data
            self.remainder = b''
        if not data.endswith(_BLANK_LINES):
            end = _end_of_events(data)
            self.remainder = data[end:]
            data = data[:end]
        if data.startswith(_ID_START) or any(one in data for one in _LATER_ID_STARTS):
            self._with_id = data
        elif not (self._with_id or self._last_id) and _DATA in data:
            self.has_unnumbered = True
        return data


def first_out_of_order(events: bytes, last_id: str) -> str:
    """Return the first id that does not rise; empty if all do.

    Parameters
    ----------
    events
        Complete events.
    last_id
        Id of the event before them; empty if there is none.
    """
    for found in _ID_LINE.findall(events):
        event_id = str(found, 'latin-1').strip()
        if last_id and not is_later(event_id, last_id):
            return event_id
        last_id = event_id
    return ''


def is_later(event_id: str, earlier: str) -> bool:
    """Tell whether an event may follow one with an earlier id in a stream.

    Numbers must rise; other ids, whose order is unknown, must differ.
    """
    if _is_number(event_id) and _is_number(earlier):
        return int(event_id) > int(earlier)
    return event_id != earlier and _is_number(event_id) == _is_number(earlier)


def _is_number(event_id: str) -> bool:
    return (
        event_id.isascii() and event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS
    )


def _end_of_events(data: bytes) -> int:
    """Return where the last blank line ends; 0 if there is none."""
    ends = (
        found + len(blank)
        for blank in _BLANK_LINES
        if (found := data.rfind(blank)) >= 0
    )
    return max(ends, default=0)
