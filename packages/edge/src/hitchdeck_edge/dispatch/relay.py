"""Forwarding a stream to the caller in complete events."""

from collections.abc import Awaitable, Callable
from functools import partial

from hitchdeck_core.checks import abbreviated
from hitchdeck_core.event_streams import EventSplitter, first_out_of_order
from hitchdeck_edge.dispatch.response_parser import Framing, ResponseHead
from hitchdeck_edge.dispatch.response_sizes import UNCOUNTED_BYTES, ResponseLimits
from hitchdeck_edge.dispatch.responses import response_headers
from hitchdeck_edge.dispatch.spool import CallerSpool
from hitchdeck_edge.dispatch.upstream_connection import Connection
from hitchdeck_edge.errors import IncompleteResponseError
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.serving.caller import CallerConnection


class StreamRelay:
    """One caller's stream, which several upstreams in turn may produce.

    The head is that of the first upstream; each later one resumes the stream after the
    last complete event that the caller received.

    Attributes
    ----------
    begun
        The head that the caller received; ``None`` if it received none.
    last_sent
        Id of the last event that a continuation follows.
    has_events
        Whether the current upstream sent a complete event.
    pending
        Done when the caller has read what it was sent last; ``None`` if it has.
    """

    def __init__(
        self,
        context: RequestContext,
        caller: CallerConnection,
        spool: CallerSpool | None = None,
        limits: ResponseLimits | None = None,
    ) -> None:
        self.limits = limits or ResponseLimits()
        self.partial_event = self.limits.open_event(context.account or '')
        self.context = context
        self.caller = caller
        self.spool = spool
        self.splitter = EventSplitter(context.last_event)
        self.last_sent = context.last_event
        self.begun: ResponseHead | None = None
        self.has_events = False
        self.pending: Awaitable[None] | None = None

    @property
    def may_go_on(self) -> bool:
        """Tell whether another upstream can continue what the caller received."""
        if self.begun is None:
            return not self.caller.started
        if not self.begun.is_event_stream:
            return False
        return bool(self.splitter.last_id) or not self.splitter.has_unnumbered

    def mismatch(self, head: ResponseHead) -> str:
        """Return why a response can't be relayed; empty if it can."""
        return '' if self.begun is None else head.mismatch(self.begun)

    async def forward(
        self,
        connection: Connection,
        head: ResponseHead,
        on_event: Callable[[], None],
    ) -> None:
        """Forward one upstream's part; return when the stream is complete.

        With a spool, the caller may not have read all of it yet.

        Raises
        ------
        IncompleteResponseError
            The upstream's response was truncated, or its events do not follow those
            that the caller received; an incomplete event is discarded.
        """
        self.splitter.remainder = b''
        self.has_events = False
        self.last_sent = self.splitter.last_id
        continues = self.begun is not None
        if not continues:
            self.begun = head
            reason = head.reason.decode('latin-1')
            await self.caller.start_response(
                head.status, reason, response_headers(head.headers)
            )
        sink = self._event_sink if head.is_event_stream else self._byte_sink
        try:
            await connection.relay_body(sink(connection, on_event, continues))
        finally:
            self.context.last_event = self.splitter.last_id
        try:
            self._check_whole(head)
            await self._finish(connection)
        except BaseException:
            # The connection is idle by now, but may be paused and is in no pool.
            connection.abort()
            raise

    async def complete(self) -> None:
        """Mark the stream as complete once the caller has read what is spooled."""
        if self.spool is not None:
            await self.spool.drain()
            self.caller.finish()

    @property
    def is_evicted(self) -> bool:
        """Tell whether the response was broken off for lack of memory."""
        return self.spool is not None and self.spool.is_evicted

    def close(self) -> None:
        """Discard what is held."""
        self.partial_event.close()
        if self.spool is not None:
            self.spool.close()

    def _event_sink(
        self, connection: Connection, on_event: Callable[[], None], continues: bool
    ) -> Callable[[bytes], None]:
        """Return what forwards the complete events of a stream."""
        held = self.partial_event
        held.release = partial(connection.abort_pending, 'event given up')

        def relay(chunk: bytes) -> None:
            whole = self.splitter.feed(chunk)
            if len(self.splitter.remainder) > UNCOUNTED_BYTES or held.holding:
                held.check_size(len(self.splitter.remainder))
            if whole:
                if continues:
                    self._check_order(whole)
                self.has_events = True
                on_event()
                self._write(connection, whole)

        return relay

    def _byte_sink(
        self, connection: Connection, on_event: Callable[[], None], _: bool
    ) -> Callable[[bytes], None]:
        """Return what forwards a body that is no stream of events."""

        def relay(chunk: bytes) -> None:
            self.limits.check_relayed(connection.received)
            on_event()
            self._write(connection, chunk)

        return relay

    def _check_order(self, events: bytes) -> None:
        """Raise ``IncompleteResponseError`` unless events follow the last one sent."""
        wrong = first_out_of_order(events, self.last_sent)
        if wrong:
            self.splitter = EventSplitter(self.last_sent)
            raise IncompleteResponseError(
                f'event {abbreviated(wrong)} after event {abbreviated(self.last_sent)}'
            )
        self.last_sent = self.splitter.last_id

    def _check_whole(self, head: ResponseHead) -> None:
        """Raise ``IncompleteResponseError`` if the stream was cut off before its end.

        An upstream that crashes closes its connections, which is the regular end of a
        response without length and chunks.
        """
        if not head.is_event_stream:
            return
        if self.splitter.is_inside_event:
            raise IncompleteResponseError('stream ended inside an event')
        if head.framing is Framing.close and not self.has_events:
            raise IncompleteResponseError('stream ended before its first event')

    async def _finish(self, connection: Connection) -> None:
        """Complete the response, unless it is spooled, once the caller has read it."""
        if self.splitter.remainder:
            self._write(connection, self.splitter.remainder)
        if self.spool is not None:
            # All of the response has arrived, so that nothing is left to hold back.
            connection.resume()
            return
        if self.pending is not None:
            await self.caller.wait_written(self.pending)
        self.caller.finish()

    def _write(self, connection: Connection, data: bytes) -> None:
        if self.spool is None:
            self.pending = self.caller.write(data, on_written=connection.resume)
            if self.pending is not None:
                connection.pause()
            return
        room = self.spool.write(data)
        if room is not None:
            connection.pause()
            room.add_done_callback(lambda _: connection.resume())
