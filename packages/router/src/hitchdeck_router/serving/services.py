"""``/v1/services/{pool}/...``: plain services."""

import asyncio

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from hitchdeck_core.ids import AccountName, PoolName
from hitchdeck_core.sockets import reset_on_close
from hitchdeck_router.dispatch.attempts import ReplayError
from hitchdeck_router.dispatch.calls import ResponseHead
from hitchdeck_router.dispatch.ledger import (
    MAX_STORED_RESPONSE_BYTES,
    RunStatus,
    StoredResponse,
)
from hitchdeck_router.dispatch.requests import AdmittedRequest
from hitchdeck_router.dispatch.services import (
    ServiceRequest,
    ServiceResponse,
    run_service,
)
from hitchdeck_router.errors import NotRunError, ResponseTruncatedError, RouterError
from hitchdeck_router.scheduling.costs import SERVICE_CALL_COST
from hitchdeck_router.serving import admission
from hitchdeck_router.serving.base import BaseHandler
from hitchdeck_router.serving.replay import check_replayable

_BAD_REQUEST = 400
_WITHOUT_CHUNKS = 'HTTP/1.0'
_SAFE_METHODS = frozenset(('GET', 'HEAD'))
_FORWARDED_REQUEST_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')
_FORWARDED_RESPONSE_HEADERS = (
    'Content-Type',
    'Location',
    'ETag',
    'Last-Modified',
    'Retry-After',
)
_BODILESS_STATUSES = frozenset((204, 304))


class ServiceDoor(BaseHandler):
    """Handler of calls to plain services."""

    async def get(self, pool: str, path: str) -> None:
        """Serve a call with a safe method."""
        await self.run(self._serve(pool, path))

    async def post(self, pool: str, path: str) -> None:
        """Serve a call that may have side effects."""
        await self.run(self._serve(pool, path))

    async def put(self, pool: str, path: str) -> None:
        """Serve a call that may have side effects."""
        await self.run(self._serve(pool, path))

    async def delete(self, pool: str, path: str) -> None:
        """Serve a call that may have side effects."""
        await self.run(self._serve(pool, path))

    def end_started(self, error: RouterError) -> None:
        """Truncate a response that has begun: an error would become part of it."""
        self.abort()

    def abort(self) -> None:
        """Close the connection, as the truncated response must not look complete."""
        connection = self.request.connection
        if not isinstance(connection, HTTP1Connection):
            return
        stream = connection.stream
        if self.request.version == _WITHOUT_CHUNKS and not stream.closed():
            reset_on_close(stream.socket)
        stream.close()

    async def _serve(self, pool: str, path: str) -> None:
        account = self.check_account()
        view = self.context.fleet.view
        name = admission.check_service_pool(view, account, pool)
        admitted = self._admit(account, name)
        self.admitted = admitted
        request = self._service_request(path, repeatable=self._repeatable(name))
        _check_has_key(admitted, request)
        try:
            if admitted.key is None:
                await self._run(admitted, request)
            else:
                # As for chat, a claimed run continues after its caller disconnects.
                running = asyncio.ensure_future(self._run(admitted, request))
                await asyncio.shield(running)
        except ReplayError as error:
            await self._replay(error.response)
        except ResponseTruncatedError:
            self.record_outcome('unknown')
            self.abort()

    def _admit(self, account: AccountName, pool: PoolName) -> AdmittedRequest:
        view = self.context.fleet.view
        headers = self.request.headers
        body = self.check_body()
        return AdmittedRequest(
            request=self.request_id,
            account=account,
            pool=pool,
            urgency=admission.check_urgency(
                view,
                account,
                view.pools[pool],
                headers,
            ),
            deadline=admission.check_deadline(headers),
            hint=SERVICE_CALL_COST,
            body=body,
            session=admission.check_session(view, account, pool, headers),
            key=admission.check_key(headers, self.request.uri or '', body),
            admitted_at=self.context.fleet.now(),
            has_disconnected=self.has_disconnected,
            target=f'{self.request.method} {self.request.uri}',
        )

    def _repeatable(self, pool: PoolName) -> bool:
        if self.request.method in _SAFE_METHODS:
            return True
        return self.context.fleet.view.pools[pool].repeatable

    def _service_request(self, path: str, *, repeatable: bool) -> ServiceRequest:
        headers = {
            name: self.request.headers[name]
            for name in _FORWARDED_REQUEST_HEADERS
            if name in self.request.headers
        }
        query = f'?{self.request.query}' if self.request.query else ''
        method = self.request.method or 'GET'
        return ServiceRequest(method, f'/{path}{query}', headers, repeatable)

    async def _run(self, admitted: AdmittedRequest, request: ServiceRequest) -> None:
        response = ServiceResponse()

        async def deliver_head(head: ResponseHead) -> None:
            response.status = head.status
            response.headers = head.headers
            self._copy_head(head)

        async def deliver_bytes(chunk: bytes) -> None:
            if len(response.body) <= MAX_STORED_RESPONSE_BYTES:
                response.body += chunk
            await self._forward_chunk(chunk, claimed=admitted.key is not None)

        await run_service(
            self.context,
            admitted,
            request,
            deliver_head,
            deliver_bytes,
        )
        self.record_outcome('ran')
        if admitted.key is not None:
            stored = StoredResponse(
                RunStatus.ran,
                response.status,
                response.headers.get('Content-Type', ''),
                bytes(response.body),
            )
            self.context.ledger.settle(admitted, admitted.key, stored)
        if not self.disconnected:
            await self.finish()

    def _copy_head(self, head: ResponseHead) -> None:
        self.begin_response(head.status, 'ran')
        for name in _FORWARDED_RESPONSE_HEADERS:
            if name in head.headers:
                self.set_header(name, head.headers[name])

    async def _forward_chunk(self, chunk: bytes, *, claimed: bool) -> None:
        if self.disconnected:
            return
        try:
            self.write(chunk)
            await self.flush()
        except StreamClosedError:
            self.disconnected = True
            if not claimed:
                raise

    async def _replay(self, stored: StoredResponse) -> None:
        check_replayable(stored)
        self.begin_response(stored.status, 'ran')
        self.record_outcome('replayed')
        if stored.status not in _BODILESS_STATUSES:
            self.set_header('Content-Type', stored.content_type)
            self.write(stored.body)
        await self.finish()


def _check_has_key(admitted: AdmittedRequest, request: ServiceRequest) -> None:
    if request.repeatable or admitted.key is not None:
        return
    raise NotRunError(
        _BAD_REQUEST,
        'key-needed',
        f'pool {admitted.pool} is not repeatable: send {admission.KEY_HEADER}',
    )
