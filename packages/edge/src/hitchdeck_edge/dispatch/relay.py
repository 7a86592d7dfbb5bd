"""Passing a stream on, whole event by whole event."""

from collections.abc import Callable

from hitchdeck_edge.dispatch.answers import answer_headers
from hitchdeck_edge.dispatch.events import EventSplitter
from hitchdeck_edge.dispatch.exchange import Connection, Head
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.serving.caller import Caller


class Relay:
    """One caller's stream, over as many upstreams as it takes.

    The head is that of the first upstream; a later one goes on after the
    last whole event that the caller has.
    """

    def __init__(self, context: RequestContext, caller: Caller) -> None:
        self.context = context
        self.caller = caller
        self.splitter = EventSplitter(context.last_event)

    async def pass_on(
        self,
        connection: Connection,
        head: Head,
        on_event: Callable[[], None],
    ) -> None:
        """Pass one upstream's part on; returns at the stream's whole end.

        Raises
        ------
        BrokenAnswerError
            The upstream broke off; what it left half is dropped.
        """
        self.splitter.rest = b''
        if not self.caller.started:
            reason = head.reason.decode('latin-1')
            await self.caller.start(head.status, reason, answer_headers(head.headers))
        while piece := await connection.read_data():
            whole = self.splitter.feed(piece)
            if whole:
                on_event()
                await self._write(connection, whole)
                self.context.last_event = self.splitter.last_id
        if self.splitter.rest:
            await self._write(connection, self.splitter.rest)
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
