"""Observes the calls of a box to plain services while they are in flight."""

import asyncio
from collections.abc import Awaitable

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.loop_load import loop_lag, loop_utilization
from hitchdeck_core.sockets import has_unread_input
from hitchdeck_edge.dispatch.attempts import ActiveRequest, Attempt, AttemptOutcome
from hitchdeck_edge.dispatch.upstream_connection import CONNECT_TURNS, Connection
from hitchdeck_edge.errors import NotSentError
from hitchdeck_edge.links.placing import OVERLOADED_UTILIZATION
from hitchdeck_edge.links.service_exchange import ServiceExchange
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.scheduling.health import Health
from hitchdeck_edge.scheduling.service_calls import (
    CallEnd,
    ServiceCall,
    unanswered_after,
)

_RESPONSES = frozenset((AttemptOutcome.failed, AttemptOutcome.not_run))


class WatchedCall:
    """A call in flight, and the timer after which it counts as unanswered.

    ``ejected`` tells whether its upstream was ejected for it at that time.
    """

    def __init__(self, call: ServiceCall) -> None:
        self.call = call
        self.ejected = False
        self.timer: asyncio.TimerHandle | None = None


class ServiceWatch:
    """Notices calls without a response in time, and records how calls end."""

    def __init__(self, exchange: ServiceExchange, health: Health, now: Clock) -> None:
        self.calls = exchange.calls
        self.view = exchange.view
        self.health = health
        self.now = now

    def open(self, context: RequestContext, choice: Choice) -> WatchedCall | None:
        """Record a call that is being sent; ``None`` if it goes to an engine."""
        if context.pool.engine is not None:
            return None
        return WatchedCall(self.calls.begin(choice.upstream.name))

    async def in_time(
        self, context: RequestContext, acquired: Awaitable[Connection]
    ) -> Connection:
        """Return a connection, if it is there while another attempt is in time.

        Nothing was sent until then, so that another attempt is safe for every call.

        Raises
        ------
        NotSentError
            It was not established in time.
        """
        # The delay of an overloaded event loop must not count as the upstream's.
        delay = CONNECT_TURNS * loop_lag()
        seconds = _patience(context) + delay
        try:
            async with asyncio.timeout(seconds):
                return await acquired
        except TimeoutError as error:
            raise NotSentError(f'no connection within {seconds:.3f} s') from error

    def start_timer(
        self, active: ActiveRequest, attempt: Attempt, connection: Connection
    ) -> None:
        """Begin to wait for the response to a call that was sent."""
        watched = attempt.watched
        if watched is None:
            return
        elapsed = self.now() - attempt.started_at
        left = _patience(active.context) - elapsed
        loop = asyncio.get_running_loop()
        watched.timer = loop.call_later(
            max(0, left), self._note_unanswered, active, attempt, connection
        )

    def close(self, attempt: Attempt) -> None:
        """Record how a call ended."""
        watched = attempt.watched
        if watched is None:
            return
        if watched.timer is not None:
            watched.timer.cancel()
        how = _end_of(attempt)
        self.calls.end(watched.call, how)
        self.view.changed.notify()
        responded = how in {CallEnd.succeeded, CallEnd.refused}
        if responded and self.view.is_silent(attempt.upstream):
            self.view.note_response(attempt.upstream)
            self.calls.send_now()

    def _note_unanswered(
        self, active: ActiveRequest, attempt: Attempt, connection: Connection
    ) -> None:
        assert attempt.watched is not None
        if attempt.head is not None or _has_input(connection):
            return
        if _is_overloaded():
            return
        waited = self.now() - attempt.started_at
        logs.info(
            'no response in time',
            request=active.context.call.request,
            upstream=attempt.upstream,
            seconds=round(waited, 3),
            goal=active.context.route.goal,
            repeatable=active.context.repeatable,
        )
        self.calls.mark_unanswered(attempt.watched.call)
        attempt.watched.ejected = True
        self.health.record_failure(attempt.upstream, 'no response in time')
        if active.begin_second is not None and active.begin_second(active):
            connection.abort_pending('given up for a second attempt')


def _patience(context: RequestContext) -> float:
    """Return the seconds after which a call without a response counts as unanswered."""
    return unanswered_after(context.route.goal or context.route.time_limit)


def _has_input(connection: Connection) -> bool:
    """Tell whether a part of the response has arrived, or the connection ended."""
    if connection.closed or connection.transport is None or connection.parser.events:
        return True
    sock = connection.transport.get_extra_info('socket')
    return has_unread_input(sock.fileno())


def _end_of(attempt: Attempt) -> CallEnd:
    if attempt.outcome is AttemptOutcome.answered:
        return CallEnd.succeeded
    if attempt.outcome in _RESPONSES:
        return CallEnd.refused
    if attempt.lost and not _is_overloaded():
        return CallEnd.lost
    return CallEnd.abandoned


def _is_overloaded() -> bool:
    """Tell whether this box is too late to judge upstreams by the time they take."""
    return loop_utilization() > OVERLOADED_UTILIZATION
