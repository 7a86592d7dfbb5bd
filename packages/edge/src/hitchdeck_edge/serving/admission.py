"""What becomes of each request: refused at once, or served."""

import asyncio
import random

from hitchdeck_core import logs
from hitchdeck_core.busyness import busy_part, loop_lag
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName, RequestId
from hitchdeck_edge.dispatch.answers import refuse
from hitchdeck_edge.dispatch.attempts import Service
from hitchdeck_edge.dispatch.dispatcher import Dispatcher
from hitchdeck_edge.errors import CallerGoneError, CallError
from hitchdeck_edge.model.adapter import PlatformAdapter
from hitchdeck_edge.model.calls import Call
from hitchdeck_edge.model.document import Route, common_areas
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.serving.caller import Caller
from hitchdeck_edge.serving.front import Reading
from hitchdeck_edge.serving.gauges import Gauges
from hitchdeck_edge.serving.overload import is_short_of_time, should_admit
from hitchdeck_edge.serving.rejections import Rejections
from hitchdeck_edge.serving.shedding import Shedder
from hitchdeck_edge.serving.stopping import Stopping
from hitchdeck_edge.state.fleet_state import FleetState

CALLER_GONE = 'caller gone'
"""Outcome of a request whose caller closed its connection first."""

START_SECONDS = 1.2
"""How long a request waits for the first document at most.  Of 400 requests
that reached boxes in their first 0.6 s, all were refused, most of them twice."""

START_PART = 0.2
"""Part of the caller's time that such a wait may take."""

_NO_ID = RequestId('')


