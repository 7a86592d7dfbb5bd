"""Sending a request to upstreams until one answers, within what it allows.

A refusal says "not run" only where no upstream can have begun the request:
nothing was sent, or each upstream that got it said that it did not run it.
"""

import asyncio

from hitchdeck_core.clock import Clock
from hitchdeck_edge.dispatch.answers import Answers
from hitchdeck_edge.dispatch.attempts import Attempt, Service, Verdict
from hitchdeck_edge.dispatch.budget import RepeatBudget
from hitchdeck_edge.dispatch.relay import Relay
from hitchdeck_edge.dispatch.sender import Sender
from hitchdeck_edge.model.adapter import PlatformAdapter
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.serving.caller import Caller

UNREACHED_MOST = 4
"""Upstreams that may be out of reach in a row before a request is refused."""

NOBODY_TAKES_IT = frozenset((Refusal.no_upstream, Refusal.no_attempt_left))
"""Refusals for which another try makes sense only when some upstream takes it."""


class Dispatcher:
    """Serves requests with what a box knows of its upstreams."""

    def __init__(
        self,
        adapter: PlatformAdapter,
        chooser: Chooser,
        sender: Sender,
        budget: RepeatBudget,
        now: Clock,
    ) -> None:
        self.adapter = adapter
        self.chooser = chooser
        self.sender = sender
        self.budget = budget
        self.now = now

    def open(self, context: RequestContext, caller: Caller) -> Service:
        """Return the service of a request, which is counted from now on."""
        answers = Answers(self.adapter, context, caller)
        self.budget.count(context.pool.name)
        return Service(context, caller, answers, Relay(context, caller))

    async def serve(self, service: Service) -> None:
        """Answer a request, finally, before its time is over.

        Raises
        ------
        CallerGoneError
            The caller left; nobody is to be answered.
        """
        try:
            async with asyncio.timeout(service.context.deadline - self.now()):
                await self._serve(service)
        except TimeoutError:
            self._doubt(service)
            service.answers.run_out_of_time()

    async def _serve(self, service: Service) -> None:
        context = service.context
        while True:
            choice = await self._choose(context)
            if isinstance(choice, Refusal):
                await self._give_up(service, choice)
                return
            context.tried.add(choice.upstream.name)
            if not await self.sender.send(service, choice):
                if service.unreached < UNREACHED_MOST:
                    continue
                await self._give_up(service, Refusal.no_upstream)
                return
            assert service.last is not None
            if service.last.verdict is Verdict.answered:
                await self._deliver(service, service.last)
                return
            if not self._may_repeat(service):
                await self._give_up(service, Refusal.no_attempt_left)
                return

    async def _choose(self, context: RequestContext) -> Choice | Refusal:
        """Return where to send a request, or why not; in time, by the clock.

        A box without processor time gets word of its timers late.
        """
        # Ten engines ended one after the other under one content that came again.
        if self.sender.quarantine.is_quarantined(context.fingerprint):
            return Refusal.quarantined
        choice = await self.chooser.choose(context)
        if self.now() >= context.deadline:
            if isinstance(choice, Choice):
                self.chooser.give_back(choice)
            raise TimeoutError
        return choice

    def _doubt(self, service: Service) -> None:
        """Ask whether the upstream has ended that still had a request at its end."""
        last = service.last
        if last is not None and last.verdict is Verdict.broken:
            self.sender.doubt(service, last)

    def _may_repeat(self, service: Service) -> bool:
        context = service.context
        if context.sent >= context.route.attempts:
            return False
        if context.may_have_run and not context.repeatable:
            return False
        if service.caller.started and not context.route.resumable:
            return False
        return self.budget.take(context.pool.name)

    async def _deliver(self, service: Service, attempt: Attempt) -> None:
        if attempt.relayed:
            service.answers.outcome = 'streamed'
            return
        assert attempt.head is not None
        await service.answers.pass_on(attempt.head, attempt.body)

    async def _give_up(self, service: Service, refusal: Refusal) -> None:
        """End with the upstream's own word if it has one, else with ours."""
        last = service.last
        failed = last is not None and last.verdict is Verdict.failed
        if failed and not service.caller.started:
            assert last is not None
            await self._deliver(service, last)
            return
        # Callers came back after 0.1 s to a box with nothing for them for longer.
        pause = self.chooser.backoff_left(service.context.pool.name)
        if pause and refusal in NOBODY_TAKES_IT:
            service.answers.give_up(Refusal.paused, pause)
            return
        service.answers.give_up(refusal)
