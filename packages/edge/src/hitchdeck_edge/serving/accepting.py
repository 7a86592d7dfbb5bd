"""Accepting connections, also when the process has run out of descriptors.

Load: callers that open more connections than the process may have descriptors.  The
connections that wait stay readable, so a handler that only fails would be called in
each turn of the event loop and leave no time to finish requests, which frees
descriptors.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

from hitchdeck_core import logs

MAX_ACCEPTED = 128
"""Connections accepted in one turn of the event loop, so that others get theirs."""

PAUSE_SECONDS = 0.05
"""Time without accepting after descriptors ran out.  Short requests end within it, and
a caller whose goal is 0.3 s can still be served."""

NO_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""Errors for lack of resources of this process or machine."""

OnAccepted = Callable[[socket.socket], None]


class Acceptor:
    """Accepts the connections of one listening socket.

    Attributes
    ----------
    resume
        Timer of a pause; ``None`` while connections are accepted.
    """

    def __init__(self, listener: socket.socket, on_accepted: OnAccepted) -> None:
        self.listener = listener
        self.on_accepted = on_accepted
        self.loop = asyncio.get_running_loop()
        self.resume: asyncio.TimerHandle | None = None
        self.stopped = False
        self.loop.add_reader(listener, self._accept)

    def stop(self) -> None:
        """Accept no more connections."""
        self.stopped = True
        self.loop.remove_reader(self.listener)
        if self.resume is not None:
            self.resume.cancel()

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTED):
            if self.stopped:
                return
            try:
                connection, _ = self.listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in NO_RESOURCES:
                    raise
                self._pause(error)
                return
            self.on_accepted(connection)

    def _pause(self, error: OSError) -> None:
        logs.warning(
            'accepting paused', seconds=PAUSE_SECONDS, reason=error.strerror or ''
        )
        self.loop.remove_reader(self.listener)
        self.resume = self.loop.call_later(PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        self.resume = None
        self.loop.add_reader(self.listener, self._accept)
