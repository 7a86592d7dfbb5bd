"""Sending a request to one upstream, and recording the outcome."""

import asyncio
from functools import partial
from http import HTTPStatus

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.loop_load import loop_utilization
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_edge.dispatch.attempts import (
    ActiveRequest,
    Attempt,
    AttemptOutcome,
    log_failed_attempt,
    outcome_of,
)
from hitchdeck_edge.dispatch.cache_sources import CacheSources
from hitchdeck_edge.dispatch.connections import ConnectionPool
from hitchdeck_edge.dispatch.crash_watch import CrashWatch
from hitchdeck_edge.dispatch.response_parser import ResponseHead
from hitchdeck_edge.dispatch.response_sizes import ResponseLimits
from hitchdeck_edge.dispatch.reuse import permitted_reuse
from hitchdeck_edge.dispatch.service_watch import ServiceWatch
from hitchdeck_edge.dispatch.upstream_connection import Connection, UpstreamRequest
from hitchdeck_edge.errors import (
    CallerDisconnectedError,
    IncompleteResponseError,
    NotSentError,
    UpstreamNotAcceptingError,
)
from hitchdeck_edge.links.placing import OVERLOADED_UTILIZATION
from hitchdeck_edge.model.adapter import Forwarding, PlatformAdapter
from hitchdeck_edge.model.calls import ResponseMarks
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.model.stream_origins import StreamOrigin
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.open_work import OpenWorkEntry
from hitchdeck_edge.state.stream_origins import StreamOrigins, StreamVersions

TELL_SECONDS = 0.2
"""Time within which hubs are told of a stream while several software versions serve."""

MAX_STALE_RESPONSES = 2
"""Maximum number of response heads that are read for one request; late responses to
earlier requests are skipped."""


