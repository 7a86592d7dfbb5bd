"""Sending a request to one upstream, and recording the outcome."""

from functools import partial
from http import HTTPStatus

from hitchdeck_core import logs
from hitchdeck_core.busyness import busy_part
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import LifeId, UpstreamName
from hitchdeck_core.quarantine.endings import Endings
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_edge.dispatch.attempts import (
    ActiveRequest,
    Attempt,
    AttemptOutcome,
    outcome_of,
)
from hitchdeck_edge.dispatch.connections import ConnectionPool
from hitchdeck_edge.dispatch.upstream_connection import (
    Connection,
    ResponseHead,
    UpstreamRequest,
)
from hitchdeck_edge.errors import (
    CallerDisconnectedError,
    IncompleteResponseError,
    NotSentError,
    UpstreamNotAcceptingError,
)
from hitchdeck_edge.links.placing import SHORT_OF_TIME
from hitchdeck_edge.model.calls import AnswerMark
from hitchdeck_edge.model.dialect import Dialect, Forwarding
from hitchdeck_edge.model.passage import Passage
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.books import Ticket
from hitchdeck_edge.scheduling.chooser import Chooser

MAX_STALE_RESPONSES = 2
"""Maximum number of response heads that are read for one request; late responses to
earlier requests are skipped."""


