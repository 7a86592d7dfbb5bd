"""Admission: rejects a request at once, or has it dispatched to an upstream."""

import asyncio
import random

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName, RequestId
from hitchdeck_core.loop_load import loop_lag, loop_utilization
from hitchdeck_edge.dispatch.attempts import ActiveRequest
from hitchdeck_edge.dispatch.dispatcher import Dispatcher
from hitchdeck_edge.dispatch.responses import send_refusal
from hitchdeck_edge.errors import CallerDisconnectedError, MalformedRequestError
from hitchdeck_edge.model.adapter import PlatformAdapter
from hitchdeck_edge.model.calls import Call
from hitchdeck_edge.model.document import Route, common_areas, urgency
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.model.stream_origins import content_key, request_key
from hitchdeck_edge.serving.budgets import Budgets
from hitchdeck_edge.serving.caller import CallerConnection
from hitchdeck_edge.serving.caller_http import Service
from hitchdeck_edge.serving.caller_server import IncomingRequest
from hitchdeck_edge.serving.graceful_stop import GracefulStop
from hitchdeck_edge.serving.metrics import EntryMetrics
from hitchdeck_edge.serving.overload import is_overloaded, should_admit
from hitchdeck_edge.serving.rejections import RejectionLog
from hitchdeck_edge.serving.shedding import Shedder
from hitchdeck_edge.state.fleet_state import FleetState

CALLER_DISCONNECTED = 'caller gone'
"""Outcome of a request whose caller disconnected before the response."""

EVICTED = 'evicted'
"""Outcome of a request whose response was broken off for lack of memory."""

DOCUMENT_WAIT_SECONDS = 1.2
"""Maximum time for which a request waits for the first configuration document.
Without the wait, all of 400 requests were refused that reached boxes in their first
0.6 s, most of them twice."""

DOCUMENT_WAIT_FRACTION = 0.2
"""Fraction of the caller's wait limit that this wait may use."""

_NO_ID = RequestId('')


