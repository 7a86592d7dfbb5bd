"""Where log lines go when their reader may be slow: never waited for.

A full pipe or a flood of lines costs lines, which are counted and told of,
and never a request.
"""

import json
import os
import time
from collections.abc import Callable

LINES_PER_SECOND = 300
"""Steady rate: about ten lines for each request that a small box serves."""

BURST_LINES = 1500
"""Lines at once, after quiet seconds."""

MAX_BUFFERED_BYTES = 262_144
"""Lines that wait for a slow reader, in bytes."""


class BoundedOutput:
    """A text stream over a file descriptor that never blocks its writer.

    Attributes
    ----------
    dropped
        Lines lost since the last line that told of such.
    """

    def __init__(
        self,
        descriptor: int,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.descriptor = descriptor
        self.now = now
        self.buffer = b''
        self.dropped = 0
        self.allowance = float(BURST_LINES)
        self.refilled_at = now()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Take one line, or count it as dropped."""
        self._refill()
        if self.allowance < 1 or len(self.buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.allowance -= 1
        if self.dropped:
            notice = {'event': 'log lines dropped', 'lines': self.dropped}
            self.buffer += f'{json.dumps(notice)}\n'.encode()
            self.dropped = 0
        self.buffer += text.encode()

    def flush(self) -> None:
        """Write what the reader takes now."""
        if not self.buffer:
            return
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; there is nobody left to tell.
            written = len(self.buffer)
        self.buffer = self.buffer[written:]

    def close(self) -> None:
        """Write what the reader takes; the descriptor is not this object's."""
        self.flush()

    def _refill(self) -> None:
        now = self.now()
        fresh = (now - self.refilled_at) * LINES_PER_SECOND
        self.allowance = min(BURST_LINES, self.allowance + fresh)
        self.refilled_at = now