class Sender:
    """Makes single attempts, and records what they show about upstreams."""

    def __init__(
        self,
        dialect: Dialect,
        chooser: Chooser,
        connections: ConnectionPool,
        quarantine: Quarantine,
        now: Clock,
    ) -> None:
        self.dialect = dialect
        self.quarantine = quarantine
        self.link = chooser.link
        self.placement = chooser.local.placement
        self.endings = Endings(quarantine, self._avoid_crashed)
        self.backpressure = chooser.backpressure
        self.domain = chooser.domain
        self.connections = connections
        self.now = now

    async def send(self, active: ActiveRequest, choice: Choice) -> bool:
        """Send the request to an upstream; return whether it was sent.

        Raises
        ------
        CallerDisconnectedError
            The caller has disconnected.
        """
        passage = active.passage
        attempt = self._open_attempt(passage, choice)
        connection: Connection | None = None
        try:
            connection = await self.connections.acquire(
                choice.upstream,
                fresh=not passage.repeatable,
            )
            if active.caller.has_disconnected():
                self.connections.return_unused(choice.upstream.name, connection)
                raise CallerDisconnectedError(
                    'caller disconnected before the request was sent'
                )
            self._check_accepting(choice, connection)
            self._send_request(active, attempt, connection)
            await self._receive(active, attempt, connection)
        except UpstreamNotAcceptingError as error:
            logs.info(
                'upstream spared',
                request=passage.call.request,
                upstream=choice.upstream.name,
                reason=str(error),
            )
            return False
        except NotSentError as error:
            active.unreached_count += 1
            self._record_unreached(passage, choice, error)
            return False
        except IncompleteResponseError as error:
            attempt.reason = str(error)
        finally:
            self._close_attempt(attempt, connection)
        self._record_outcome(active, attempt)
        return True

    def check_for_crash(self, active: ActiveRequest, attempt: Attempt) -> None:
        """Check whether an upstream that gave no complete response has crashed."""
        upstream = attempt.choice.upstream
        self.endings.note(
            upstream.life,
            active.passage.content,
            partial(self.connections.is_reachable, upstream),
        )

    def replace(self, record: Upstream, newer: Upstream) -> None:
        """Abandon an upstream incarnation that a newer one has replaced.

        If the address is the same, the kernel resets the connections of the earlier
        incarnation by itself, and those to the newer one must stay open.
        """
        if record.address == newer.address:
            self.connections.close_idle(record.name)
        else:
            self.connections.abort_all(record.name)
        self.endings.confirm(record.life)
        self.backpressure.pass_on(record.name, newer.name)

    def _avoid_crashed(self, life: LifeId) -> None:
        """Avoid a crashed upstream on this box; the quarantine notifies the hubs."""
        self.placement.health.crash(UpstreamName(life))

    def _open_attempt(self, passage: Passage, choice: Choice) -> Attempt:
        name = choice.upstream.name
        ticket = Ticket(self.placement.books, name, choice.tokens)
        number = 0
        if passage.pool.engine is not None:
            number = self.link.track(choice.ticket, name, choice.tokens)
        return Attempt(choice, self.now(), ticket, number, passage.may_have_run)

    def _close_attempt(self, attempt: Attempt, connection: Connection | None) -> None:
        attempt.ticket.close()
        self.link.end(attempt.number)
        if connection is None:
            return
        self.connections.mark_done(attempt.upstream, connection)
        if connection.busy:
            connection.abort()

    def _check_accepting(self, choice: Choice, connection: Connection) -> None:
        """Raise ``UpstreamNotAcceptingError`` if an upstream accepts no requests now.

        It may have asked for a backoff while the request waited for the scheduler
        and for a connection.
        """
        name = choice.upstream.name
        if not self.backpressure.wants_requests(name):
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
        connection.send(self._upstream_request(active.passage, attempt.choice))
        self._record_sent(active, attempt)

    def _upstream_request(self, passage: Passage, choice: Choice) -> UpstreamRequest:
        forwarding = Forwarding(
            upstream=choice.upstream,
            account=passage.account,
            seconds_left=max(0, passage.ends - self.now()),
            last_event=passage.last_event,
            body_bytes=len(passage.body),
        )
        headers = self.dialect.forward_headers(passage.call, forwarding)
        return UpstreamRequest(
            passage.call.method,
            passage.call.target,
            headers,
            passage.body,
        )

    def _record_sent(self, active: ActiveRequest, attempt: Attempt) -> None:
        passage = active.passage
        passage.sent += 1
        passage.may_have_run = True
        active.last_attempt = attempt
        prompt = passage.call.prompt
        if prompt is not None and passage.pool.engine is not None:
            self.placement.memory.note(attempt.upstream, prompt)

    async def _receive(
        self,
        active: ActiveRequest,
        attempt: Attempt,
        connection: Connection,
    ) -> None:
        head = await self._read_matching_head(active.passage, attempt, connection)
        attempt.head = head
        mark = self.dialect.read_answer(head.status, head.headers)
        attempt.backoff = mark.pause
        attempt.leaving = mark.leaving
        if mark.other_life:
            self.placement.health.misplace(attempt.upstream)
        success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        if success and not mark.sealed:
            raise IncompleteResponseError(
                'success response without the seal of the upstream'
            )
        if success and active.passage.route.streams:
            await self._relay(active, attempt, connection, head)
        else:
            attempt.body = await connection.read_body()
            attempt.ticket.start()
            attempt.outcome = outcome_of(head, not_run=mark.not_run)
        self.connections.keep_alive(attempt.choice.upstream, connection, head.headers)

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
                self._record_first_event(active.passage, attempt)

        attempt.streamed = True
        await active.relay.forward(connection, head, on_event)
        attempt.outcome = AttemptOutcome.answered

    def _record_first_event(self, passage: Passage, attempt: Attempt) -> None:
        attempt.ticket.start()
        self.link.start(attempt.number)
        if busy_part() <= SHORT_OF_TIME:
            self.placement.measure(attempt.ticket, passage.wanted(self.domain))

    async def _read_matching_head(
        self,
        passage: Passage,
        attempt: Attempt,
        connection: Connection,
    ) -> ResponseHead:
        """Return the head of the response to this request.

        On a reused connection, a late response to an earlier request may come first;
        it is skipped.
        """
        for _ in range(MAX_STALE_RESPONSES):
            head = await connection.read_head()
            mark = self.dialect.read_answer(head.status, head.headers)
            self._apply_backpressure(attempt.upstream, mark)
            if mark.request in {'', passage.call.request}:
                return head
            await connection.read_body()
            logs.info(
                'stale response skipped',
                request=passage.call.request,
                answered=mark.request,
            )
            if not connection.expect_another_response():
                break
        raise IncompleteResponseError('only answers to other requests came')

    def _apply_backpressure(self, name: UpstreamName, mark: AnswerMark) -> None:
        """Apply the backoff or shutdown that a response announces.

        It also counts in a stale response to another request.
        """
        # Without this, 438 requests within 5 s of load went to upstreams that had asked
        # this box for a backoff.
        self.backpressure.pause(name, mark.pause)
        # A box that reached no hub sent 12 of 12 further requests to an upstream that
        # was shutting down.
        if mark.leaving:
            self.backpressure.leave(name)

    def _record_outcome(self, active: ActiveRequest, attempt: Attempt) -> None:
        """Update the upstream's health, and whether the request may have run."""
        health = self.placement.health
        if attempt.outcome in {AttemptOutcome.answered, AttemptOutcome.failed}:
            self.quarantine.note_answer(active.passage.content)
        if attempt.outcome is AttemptOutcome.answered:
            health.succeed(attempt.upstream, self.now() - attempt.started_at)
            return
        if attempt.outcome is AttemptOutcome.broken:
            health.fail(attempt.upstream, attempt.reason)
            self.link.fail(attempt.upstream)
            self.check_for_crash(active, attempt)
        else:
            health.err(attempt.upstream)
        if attempt.outcome is AttemptOutcome.not_run:
            active.passage.may_have_run = attempt.may_have_run_before
        logs.info(
            'attempt failed',
            request=active.passage.call.request,
            content=active.passage.content.hex(),
            upstream=attempt.upstream,
            verdict=attempt.outcome.value,
            status=attempt.head.status if attempt.head else 0,
            reason=attempt.reason,
            attempt=active.passage.sent,
            pause=attempt.backoff,
            leaving=attempt.leaving,
            decided_by=active.passage.decided_by,
        )

    def _record_unreached(
        self,
        passage: Passage,
        choice: Choice,
        error: NotSentError,
    ) -> None:
        logs.info(
            'upstream not reached',
            request=passage.call.request,
            upstream=choice.upstream.name,
            reason=str(error),
        )
        self.placement.health.fail(choice.upstream.name, 'not reached')
        self.link.fail(choice.upstream.name)
        self.connections.close_idle(choice.upstream.name)