class Admission:
    """Admits or rejects requests by the newest configuration document."""

    def __init__(
        self,
        adapter: PlatformAdapter,
        fleet_state: FleetState,
        dispatcher: Dispatcher,
        graceful_stop: GracefulStop,
        now: Clock,
        budgets: Budgets | None = None,
    ) -> None:
        self.budgets = budgets or Budgets()
        self.adapter = adapter
        self.documents = fleet_state.documents
        self.origin_lookup = fleet_state.origin_lookup
        self.dispatcher = dispatcher
        self.graceful_stop = graceful_stop
        self.now = now
        self.metrics = EntryMetrics(now)
        self.tasks: set[asyncio.Task[None]] = set()
        self.rejections = RejectionLog(now)
        self.shedder = Shedder(
            adapter.request_field, self._should_admit, self._record_rejection
        )

    def start_serving(self, incoming: IncomingRequest) -> None:
        """Start serving a request that was read in full."""
        arrived = self.now()
        caller = CallerConnection(incoming.connection)
        if incoming.is_refused or not self._should_admit():
            self._reject(incoming, caller)
            return
        service = self._serve(incoming, caller, arrived)
        if incoming.connection_serves:
            incoming.serve_in_connection(self._tracked(service, incoming, caller))
            return
        task = asyncio.get_running_loop().create_task(service)

        def cancel_task() -> None:
            task.cancel()

        caller.on_disconnect = cancel_task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda _: incoming.release())

    def is_overloaded(self) -> bool:
        """Tell whether this box may have to reject requests."""
        return is_overloaded(loop_utilization(), loop_lag())

    def _should_admit(self) -> bool:
        if self.budgets.descriptors.exhausted:
            return False
        return should_admit(loop_utilization(), loop_lag())

    def _reject(self, incoming: IncomingRequest, caller: CallerConnection) -> None:
        """Reject a request because this box is overloaded or short of memory.

        To keep this cheap, the head is not decoded and no task is created.
        """
        incoming.release()
        request = RequestId(incoming.headers.get(self.adapter.request_field, ''))
        try:
            send_refusal(self.adapter, request, caller, Refusal.no_time_here)
        except CallerDisconnectedError:
            self.metrics.record_undispatched(CALLER_DISCONNECTED)
            return
        self._record_rejection(request)

    def _record_rejection(self, request: RequestId) -> None:
        self.metrics.record_undispatched(Refusal.no_time_here.name)
        self.rejections.add(request)

    async def _tracked(
        self, service: Service, incoming: IncomingRequest, caller: CallerConnection
    ) -> None:
        """Serve a request in the task of its connection."""
        task = asyncio.current_task()
        assert task is not None

        def cancel_task() -> None:
            task.cancel()

        caller.on_disconnect = cancel_task
        self.tasks.add(task)
        try:
            await service
        finally:
            # The task goes on to the next request of the connection.
            caller.on_disconnect = None
            self._forget(task, incoming)

    def _forget(self, task: asyncio.Task[None], incoming: IncomingRequest) -> None:
        self.tasks.discard(task)
        incoming.release()

    async def _serve(
        self, incoming: IncomingRequest, caller: CallerConnection, arrived: float
    ) -> None:
        call: Call | None = None
        try:
            call = self._decode(incoming)
            await self._decide(call, incoming, caller, arrived)
        except (CallerDisconnectedError, asyncio.CancelledError):
            request = call.request if call else _NO_ID
            self._record_end(request, caller, CALLER_DISCONNECTED, arrived, call)
        except Exception as error:
            logs.failure(
                'request failed',
                error,
                request=call.request if call else '',
            )
            caller.abort()

    async def _decide(
        self,
        call: Call | None,
        incoming: IncomingRequest,
        caller: CallerConnection,
        arrived: float,
    ) -> None:
        if call is not None:
            await self._dispatch(call, incoming, caller, arrived)
            return
        send_refusal(self.adapter, _NO_ID, caller, Refusal.bad_request)
        self._record_end(_NO_ID, caller, Refusal.bad_request.name, arrived)

    def _decode(self, incoming: IncomingRequest) -> Call | None:
        start = incoming.start_line
        assert start is not None
        headers = incoming.headers.get_all()
        try:
            return self.adapter.read_call(start.method, start.path, headers)
        except MalformedRequestError as error:
            logs.info('malformed request', reason=str(error))
            return None

    async def _dispatch(
        self,
        call: Call,
        incoming: IncomingRequest,
        caller: CallerConnection,
        arrived: float,
    ) -> None:
        await self._wait_for_document(call, arrived)
        decision = self._admit(call, incoming.body, arrived)
        if isinstance(decision, RequestContext):
            decision = await self._find_origin(decision) or decision
        if isinstance(decision, Refusal):
            send_refusal(self.adapter, call.request, caller, decision)
            self._record_end(call.request, caller, decision.name, arrived, call)
            return
        incoming.assign(decision.account or '')
        self.metrics.record_admitted(decision.route.name)
        active = self.dispatcher.open(decision, caller)
        try:
            await self.dispatcher.serve(active)
        except (CallerDisconnectedError, asyncio.CancelledError):
            # The task of a request is cancelled when its caller disconnects.
            evicted = active.relay.is_evicted
            active.response.outcome = EVICTED if evicted else CALLER_DISCONNECTED
        self._record_service(active)

    async def _wait_for_document(self, call: Call, arrived: float) -> None:
        """Wait for the first document in a box that has just started.

        Callers retry only once or twice, often before the document arrives, so
        that rejecting at once would fail their requests.
        """
        patience = call.timeout or DOCUMENT_WAIT_SECONDS
        until = arrived + min(DOCUMENT_WAIT_SECONDS, patience * DOCUMENT_WAIT_FRACTION)
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
        needs_key = route.needs_key and document.has_accounts
        account = table.account(call.key) if needs_key else None
        if needs_key and account is None:
            return Refusal.no_key
        homes = common_areas(route, account)
        if homes is None:
            return Refusal.no_upstream
        if self._would_outlast_stop(route):
            return Refusal.stopping
        pool = document.pools[_choose_pool(route)]
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
            priority=urgency(route, account),
        )

    async def _find_origin(self, context: RequestContext) -> Refusal | None:
        """Find the upstreams at which a stream may go on that the caller resumes.

        Returns
        -------
        Refusal or None
            Why it can't go on; ``None`` if it may, or if the request resumes none.
        """
        call = context.call
        if not (context.route.streams and (call.last_event or call.resumed)):
            return None
        key = content_key(context.fingerprint)
        if call.resumed:
            key = request_key(context.account, call.resumed)
        max_age = max(context.route.time_limit, call.timeout or 0)
        origin = await self.origin_lookup.find(key, max_age)
        logs.info(
            'stream resumed',
            request=call.request,
            resumed=call.resumed,
            last_event=call.last_event,
            pool=origin.pool if origin else '',
            software=origin.software if origin else '',
            seconds=round(self.now() - context.arrived, 3),
        )
        if origin is None:
            return Refusal.version_unknown
        document = self.documents.document
        routed = origin.pool in {target.pool for target in context.route.targets}
        if document is None or not routed or origin.pool not in document.pools:
            return Refusal.version_gone
        context.origin = origin
        context.pool = document.pools[origin.pool]
        return None

    def _would_outlast_stop(self, route: Route) -> bool:
        longest = min(self.metrics.longest_seconds(route.name), route.time_limit)
        return self.graceful_stop.should_refuse(longest, streams=route.streams)

    def _record_service(self, active: ActiveRequest) -> None:
        context = active.context
        last_attempt = active.last_attempt
        seconds = self.now() - context.arrived
        self.metrics.record_served(context, active.response.outcome, seconds)
        logs.info(
            'request',
            request=context.call.request,
            route=context.route.name,
            account=context.account,
            version=context.version,
            outcome=active.response.outcome,
            status=active.caller.status,
            upstream=last_attempt.upstream if last_attempt else '',
            software=last_attempt.choice.upstream.software if last_attempt else '',
            sent=context.sent,
            expected_queue=round(last_attempt.choice.queue, 3) if last_attempt else 0,
            decided_by=context.decided_by,
            unread=last_attempt.choice.tokens if last_attempt else 0,
            first_event=round(last_attempt.first_event, 3) if last_attempt else 0,
            idle_before=round(last_attempt.idle_before, 3) if last_attempt else 0,
            goal=context.route.goal,
            seconds=round(seconds, 3),
            **_framing_fields(active),
            **_resumption_fields(context.call),
            **_quarantine_fields(context),
            **_size_fields(context.call),
        )

    def _record_end(
        self,
        request: RequestId,
        caller: CallerConnection,
        outcome: str,
        arrived: float,
        call: Call | None = None,
    ) -> None:
        self.metrics.record_undispatched(outcome)
        logs.info(
            'request',
            request=request,
            version=self.documents.version,
            outcome=outcome,
            status=caller.status,
            seconds=round(self.now() - arrived, 3),
            **(_size_fields(call) if call else {}),
        )


