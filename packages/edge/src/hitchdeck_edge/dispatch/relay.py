"""Passing a stream on, whole event by whole event."""

from collections.abc import Callable

from hitchdeck_edge.dispatch.events import EventSplitter
from hitchdeck_edge.dispatch.responses import response_headers
from hitchdeck_edge.dispatch.upstream_connection import Connection, ResponseHead
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.serving.caller import CallerConnection


class StreamRelay:
    """One caller's stream, over as many upstreams as it takes.

    The head is that of the first upstream; a later one goes on after the
    last whole event that the caller has.
    """

    def __init__(self, context: RequestContext, caller: CallerConnection) -> None:
        self.context = context
        self.caller = caller
        self.splitter = EventSplitter(context.last_event)

    async def forward(
        self,
        connection: Connection,
        head: ResponseHead,
        on_event: Callable[[], None],
    ) -> None:
        """Pass one upstream's part on; returns at the stream's whole end.

        Raises
        ------
        BrokenAnswerError
            The upstream broke off; what it left half is dropped.
        """
        self.splitter.remainder = b''
        if not self.caller.started:
            reason = head.reason.decode('latin-1')
            await self.caller.start_response(
                head.status, reason, response_headers(head.headers)
            )
        while chunk := await connection.read_data():
            whole = self.splitter.feed(chunk)
            if whole:
                on_event()
                await self._write(connection, whole)
                self.context.last_event = self.splitter.last_id
        if self.splitter.remainder:
            await self._write(connection, self.splitter.remainder)
        self.caller.finish()

    async def _write(self, connection: Connection, data: bytes) -> None:
        pending = self.caller.write(data)
        if pending is None:
            return
        connection.pause()
        try:
            await pending
        finally:
            connection.resume()
