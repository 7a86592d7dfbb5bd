"""Framing of log records: length, checksum, payload.

A batch that is synced together is one record, so a crash can tear only the last
record, of which any pages may be missing.  An invalid record that is followed by
others means corruption.
"""

import struct
import zlib
from collections.abc import Iterator

from hitchdeck_core.lazy_dataclasses import dataclass

_HEADER = struct.Struct('<II')
_MAX_RECORD_BYTES = 1024 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Damage:
    """Byte offset of an invalid record, and whether it is a torn tail."""

    offset: int
    torn_tail: bool


def frame(payload: bytes) -> bytes:
    """Return the payload with its header."""
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def unframe(content: bytes) -> Iterator[bytes | Damage]:
    """Yield the payloads; an invalid record yields ``Damage`` and ends the sequence."""
    offset = 0
    while offset < len(content):
        record = _record_at(content, offset)
        yield record
        if isinstance(record, Damage):
            return
        offset += _HEADER.size + len(record)


def _record_at(content: bytes, offset: int) -> bytes | Damage:
    body = offset + _HEADER.size
    if body > len(content):
        return Damage(offset, torn_tail=True)
    length, checksum = _HEADER.unpack_from(content, offset)
    end = body + length
    if end > len(content):
        # The length itself may be corrupt.  If a valid record follows, this is not
        # a torn tail.
        return Damage(offset, torn_tail=not _record_follows(content, body))
    payload = content[body:end]
    if zlib.crc32(payload) == checksum and length:
        return payload
    # The length may be missing, so ``end`` need not be the end of this record.
    is_last = end == len(content) or not _record_follows(content, offset + 1)
    return Damage(offset, torn_tail=is_last)


def _record_follows(content: bytes, start: int) -> bool:
    for offset in range(start, len(content) - _HEADER.size):
        length, checksum = _HEADER.unpack_from(content, offset)
        body = offset + _HEADER.size
        if not 0 < length <= min(_MAX_RECORD_BYTES, len(content) - body):
            continue
        if zlib.crc32(content[body : body + length]) == checksum:
            return True
    return False