def _framing_fields(active: ActiveRequest) -> dict[str, object]:
    """Return how a stream was framed, and the bytes of an event that it left."""
    last_attempt = active.last_attempt
    if last_attempt is None or last_attempt.head is None or not last_attempt.streamed:
        return {}
    return {
        'framing': last_attempt.head.framing.value,
        'unfinished': len(active.relay.splitter.remainder),
    }


def _resumption_fields(call: Call) -> dict[str, object]:
    """Return what a request states of the stream that it resumes, if any."""
    if not (call.last_event or call.resumed):
        return {}
    return {'resumed': call.resumed, 'last_event': call.last_event}


def _quarantine_fields(context: RequestContext) -> dict[str, object]:
    """Return the fingerprints that link a quarantined request to earlier crashes."""
    if context.quarantined is None:
        return {}
    fields: dict[str, object] = {'content': context.fingerprint.hex()}
    if context.quarantined != context.fingerprint:
        fields['quarantined_part'] = context.quarantined.hex()
    return fields


def _size_fields(call: Call) -> dict[str, object]:
    """Return the log fields that describe the size of a generation.

    They match retries to the rejected request: a retry has another id, but the same
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


def _choose_pool(route: Route) -> PoolName:
    if len(route.targets) == 1:
        return route.targets[0].pool
    weights = [target.weight for target in route.targets]
    return random.choices(route.targets, weights)[0].pool