class Admission:
    """Decides on requests under the newest document."""

    def __init__(
        self,
        adapter: PlatformAdapter,
        known: FleetState,
        dispatcher: Dispatcher,
        stopping: Stopping,
        now: Clock,
    ) -> None:
        self.adapter = adapter
        self.documents = known.documents
        self.dispatcher = dispatcher
        self.stopping = stopping
        self.now = now
        self.gauges = Gauges(now)
        self.tasks: set[asyncio.Task[None]] = set()
        self.rejections = Rejections(now)
        self.shedder = Shedder(adapter.request_field, self._has_time, self._record)

    def take(self, reading: Reading) -> None:
        """Start to serve a request that was read."""
        arrived = self.now()
        caller = Caller(reading.connection)
        if not self._has_time():
            self._reject(reading, caller)
            return
        task = asyncio.get_running_loop().create_task(
            self._serve(reading, caller, arrived),
        )

        def leave() -> None:
            task.cancel()

        caller.on_gone = leave
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def is_short_of_time(self) -> bool:
        """Tell whether this box may have to reject requests."""
        return is_short_of_time(busy_part(), loop_lag())

    def _has_time(self) -> bool:
        return should_admit(busy_part(), loop_lag())

    def _reject(self, reading: Reading, caller: Caller) -> None:
        """Reject a request for which this box has no time, and spend none on it.

        Its head is not decoded, and no task is made.
        """
        request = RequestId(reading.headers.get(self.adapter.request_field, ''))
        try:
            refuse(self.adapter, request, caller, Refusal.no_time_here)
        except CallerGoneError:
            self.gauges.ended(CALLER_GONE)
            return
        self._record(request)

    def _record(self, request: RequestId) -> None:
        self.gauges.ended(Refusal.no_time_here.name)
        self.rejections.add(request)

    async def _serve(self, reading: Reading, caller: Caller, arrived: float) -> None:
        call: Call | None = None
        try:
            call = self._read(reading)
            await self._answer(call, reading.body, caller, arrived)
        except (CallerGoneError, asyncio.CancelledError):
            request = call.request if call else _NO_ID
            self._note_end(request, caller, CALLER_GONE, arrived, call)
        except Exception as error:
            logs.failure(
                'request failed',
                error,
                request=call.request if call else '',
            )
            caller.break_off()

    async def _answer(
        self,
        call: Call | None,
        body: bytes,
        caller: Caller,
        arrived: float,
    ) -> None:
        if call is not None:
            await self._decide(call, body, caller, arrived)
            return
        refuse(self.adapter, _NO_ID, caller, Refusal.bad_request)
        self._note_end(_NO_ID, caller, Refusal.bad_request.name, arrived)

    def _read(self, reading: Reading) -> Call | None:
        start = reading.start_line
        assert start is not None
        headers = reading.headers.get_all()
        try:
            return self.adapter.read_call(start.method, start.path, headers)
        except CallError as error:
            logs.info('request unreadable', reason=str(error))
            return None

    async def _decide(
        self,
        call: Call,
        body: bytes,
        caller: Caller,
        arrived: float,
    ) -> None:
        await self._wait_for_document(call, arrived)
        decision = self._admit(call, body, arrived)
        if isinstance(decision, Refusal):
            refuse(self.adapter, call.request, caller, decision)
            self._note_end(call.request, caller, decision.name, arrived, call)
            return
        self.gauges.opened(decision.route.name)
        service = self.dispatcher.open(decision, caller)
        try:
            await self.dispatcher.serve(service)
        except (CallerGoneError, asyncio.CancelledError):
            # The task that serves this request is cancelled as its caller left.
            service.answers.outcome = CALLER_GONE
        self._note_service(service)

    async def _wait_for_document(self, call: Call, arrived: float) -> None:
        """Wait a little in a box that has just started, rather than refuse.

        Callers come back once or twice, and the document is there sooner.
        """
        patience = call.timeout or START_SECONDS
        until = arrived + min(START_SECONDS, patience * START_PART)
        while self.documents.document is None and self.now() < until:
            await self.documents.changed.wait(until - self.now())

    def _admit(
        self, call: Call, body: bytes, arrived: float
    ) -> RequestContext | Refusal:
        document = self.documents.document
        if document is None:
            return Refusal.no_document
        table = self.documents.table
        route = table.route(call.host, call.path)
        if route is None:
            return Refusal.no_route
        account = table.account(call.key) if route.needs_key else None
        if route.needs_key and account is None:
            return Refusal.no_key
        homes = common_areas(route, account)
        if homes is None:
            return Refusal.no_upstream
        if self._comes_too_late_to_stop(route):
            return Refusal.stopping
        pool = document.pools[_pool_of(route)]
        patience = min(call.timeout or route.time_limit, route.time_limit)
        return RequestContext(
            call=call,
            body=body,
            route=route,
            pool=pool,
            account=account.name if account else None,
            version=document.version,
            arrived=arrived,
            deadline=arrived + patience,
            last_event=call.last_event,
            areas=homes,
        )

    def _comes_too_late_to_stop(self, route: Route) -> bool:
        longest = min(self.gauges.longest_seconds(route.name), route.time_limit)
        return self.stopping.refuses(longest, streams=route.streams)

    def _note_service(self, service: Service) -> None:
        context = service.context
        last = service.last
        seconds = self.now() - context.arrived
        self.gauges.served(context, service.answers.outcome, seconds)
        logs.info(
            'request',
            request=context.call.request,
            route=context.route.name,
            account=context.account,
            version=context.version,
            outcome=service.answers.outcome,
            status=service.caller.status,
            upstream=last.upstream if last else '',
            sent=context.sent,
            expected_queue=round(last.choice.queue, 3) if last else 0,
            decided_by=context.decided_by,
            unread=last.choice.tokens if last else 0,
            first_event=round(last.first_event, 3) if last else 0,
            goal=context.route.goal,
            seconds=round(seconds, 3),
            **_content_field(context, service.answers.outcome),
            **_size_fields(context.call),
        )

    def _note_end(
        self,
        request: RequestId,
        caller: Caller,
        outcome: str,
        arrived: float,
        call: Call | None = None,
    ) -> None:
        self.gauges.ended(outcome)
        logs.info(
            'request',
            request=request,
            version=self.documents.version,
            outcome=outcome,
            status=caller.status,
            seconds=round(self.now() - arrived, 3),
            **(_size_fields(call) if call else {}),
        )


def _content_field(context: RequestContext, outcome: str) -> dict[str, object]:
    """Return what leads from a request that is kept away to the ends before it."""
    if outcome != Refusal.quarantined.name:
        return {}
    return {'content': context.fingerprint.hex()}


def _size_fields(call: Call) -> dict[str, object]:
    """Return what the log says of a generation.

    A request that comes back after a refusal has another id, but the same
    size and the same last part of its prompt.
    """
    prompt = call.prompt
    if prompt is None:
        return {}
    return {
        'prompt': prompt.tokens,
        'expected_made': prompt.expected_output_tokens,
        'last_part': prompt.parts[-1].part_id if prompt.parts else '',
    }


def _pool_of(route: Route) -> PoolName:
    if len(route.targets) == 1:
        return route.targets[0].pool
    weights = [target.weight for target in route.targets]
    return random.choices(route.targets, weights)[0].pool
