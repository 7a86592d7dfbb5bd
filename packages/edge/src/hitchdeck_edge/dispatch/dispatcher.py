"""Dispatching a request: attempts at upstreams until one responds.

A refusal states that a request did not run only if no upstream can have begun it:
nothing was sent, or each upstream that received it stated that it did not run it.
"""

import asyncio
import random

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_edge.dispatch.attempts import ActiveRequest, Attempt, AttemptOutcome
from hitchdeck_edge.dispatch.budget import RetryBudget
from hitchdeck_edge.dispatch.relay import StreamRelay
from hitchdeck_edge.dispatch.responses import FinalResponse
from hitchdeck_edge.dispatch.sender import Sender
from hitchdeck_edge.dispatch.spool import CallerSpool
from hitchdeck_edge.model.adapter import PlatformAdapter
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.retry_times import usable_seconds
from hitchdeck_edge.scheduling.service_calls import second_attempt_pays
from hitchdeck_edge.serving.budgets import ByteBudget
from hitchdeck_edge.serving.caller import CallerConnection

MAX_UNREACHED = 4
"""Number of unreachable upstreams after which a request is refused."""

NO_UPSTREAM_ACCEPTS = frozenset(
    (Refusal.no_upstream, Refusal.no_attempt_left, Refusal.version_gone)
)
"""Refusals after which a retry makes sense only once some upstream accepts requests."""

_STREAMED = 'streamed'


