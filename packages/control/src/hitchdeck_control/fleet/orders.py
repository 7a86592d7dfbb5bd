"""Orders to upstreams, sent by the leader, one at a time for each upstream.

An order is committed before it is sent, with (term, sequence) as a fencing token.
Upstreams that check the token reject orders that an earlier leader sent late.  For
other upstreams, a new leader waits until no order of an earlier one can still be in
flight, and reads the upstream's state before it sends an order.
"""

import asyncio
import json
from dataclasses import dataclass
from typing import Literal

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from hitchdeck_control.errors import (
    NotLeaderError,
    OrderError,
    OutcomeUnknownError,
)
from hitchdeck_control.fleet.leader import Leader
from hitchdeck_control.machine.state import Order
from hitchdeck_core import logs
from hitchdeck_core.commands import FinishOrder
from hitchdeck_core.resources import Upstream
from hitchdeck_core.retry_after import RETRY_AFTER, requested_backoff

FLIGHT_SECONDS = 5.0
"""Timeout of a call that sends an order."""

_POLL_SECONDS = 0.2
_MAX_REPLY_BYTES = 1_048_576
"""Limit of an upstream's answer to an order: the names of what is loaded."""

_PATH = '/admin/orders'
_CONFLICT = 409
_MAX_ATTEMPTS = 10


@dataclass(slots=True)
class WeightStore:
    """Throughput of the weight store, which all loads share; bytes and seconds."""

    rate: float
    free_at: float = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Reserve throughput; return the seconds until the load may start."""
        start = max(now, self.free_at)
        self.free_at = start + size / self.rate
        return start - now


class OrderSender:
    """Sends open orders while its replica is the leader."""

    def __init__(self, leader: Leader, store: WeightStore) -> None:
        self.leader = leader
        self.store = store
        self.in_progress: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Send open orders until cancelled."""
        while True:
            await self.leader.machine.version_changed.wait(_POLL_SECONDS)
            try:
                self.leader.check_leads()
            except NotLeaderError:
                self._stop_all()
                continue
            self._start_next()

    def _start_next(self) -> None:
        for upstream, task in list(self.in_progress.items()):
            if task.done():
                self.in_progress.pop(upstream)
        for sequence, order in self.leader.machine.state.orders.items():
            upstream = order.order.upstream
            if order.state == 'open' and upstream not in self.in_progress:
                work = self._execute_order(sequence, order)
                self.in_progress[upstream] = asyncio.create_task(work)

    def _stop_all(self) -> None:
        for task in self.in_progress.values():
            task.cancel()
        self.in_progress.clear()

    async def _execute_order(self, sequence: int, order: Order) -> None:
        try:
            finished = await self._send_until_answered(sequence, order)
            await self.leader.execute(finished)
        except (NotLeaderError, OutcomeUnknownError) as error:
            logs.info('order left open for the next leader', reason=str(error))

    async def _send_until_answered(self, sequence: int, order: Order) -> FinishOrder:
        stored = self.leader.machine.state.resources.get(
            f'upstream/{order.order.upstream}',
        )
        if stored is None or not isinstance(stored.resource, Upstream):
            return FinishOrder(sequence=sequence, state='failed', detail='no upstream')
        upstream = stored.resource
        if not upstream.checks_fences:
            await self._wait_for_earlier_orders()
            if await _is_applied(upstream, order):
                return FinishOrder(sequence=sequence, state='done', detail='was so')
        if order.order.action == 'load':
            size = order.order.weight_bytes
            await asyncio.sleep(self.store.reserve(size, self.leader.now()))
        return await self._try_to_send(upstream, sequence, order)

    async def _try_to_send(
        self,
        upstream: Upstream,
        sequence: int,
        order: Order,
    ) -> FinishOrder:
        last_failure = ''
        for _ in range(_MAX_ATTEMPTS):
            # Checked right before the call, without an ``await`` in between.
            self.leader.check_leads()
            term = self.leader.replica.term
            try:
                state = await _send(upstream, order, term, sequence)
            except OrderError as error:
                last_failure = str(error)
                # Without the backoff, ten attempts 0.2 s apart abandoned an order
                # while the upstream asked to wait 3 s.
                await asyncio.sleep(max(_POLL_SECONDS, error.retry_after))
            else:
                return FinishOrder(sequence=sequence, state=state)
        return FinishOrder(sequence=sequence, state='failed', detail=last_failure)

    async def _wait_for_earlier_orders(self) -> None:
        """Wait until no order of an earlier leader can be in flight.

        That leader stopped sending when its lease expired, at the latest when this
        one was elected.  Its last calls end within ``FLIGHT_SECONDS``.
        """
        leadership = self.leader.replica.leadership
        if leadership is None:
            raise NotLeaderError('')
        left = leadership.started_at + FLIGHT_SECONDS - self.leader.now()
        await asyncio.sleep(max(0.0, left))


async def _send(
    upstream: Upstream,
    order: Order,
    term: int,
    sequence: int,
) -> Literal['done', 'superseded']:
    body = {
        'term': term,
        'sequence': sequence,
        'action': order.order.action,
        'target': order.order.target,
    }
    request = HTTPRequest(
        f'http://{upstream.address}{_PATH}',
        method='POST',
        body=json.dumps(body),
        request_timeout=FLIGHT_SECONDS,
    )
    try:
        await _fetch(request)
    except HTTPClientError as error:
        if error.code == _CONFLICT:
            return 'superseded'
        raise OrderError(
            f'{upstream.name}: {error}', _requested_backoff(error)
        ) from error
    except OSError as error:
        raise OrderError(f'{upstream.name}: {error}') from error
    return 'done'


async def _fetch(request: HTTPRequest) -> HTTPResponse:
    """Return a response that is within ``_MAX_REPLY_BYTES``.

    Raises
    ------
    HTTPClientError
        There is none, or its status is an error.
    """
    client = AsyncHTTPClient(
        force_instance=True,
        max_body_size=_MAX_REPLY_BYTES,
        max_buffer_size=_MAX_REPLY_BYTES,
    )
    try:
        return await client.fetch(request)
    finally:
        client.close()


def _requested_backoff(error: HTTPClientError) -> float:
    """Return the ``Retry-After`` of an error response in seconds."""
    if error.response is None:
        return 0
    return requested_backoff(error.code, error.response.headers.get(RETRY_AFTER, ''))


async def _is_applied(upstream: Upstream, order: Order) -> bool:
    """Return whether the upstream's state shows that an order was already applied."""
    request = HTTPRequest(
        f'http://{upstream.address}{_PATH}',
        request_timeout=FLIGHT_SECONDS,
    )
    try:
        reply = await _fetch(request)
    except HTTPClientError as error:
        await asyncio.sleep(_requested_backoff(error))
        return False
    except OSError:
        return False
    content = json.loads(reply.body)
    loaded = order.order.target in content.get('loaded', ())
    if order.order.action == 'load':
        return loaded
    if order.order.action == 'unload':
        return not loaded
    return bool(content.get('role') == order.order.target)
