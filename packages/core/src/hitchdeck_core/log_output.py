"""Non-blocking log output for readers that may be slow.

When the pipe is full or too many lines are logged, lines are dropped and counted,
and the count is logged.  Logging never delays a request.
"""

import json
import os
import time
from collections.abc import Callable

LINES_PER_SECOND = 300
"""Sustained rate: about ten lines for each request that a small box serves."""

BURST_LINES = 1500
"""Lines that may be logged at once when few were logged before."""

MAX_BUFFERED_BYTES = 262_144
"""Limit of the buffer for a slow reader."""


class BoundedOutput:
    """A rate-limited text stream to a file descriptor that never blocks.

    Attributes
    ----------
    dropped
        Lines dropped since the number of dropped lines was last logged.
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
        """Buffer a line, or count it as dropped."""
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
        """Write as much of the buffer as the reader accepts now."""
        if not self.buffer:
            return
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe; discard the buffer.
            written = len(self.buffer)
        self.buffer = self.buffer[written:]

    def close(self) -> None:
        """Flush; the descriptor stays open, since the caller owns it."""
        self.flush()

    def _refill(self) -> None:
        now = self.now()
        fresh = (now - self.refilled_at) * LINES_PER_SECOND
        self.allowance = min(BURST_LINES, self.allowance + fresh)
        self.refilled_at = now