class Sender:
    """Makes single attempts, and records what they show about upstreams.

    Attributes
    ----------
    origins
        Where the streams that this box serves began.
    stream_versions
        Tells whether streams can have different origins.
    untold
        Notified when the hubs are to be told of the origins of streams at once.
    telling
        Timer after which it is notified; ``None`` before the first one.
    response_limits
        Limits of what is held of the upstreams' responses.
    cache_sources
        Engines from which requests take cached parts.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        chooser: Chooser,
        connections: ConnectionPool,
        quarantine: Quarantine,
        now: Clock,
    ) -> None:
        self.adapter = adapter
        self.quarantine = quarantine
        self.link = chooser.link
        self.placement = chooser.local.placement
        self.crash_watch = CrashWatch(quarantine, connections, self.placement.health)
        self.backpressure = chooser.backpressure
        self.domain = chooser.domain
        self.connections = connections
        self.now = now
        self.origins = StreamOrigins(now)
        documents = chooser.local.documents
        self.stream_versions = StreamVersions(self.placement.registry, documents)
        self.untold = Signal()
        self.telling: asyncio.TimerHandle | None = None
        self.response_limits = ResponseLimits()
        self.watch: ServiceWatch | None = None
        if self.link.services is not None:
            self.watch = ServiceWatch(self.link.services, self.placement.health, now)
        self.cache_sources = CacheSources(self.placement, chooser.backpressure)

    async def send(self, active: ActiveRequest, choice: Choice) -> bool:
        """Send the request to an upstream; return whether it was sent.

        Raises
        ------
        CallerDisconnectedError
            The caller has disconnected.
        """
        context = active.context
        attempt = self._open_attempt(context, choice)
        connection: Connection | None = None
        try:
            connection = await self._connect(context, attempt)
            if active.caller.has_disconnected():
                self.connections.return_unused(choice.upstream.name, connection)
                raise CallerDisconnectedError(
                    'caller disconnected before the request was sent'
                )
            self._check_accepting(context, choice, connection)
            self._send_request(active, attempt, connection)
            await self._receive(active, attempt, connection)
        except UpstreamNotAcceptingError as error:
            logs.info(
                'upstream spared',
                request=context.call.request,
                upstream=choice.upstream.name,
                reason=str(error),
            )
            return False
        except NotSentError as error:
            active.unreached_count += 1
            attempt.lost = True
            self._record_unreached(context, choice, error)
            return False
        except IncompleteResponseError as error:
            attempt.reason = str(error)
            attempt.lost = True
        finally:
            self._close_attempt(attempt, connection)
        self._record_outcome(active, attempt)
        return True

    def replace(self, record: Upstream, newer: Upstream) -> None:
        """Abandon an upstream incarnation that a newer one has replaced.

        If the address is the same, the kernel resets the connections of the earlier
        incarnation by itself, and those to the newer one must stay open.
        """
        if record.address == newer.address:
            self.connections.close_idle(record.name)
        else:
            self.connections.abort_all(record.name)
        self.crash_watch.confirm_crash(record.name)
        self.backpressure.transfer_backoff(record.name, newer.name)

    async def _connect(self, context: RequestContext, attempt: Attempt) -> Connection:
        """Return a connection for an attempt, or raise ``NotSentError``."""
        reuse = permitted_reuse(context, streams_reuse=self.connections.streams_reuse)
        acquired = self.connections.acquire(attempt.choice.upstream, reuse=reuse)
        if self.watch is None or attempt.watched is None:
            return await acquired
        return await self.watch.in_time(context, acquired)

    def _open_attempt(self, context: RequestContext, choice: Choice) -> Attempt:
        name = choice.upstream.name
        source = choice.source.name if choice.source else None
        ticket = OpenWorkEntry(
            self.placement.open_work, name, choice.tokens, source=source
        )
        number = 0
        if context.pool.engine is not None:
            number = self.link.track(
                choice.ticket, name, choice.tokens, context.streams
            )
        attempt = Attempt(choice, self.now(), ticket, number, context.may_have_run)
        if self.watch is not None:
            attempt.watched = self.watch.open(context, choice)
        return attempt

    def _close_attempt(self, attempt: Attempt, connection: Connection | None) -> None:
        attempt.ticket.close()
        self.link.record_end(attempt.number)
        if self.watch is not None:
            self.watch.close(attempt)
        if connection is None:
            return
        self.connections.mark_done(attempt.upstream, connection)
        if connection.busy:
            waited = 0 if attempt.head else self.now() - attempt.started_at
            self.connections.abandon(attempt.upstream, connection, waited)

    def _check_accepting(
        self, context: RequestContext, choice: Choice, connection: Connection
    ) -> None:
        """Raise ``UpstreamNotAcceptingError`` if a request must not be sent now.

        The upstream may have asked for a backoff, or the request may have been
        quarantined, while it waited for the scheduler and for a connection.
        """
        name = choice.upstream.name
        if self.quarantine.holds_back(context.keys):
            self.connections.return_unused(name, connection)
            context.tried.discard(name)
            raise UpstreamNotAcceptingError('the request was quarantined meanwhile')
        if not self.backpressure.accepts_requests(name):
            self.connections.return_unused(name, connection)
            raise UpstreamNotAcceptingError(
                f'{name} asked for a backoff or is shutting down'
            )
        if not self.placement.registry.takes_work(choice.upstream):
            self.connections.return_unused(name, connection)
            raise UpstreamNotAcceptingError(f'{name} must get no new requests')

    def _send_request(
        self,
        active: ActiveRequest,
        attempt: Attempt,
        connection: Connection,
    ) -> None:
        self.connections.mark_busy(attempt.upstream, connection)
        attempt.idle_before = connection.idle_before
        self.quarantine.begin_trial(active.context.keys)
        connection.send(self._upstream_request(active.context, attempt.choice))
        self._record_sent(active, attempt)
        if self.watch is not None:
            self.watch.start_timer(active, attempt, connection)

    def _upstream_request(
        self, context: RequestContext, choice: Choice
    ) -> UpstreamRequest:
        forwarding = Forwarding(
            upstream=choice.upstream,
            account=context.account,
            seconds_left=max(0, context.deadline - self.now()),
            last_event=context.last_event,
            body_bytes=len(context.body),
            cache_source=self.cache_sources.find(choice),
        )
        headers = self.adapter.forward_headers(context.call, forwarding)
        return UpstreamRequest(
            context.call.method,
            context.call.target,
            headers,
            context.body,
        )

    def _record_sent(self, active: ActiveRequest, attempt: Attempt) -> None:
        context = active.context
        context.sent += 1
        context.may_have_run = True
        if active.last_attempt is not None:
            active.last_attempt.release()
        active.last_attempt = attempt
        prompt = context.call.prompt
        if prompt is not None and context.pool.engine is not None:
            self.placement.prefix_cache.record_prompt(attempt.upstream, prompt)

    async def _receive(
        self,
        active: ActiveRequest,
        attempt: Attempt,
        connection: Connection,
    ) -> None:
        head, mark = await self._read_matching_head(active.context, attempt, connection)
        attempt.head = head
        attempt.backoff = mark.backoff
        attempt.leaving = mark.leaving
        if mark.other_incarnation:
            self.placement.health.record_wrong_upstream(attempt.upstream)
            self.crash_watch.confirm_crash(attempt.upstream)
        success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        if success and not mark.sealed:
            raise IncompleteResponseError(
                'success response without the seal of the upstream'
            )
        mismatch = active.relay.mismatch(head)
        if success and mismatch:
            raise IncompleteResponseError(mismatch)
        attempt.reason = mismatch
        if success and active.context.route.streams:
            await self._relay(active, attempt, connection, head)
        else:
            await self._read_body(active.context, attempt, connection)
            attempt.ticket.start()
            if success:
                prompt = active.context.call.prompt
                self.placement.prefix_cache.record_read(attempt.upstream, prompt)
            attempt.outcome = outcome_of(
                head, not_run=mark.not_run, within_stream=active.caller.started
            )
        self.connections.keep_alive(attempt.choice.upstream, connection, head.headers)

    async def _read_body(
        self, context: RequestContext, attempt: Attempt, connection: Connection
    ) -> None:
        held = self.response_limits.open(context.account or '')
        held.release = partial(connection.abort_pending, 'response given up')
        attempt.held = held
        attempt.body = await connection.read_body(held.check_size)

    async def _relay(
        self,
        active: ActiveRequest,
        attempt: Attempt,
        connection: Connection,
        head: ResponseHead,
    ) -> None:
        def on_event() -> None:
            if attempt.ticket.reading:
                attempt.first_event = self.now() - attempt.started_at
                self._record_first_event(active.context, attempt)

        attempt.streamed = True
        await active.relay.forward(connection, head, on_event)
        attempt.outcome = AttemptOutcome.answered

    def _record_origin(self, context: RequestContext, upstream: Upstream) -> None:
        """Record the first event of a stream."""
        if context.origin is None:
            context.origin = StreamOrigin(context.pool.name, upstream.software)
        self.origins.begin(context.streams, context.origin)
        if context.streams and self.stream_versions.are_several():
            self._tell_soon()

    def _tell_soon(self) -> None:
        """Tell the hubs of new streams before the next idle frame.

        Where one version serves, nothing can be mistaken, so that idle frames do.
        """
        loop = asyncio.get_running_loop()
        if self.telling is None or self.telling.when() < loop.time():
            self.telling = loop.call_later(TELL_SECONDS, self.untold.notify)

    def _record_first_event(self, context: RequestContext, attempt: Attempt) -> None:
        self._record_origin(context, attempt.choice.upstream)
        attempt.ticket.start()
        self.placement.prefix_cache.record_read(attempt.upstream, context.call.prompt)
        self.link.record_start(attempt.number)
        moves = attempt.ticket.source is not None
        if loop_utilization() <= OVERLOADED_UTILIZATION and not moves:
            self.placement.measure(attempt.ticket, context.placement_query(self.domain))

    async def _read_matching_head(
        self,
        context: RequestContext,
        attempt: Attempt,
        connection: Connection,
    ) -> tuple[ResponseHead, ResponseMarks]:
        """Return the head of the response to this request, and its marks.

        On a reused connection, a late response to an earlier request may come first;
        it is skipped.
        """
        for _ in range(MAX_STALE_RESPONSES):
            head = await connection.read_head()
            mark = self.adapter.read_answer(head.status, head.headers)
            self._apply_backpressure(attempt.upstream, mark)
            if mark.request in {'', context.call.request}:
                return head, mark
            await connection.read_body(self.response_limits.check_skipped)
            logs.info(
                'stale response skipped',
                request=context.call.request,
                answered=mark.request,
            )
            if not connection.expect_another_response():
                break
        raise IncompleteResponseError('only answers to other requests came')

    def _apply_backpressure(self, name: UpstreamName, mark: ResponseMarks) -> None:
        """Apply the backoff or shutdown that a response announces.

        It also counts in a stale response to another request.
        """
        # Without this, 438 requests within 5 s of load went to upstreams that had asked
        # this box for a backoff.
        self.backpressure.pause(name, mark.backoff)
        # A box that reached no hub sent 12 of 12 further requests to an upstream that
        # was shutting down.
        if mark.leaving:
            self.backpressure.mark_leaving(name)

    def _record_outcome(self, active: ActiveRequest, attempt: Attempt) -> None:
        """Update the upstream's health, and whether the request may have run."""
        health = self.placement.health
        self.crash_watch.record_answer(active.context, attempt)
        if attempt.outcome is AttemptOutcome.answered:
            health.record_success(attempt.upstream, self.now() - attempt.started_at)
            return
        if attempt.outcome is AttemptOutcome.broken:
            if attempt.watched is None or not attempt.watched.ejected:
                health.record_failure(attempt.upstream, attempt.reason)
            self.link.report_failure(attempt.upstream)
            self.crash_watch.check_for_crash(active.context, attempt)
        else:
            health.record_error(attempt.upstream)
        if attempt.outcome is AttemptOutcome.not_run:
            active.context.may_have_run = attempt.may_have_run_before
        log_failed_attempt(active.context, attempt)

    def _record_unreached(
        self,
        context: RequestContext,
        choice: Choice,
        error: NotSentError,
    ) -> None:
        logs.info(
            'upstream not reached',
            request=context.call.request,
            upstream=choice.upstream.name,
            reason=str(error),
        )
        self.placement.health.record_failure(choice.upstream.name, 'not reached')
        self.link.report_failure(choice.upstream.name)
        self.connections.close_idle(choice.upstream.name)
