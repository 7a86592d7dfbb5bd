"""A pool of keep-alive connections to upstreams."""

import asyncio
import re
from collections import defaultdict
from collections.abc import Iterable

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.quarantine.probing import UntilClosed, stays_reachable
from hitchdeck_edge.dispatch.reuse import (
    DEFAULT_IDLE_SECONDS,
    LONG_IDLE_SECONDS,
    IdleTime,
    Reuse,
    is_silent,
    may_use,
)
from hitchdeck_edge.dispatch.upstream_connection import Connection, connect
from hitchdeck_edge.errors import NotSentError
from hitchdeck_edge.model.calls import Header
from hitchdeck_edge.model.upstreams import Upstream

IDLE_MARGIN_SECONDS = 1.5
"""Subtracted from the keep-alive timeout that an upstream states: a request that is in
flight while the upstream closes the connection would be lost."""

CONNECT_ATTEMPTS = 2
"""Attempts to connect before an upstream counts as unreachable: one SYN packet may be
lost."""

SWEEP_INTERVAL_SECONDS = 2.0
"""Interval between two closings of connections that were idle too long."""

_TIMEOUT = re.compile(rb'timeout\s*=\s*(\d+)')


class ConnectionPool:
    """Connections by upstream; the most recently used idle one is reused first.

    Attributes
    ----------
    streams_reuse
        Whether a stream that is not resumed may use connections that were not used a
        moment ago.
    busy
        Connections on which a response is awaited.
    opened, reused
        How many connections were opened for requests, and how often a kept one
        carried a further request.
    """

    def __init__(self, now: Clock, *, streams_reuse: bool = False) -> None:
        self.now = now
        self.streams_reuse = streams_reuse
        self.idle_seconds = LONG_IDLE_SECONDS if streams_reuse else DEFAULT_IDLE_SECONDS
        self.opened = 0
        self.reused = 0
        self.idle: dict[UpstreamName, list[Connection]] = defaultdict(list)
        self.busy: dict[UpstreamName, set[Connection]] = defaultdict(set)

    async def acquire(self, upstream: Upstream, *, reuse: Reuse) -> Connection:
        """Return an open connection: an idle one if possible, else a new one.

        Parameters
        ----------
        reuse
            Which idle connections the request may use.

        Raises
        ------
        NotSentError
            The upstream can't be reached.
        """
        kept = self.idle[upstream.name]
        while kept:
            connection = kept.pop()
            if connection.is_quiet() and self._may_use(connection, reuse):
                self.reused += 1
                connection.reused = True
                connection.idle_before = self._idle_seconds(connection)
                return connection
            connection.abort()
        self.opened += 1
        return await self._open(upstream)

    async def is_reachable(self, upstream: Upstream) -> bool:
        """Tell whether an upstream accepts connections and keeps them open.

        The last connection of the probe is kept for later requests.
        """
        opened: list[Connection] = []

        async def open_probe() -> UntilClosed | None:
            connection = await self._open_probe(upstream)
            if connection is None:
                return None
            opened.append(connection)
            return connection.wait_closed

        try:
            return await stays_reachable(open_probe)
        finally:
            for connection in opened:
                if connection.usable:
                    self.return_unused(upstream.name, connection)

    def keep_alive(
        self,
        upstream: Upstream,
        connection: Connection,
        headers: Iterable[Header],
    ) -> None:
        """Keep a connection after a complete response, if it can be reused."""
        limit = _idle_limit(headers, self.idle_seconds)
        if not connection.usable or limit <= 0:
            connection.abort()
            return
        connection.idle_limit = limit
        connection.idle_since = self.now()
        self.idle[upstream.name].append(connection)

    def return_unused(self, upstream: UpstreamName, connection: Connection) -> None:
        """Return a connection over which nothing was sent."""
        self.idle[upstream].append(connection)

    def close_idle(self, upstream: UpstreamName) -> None:
        """Close the idle connections to an upstream."""
        for connection in self.idle.pop(upstream, []):
            connection.abort()

    def mark_busy(self, upstream: UpstreamName, connection: Connection) -> None:
        """Record that a response is awaited on a connection."""
        self.busy[upstream].add(connection)

    def mark_done(self, upstream: UpstreamName, connection: Connection) -> None:
        """Record that no response is awaited on a connection any more."""
        self.busy[upstream].discard(connection)
        if not self.busy[upstream]:
            self.busy.pop(upstream)

    def abandon(
        self, upstream: UpstreamName, connection: Connection, seconds: float
    ) -> None:
        """Abort a connection without a complete response.

        Parameters
        ----------
        seconds
            How long no byte of the response has arrived; 0 if some did.
        """
        connection.abort()
        reused = connection.reused and self.streams_reuse
        if is_silent(reused=reused, seconds=seconds):
            logs.info(
                'kept connection silent',
                upstream=upstream,
                idle_before=round(connection.idle_before, 3),
                seconds=round(seconds, 3),
                closed=len(self.idle.get(upstream, ())),
            )
            self.close_idle(upstream)

    def abort_all(self, upstream: UpstreamName) -> None:
        """Abort all connections to an upstream that can't respond any more."""
        self.close_idle(upstream)
        for connection in self.busy.get(upstream, ()):
            connection.abort_pending()

    async def sweep(self) -> None:
        """Close connections that were idle too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            for name in list(self.idle):
                self._sweep_one(name)

    async def _open(self, upstream: Upstream) -> Connection:
        connection = await connect(upstream.address)
        connection.idle_since = self.now()
        connection.idle_limit = self.idle_seconds
        return connection

    async def _open_probe(self, upstream: Upstream) -> Connection | None:
        refused = 0
        while refused < CONNECT_ATTEMPTS:
            try:
                return await self._open(upstream)
            except NotSentError:
                # A refused connection is the answer to the probe, not a fault.
                refused += 1
        return None

    def _may_use(self, connection: Connection, reuse: Reuse) -> bool:
        idle = IdleTime(self._idle_seconds(connection), connection.idle_limit)
        # Only one kind of request needs the time of the last acknowledgement.
        needed = reuse is Reuse.reachable
        return may_use(reuse, idle, connection.acknowledged_ago() if needed else 0)

    def _idle_seconds(self, connection: Connection) -> float:
        return self.now() - connection.idle_since

    def _sweep_one(self, name: UpstreamName) -> None:
        kept: list[Connection] = []
        for connection in self.idle[name]:
            idle = self._idle_seconds(connection)
            if connection.usable and idle < connection.idle_limit:
                kept.append(connection)
            else:
                connection.abort()
        if kept:
            self.idle[name] = kept
        else:
            self.idle.pop(name)


def _idle_limit(headers: Iterable[Header], default: float) -> float:
    limit = default
    for name, text in headers:
        lowered = name.lower()
        if lowered == b'connection' and b'close' in text.lower():
            return 0
        if lowered == b'keep-alive':
            found = _TIMEOUT.search(text)
            if found is not None:
                limit = int(found[1]) - IDLE_MARGIN_SECONDS
    return limit