class Dispatcher:
    """Serves requests by sending them to the upstreams that the chooser selects."""

    def __init__(
        self,
        adapter: PlatformAdapter,
        chooser: Chooser,
        sender: Sender,
        budget: RetryBudget,
        now: Clock,
        held_bytes: ByteBudget | None = None,
    ) -> None:
        self.held_bytes = held_bytes or ByteBudget(0)
        self.adapter = adapter
        self.chooser = chooser
        self.sender = sender
        self.budget = budget
        self.now = now
        self.second_attempts = 0

    def open(self, context: RequestContext, caller: CallerConnection) -> ActiveRequest:
        """Return the state of a request to serve; count it for the retry budget."""
        response = FinalResponse(self.adapter, context, caller)
        self.budget.count_request(context.pool.name)
        limits = self.sender.response_limits
        spool = self._spool(context, caller)
        relay = StreamRelay(context, caller, spool, limits)
        active = ActiveRequest(context, caller, response, relay)
        mechanisms = self.chooser.local.mechanisms
        if self.sender.watch is not None and mechanisms.second_attempts:
            # Not a partial call with ``active``, which would be a reference cycle.
            active.begin_second = self._begin_second
        return active

    async def serve(self, active: ActiveRequest) -> None:
        """Send the final response to a request before its deadline.

        Raises
        ------
        CallerDisconnectedError
            The caller has disconnected, so there is no response.
        """
        try:
            async with asyncio.timeout(active.context.deadline - self.now()):
                await self._serve(active)
        except TimeoutError:
            self._check_last_for_crash(active)
            active.response.time_out()
        finally:
            active.release()
            self._end_stream(active)

    def _end_stream(self, active: ActiveRequest) -> None:
        """Tell the hubs at once of a stream that broke: its caller may resume it."""
        streams = active.context.streams
        self.sender.origins.end(streams)
        has_begun = active.relay.begun is not None
        if streams and has_begun and active.response.outcome != _STREAMED:
            self.sender.untold.notify()

    def _spool(
        self, context: RequestContext, caller: CallerConnection
    ) -> CallerSpool | None:
        """Return a spool for a stream if the memory of this process is limited."""
        if not self.held_bytes.limit or not context.route.streams:
            return None
        account = context.account or ''
        return CallerSpool(caller, self.held_bytes, context.call.request, account)

    async def _serve(self, active: ActiveRequest) -> None:
        context = active.context
        while True:
            choice = await self._choose(active)
            if isinstance(choice, Refusal):
                await self._fail(active, choice)
                return
            context.tried.add(choice.upstream.name)
            if not await self.sender.send(active, choice):
                if active.unreached_count < MAX_UNREACHED:
                    continue
                await self._fail(active, Refusal.no_upstream)
                return
            assert active.last_attempt is not None
            if active.last_attempt.outcome is AttemptOutcome.answered:
                await self._deliver(active, active.last_attempt)
                return
            if not self._may_retry(active):
                await self._fail(active, Refusal.no_attempt_left)
                return

    async def _choose(self, active: ActiveRequest) -> Choice | Refusal:
        """Return an upstream for a request, or the reason to refuse it.

        The deadline is compared with the clock, since timers fire late on an
        overloaded box.

        Raises
        ------
        TimeoutError
            The deadline has passed.
        """
        context = active.context
        if active.last_attempt is not None:
            await self.sender.crash_watch.wait_for_probe(active.last_attempt)
        quarantine = self.sender.quarantine
        await quarantine.wait_until_settled(context.keys)
        # Without this check, retries of one request crashed ten engines in a row.
        context.quarantined = quarantine.cause_of_quarantine(context.keys)
        if context.quarantined is not None:
            whole = context.quarantined == context.fingerprint
            return Refusal.quarantined if whole else Refusal.part_quarantined
        choice = await self.chooser.choose(context)
        if self.now() >= context.deadline:
            if isinstance(choice, Choice):
                self.chooser.give_back(choice)
            raise TimeoutError
        return choice

    def _check_last_for_crash(self, active: ActiveRequest) -> None:
        """Check whether the upstream of the last, unfinished attempt has crashed."""
        last_attempt = active.last_attempt
        if last_attempt is not None and last_attempt.outcome is AttemptOutcome.broken:
            self.sender.crash_watch.check_for_crash(active.context, last_attempt)

    def _begin_second(self, active: ActiveRequest) -> bool:
        """Decide whether to give up an attempt without a response for a second one.

        The retry budget is charged, so that the second one is sure to begin.
        """
        context = active.context
        if not self._allows_retry(active):
            return False
        goal_left = context.arrived + context.route.goal - self.now()
        expected = self.chooser.expected_service_seconds(context)
        if not second_attempt_pays(goal_left, expected):
            return False
        active.retry_paid = self.budget.try_spend(context.pool.name)
        self.second_attempts += active.retry_paid
        logs.info(
            'second attempt' if active.retry_paid else 'no budget for second attempt',
            request=context.call.request,
            tried=sorted(context.tried),
            goal_left=round(goal_left, 3),
            expected=expected,
        )
        return active.retry_paid

    def _may_retry(self, active: ActiveRequest) -> bool:
        if not self._allows_retry(active):
            return False
        if active.retry_paid:
            active.retry_paid = False
            return True
        return self.budget.try_spend(active.context.pool.name)

    def _allows_retry(self, active: ActiveRequest) -> bool:
        """Tell whether a request may be sent again, apart from the budget."""
        context = active.context
        if context.sent >= context.route.attempts:
            return False
        if context.may_have_run and not context.repeatable:
            return False
        # An unknown version is not the same as any other.
        if context.origin is not None and not context.origin.software:
            return False
        if not active.caller.started:
            return True
        return context.route.resumable and active.relay.may_go_on

    async def _deliver(self, active: ActiveRequest, attempt: Attempt) -> None:
        if attempt.streamed:
            await active.relay.complete()
            active.response.outcome = _STREAMED
            return
        assert attempt.head is not None
        if attempt.held is not None:
            attempt.held.release = active.caller.abort
        await active.response.forward(attempt.head, attempt.body)

    async def _fail(self, active: ActiveRequest, refusal: Refusal) -> None:
        """End with the upstream's error response if there is one, else a refusal."""
        last_attempt = active.last_attempt
        failed = (
            last_attempt is not None and last_attempt.outcome is AttemptOutcome.failed
        )
        if failed and not active.caller.started:
            assert last_attempt is not None
            await self._deliver(active, last_attempt)
            return
        # Without the actual backoff, callers retried after 0.1 s while every upstream
        # asked for a longer one.
        backoff = self.chooser.backoff_left(active.context)
        if backoff and refusal in NO_UPSTREAM_ACCEPTS:
            active.response.fail(Refusal.paused, backoff)
            return
        left = active.context.deadline - self.now()
        seconds = usable_seconds(active.context.retry_after, left, random.random())
        active.response.fail(refusal, seconds)
