"""Framing of log records: length, checksum, payload.

A batch that is synced together is one record, so a crash can tear only the
last one.  A bad record with anything after it is damage, not a torn write.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

_HEADER = struct.Struct('<II')
_MAX_RECORD_BYTES = 1024 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Damage:
    """Where a file stops making sense, in bytes, and if that is its tail."""

    offset: int
    torn_tail: bool


def frame(payload: bytes) -> bytes:
    """Return a payload with its header."""
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def unframe(content: bytes) -> Iterator[bytes | Damage]:
    """Yield payloads; a ``Damage`` ends the sequence early."""
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
        # A length that was itself damaged would point anywhere; when whole
        # records still follow, the tail was not merely torn.
        return Damage(offset, torn_tail=not _record_follows(content, body))
    payload = content[body:end]
    if zlib.crc32(payload) == checksum and length:
        return payload
    only_zeros = not any(content[offset:])
    return Damage(offset, torn_tail=end == len(content) or only_zeros)


def _record_follows(content: bytes, start: int) -> bool:
    for offset in range(start, len(content) - _HEADER.size):
        length, checksum = _HEADER.unpack_from(content, offset)
        body = offset + _HEADER.size
        if not 0 < length <= min(_MAX_RECORD_BYTES, len(content) - body):
            continue
        if zlib.crc32(content[body : body + length]) == checksum:
            return True
    return False
