"""Counters of control traffic by link."""

from collections import Counter
from typing import Protocol


class _Sized(Protocol):
    def ByteSize(self) -> int:
        """Return the encoded size in bytes."""


class Traffic:
    """Messages and bytes of control traffic since the process started.

    Bytes are the sizes of the encoded messages; HTTP/2 framing adds about 30
    bytes to each.
    """

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.octets: Counter[str] = Counter()

    def count(self, link: str, message: _Sized) -> None:
        """Count one message that was sent or received on a link."""
        self.messages[link] += 1
        self.octets[link] += message.ByteSize()
