"""Sending a request to one upstream, and what the attempt teaches."""

from functools import partial
from http import HTTPStatus

from hitchdeck_core import logs
from hitchdeck_core.busyness import busy_part
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import LifeId, UpstreamName
from hitchdeck_core.quarantine.crash_detector import CrashDetector
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_edge.dispatch.attempts import Attempt, Service, Verdict, verdict_on
from hitchdeck_edge.dispatch.connections import Connections
from hitchdeck_edge.dispatch.exchange import Connection, Head, Outgoing
from hitchdeck_edge.errors import (
    BrokenAnswerError,
    CallerGoneError,
    NotSentError,
    NotWantedError,
)
from hitchdeck_edge.links.placing import SHORT_OF_TIME
from hitchdeck_edge.model.adapter import Forwarding, PlatformAdapter
from hitchdeck_edge.model.calls import ResponseMarks
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.model.upstreams import Upstream
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.open_work import OpenWorkEntry

STALE_ANSWERS = 2
"""Answers to earlier requests that are skipped on one connection."""


class Sender:
    """Makes single attempts, and notes what they say of the upstreams."""

    def __init__(
        self,
        adapter: PlatformAdapter,
        chooser: Chooser,
        connections: Connections,
        quarantine: Quarantine,
        now: Clock,
    ) -> None:
        self.adapter = adapter
        self.quarantine = quarantine
        self.link = chooser.link
        self.placement = chooser.local.placement
        self.crash_detector = CrashDetector(quarantine, self._note_crash)
        self.backpressure = chooser.backpressure
        self.domain = chooser.domain
        self.connections = connections
        self.now = now

    async def send(self, service: Service, choice: Choice) -> bool:
        """Send the request to an upstream; tell whether it was sent."""
        context = service.context
        attempt = self._open_attempt(context, choice)
        connection: Connection | None = None
        try:
            connection = await self.connections.take(
                choice.upstream,
                sure=not context.repeatable,
            )
            if service.caller.has_left():
                self.connections.put_back(choice.upstream.name, connection)
                raise CallerGoneError('closed before the request was sent')
            self._check_wanted(choice, connection)
            self._send_on(service, attempt, connection)
            await self._receive(service, attempt, connection)
        except NotWantedError as error:
            logs.info(
                'upstream spared',
                request=context.call.request,
                upstream=choice.upstream.name,
                reason=str(error),
            )
            return False
        except NotSentError as error:
            service.unreached += 1
            self._note_unreached(context, choice, error)
            return False
        except BrokenAnswerError as error:
            attempt.reason = str(error)
        finally:
            self._close_attempt(attempt, connection)
        self._judge(service, attempt)
        return True

    def doubt(self, service: Service, attempt: Attempt) -> None:
        """Find out whether an upstream that gave no whole answer has ended."""
        upstream = attempt.choice.upstream
        self.crash_detector.record_broken_response(
            upstream.incarnation,
            service.context.fingerprint,
            partial(self.connections.reaches, upstream),
        )

    def leave(self, record: Upstream, newer: Upstream) -> None:
        """Await nothing of a life that another one has replaced.

        Where the address stayed the same, the new life's kernel resets what the
        earlier one left open, and what is open to the new one goes on.
        """
        if record.address == newer.address:
            self.connections.drop(record.name)
        else:
            self.connections.cut(record.name)
        self.crash_detector.confirm_crash(record.incarnation)
        self.backpressure.pass_on(record.name, newer.name)

    def _note_crash(self, incarnation: LifeId) -> None:
        """Avoid an upstream here; hubs hear of its crash from the quarantine."""
        self.placement.health.record_crash(UpstreamName(incarnation))

    def _open_attempt(self, context: RequestContext, choice: Choice) -> Attempt:
        name = choice.upstream.name
        ticket = OpenWorkEntry(self.placement.open_work, name, choice.tokens)
        number = 0
        if context.pool.engine is not None:
            number = self.link.track(choice.ticket, name, choice.tokens)
        return Attempt(choice, self.now(), ticket, number, context.may_have_run)

    def _close_attempt(self, attempt: Attempt, connection: Connection | None) -> None:
        attempt.ticket.close()
        self.link.end(attempt.number)
        if connection is None:
            return
        self.connections.release(attempt.upstream, connection)
        if connection.busy:
            connection.abort()

    def _check_wanted(self, choice: Choice, connection: Connection) -> None:
        """Raise ``NotWantedError`` if an upstream wants nothing any more.

        It may have said so while the request waited for the scheduler's answer
        and for a connection.
        """
        name = choice.upstream.name
        if not self.backpressure.wants_requests(name):
            self.connections.put_back(name, connection)
            raise NotWantedError(f'{name} asked for a pause, or leaves')
        if not self.placement.registry.takes_work(choice.upstream):
            self.connections.put_back(name, connection)
            raise NotWantedError(f'{name} may get no new work')

    def _send_on(
        self,
        service: Service,
        attempt: Attempt,
        connection: Connection,
    ) -> None:
        self.connections.occupy(attempt.upstream, connection)
        connection.send(self._outgoing(service.context, attempt.choice))
        self._note_sent(service, attempt)

    def _outgoing(self, context: RequestContext, choice: Choice) -> Outgoing:
        forwarding = Forwarding(
            upstream=choice.upstream,
            account=context.account,
            seconds_left=max(0, context.deadline - self.now()),
            last_event=context.last_event,
            body_bytes=len(context.body),
        )
        headers = self.adapter.forward_headers(context.call, forwarding)
        return Outgoing(
            context.call.method,
            context.call.target,
            headers,
            context.body,
        )

    def _note_sent(self, service: Service, attempt: Attempt) -> None:
        context = service.context
        context.sent += 1
        context.may_have_run = True
        service.last = attempt
        prompt = context.call.prompt
        if prompt is not None and context.pool.engine is not None:
            self.placement.prefix_cache.record_prompt(attempt.upstream, prompt)

    async def _receive(
        self,
        service: Service,
        attempt: Attempt,
        connection: Connection,
    ) -> None:
        head = await self._own_head(service.context, attempt, connection)
        attempt.head = head
        mark = self.adapter.read_answer(head.status, head.headers)
        attempt.pause = mark.backoff
        attempt.leaving = mark.leaving
        if mark.other_incarnation:
            self.placement.health.record_wrong_upstream(attempt.upstream)
        success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        if success and not mark.sealed:
            raise BrokenAnswerError('a success that the upstream does not vouch for')
        if success and service.context.route.streams:
            await self._relay(service, attempt, connection, head)
        else:
            attempt.body = await connection.read_body()
            attempt.ticket.start()
            attempt.verdict = verdict_on(head, not_run=mark.not_run)
        self.connections.give_back(attempt.choice.upstream, connection, head.headers)

    async def _relay(
        self,
        service: Service,
        attempt: Attempt,
        connection: Connection,
        head: Head,
    ) -> None:
        def on_event() -> None:
            if attempt.ticket.reading:
                attempt.first_event = self.now() - attempt.began
                self._note_start(service.context, attempt)

        attempt.relayed = True
        await service.relay.pass_on(connection, head, on_event)
        attempt.verdict = Verdict.answered

    def _note_start(self, context: RequestContext, attempt: Attempt) -> None:
        attempt.ticket.start()
        self.link.start(attempt.number)
        if busy_part() <= SHORT_OF_TIME:
            self.placement.measure(attempt.ticket, context.placement_query(self.domain))

    async def _own_head(
        self,
        context: RequestContext,
        attempt: Attempt,
        connection: Connection,
    ) -> Head:
        """Return the head of the answer to this very request.

        An answer to an earlier one may come late on a kept connection.
        """
        for _ in range(STALE_ANSWERS):
            head = await connection.read_head()
            mark = self.adapter.read_answer(head.status, head.headers)
            self._heed(attempt.upstream, mark)
            if mark.request in {'', context.call.request}:
                return head
            await connection.read_body()
            logs.info(
                'stale answer skipped',
                request=context.call.request,
                answered=mark.request,
            )
            if not connection.expect_another_answer():
                break
        raise BrokenAnswerError('only answers to other requests came')

    def _heed(self, name: UpstreamName, mark: ResponseMarks) -> None:
        """Keep to what an upstream asks for in an answer, to whichever request."""
        # 438 requests went to upstreams that had asked this box for a pause,
        # within five seconds of load.
        self.backpressure.pause(name, mark.backoff)
        # A box in reach of no hub sent 12 of 12 further requests to one that left.
        if mark.leaving:
            self.backpressure.leave(name)

    def _judge(self, service: Service, attempt: Attempt) -> None:
        """Draw conclusions on the upstream, and on whether the request ran."""
        health = self.placement.health
        if attempt.verdict in {Verdict.answered, Verdict.failed}:
            self.quarantine.record_answer(service.context.fingerprint)
        if attempt.verdict is Verdict.answered:
            health.record_success(attempt.upstream, self.now() - attempt.began)
            return
        if attempt.verdict is Verdict.broken:
            health.record_failure(attempt.upstream, attempt.reason)
            self.link.fail(attempt.upstream)
            self.doubt(service, attempt)
        else:
            health.record_error(attempt.upstream)
        if attempt.verdict is Verdict.not_run:
            service.context.may_have_run = attempt.ran_before
        logs.info(
            'attempt failed',
            request=service.context.call.request,
            content=service.context.fingerprint.hex(),
            upstream=attempt.upstream,
            verdict=attempt.verdict.value,
            status=attempt.head.status if attempt.head else 0,
            reason=attempt.reason,
            attempt=service.context.sent,
            pause=attempt.pause,
            leaving=attempt.leaving,
            decided_by=service.context.decided_by,
        )

    def _note_unreached(
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
        self.link.fail(choice.upstream.name)
        self.connections.drop(choice.upstream.name)
