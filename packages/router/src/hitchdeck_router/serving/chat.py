"""``POST /v1/chat/completions``, with and without streaming."""

import asyncio
import json
from typing import Any

from tornado.iostream import StreamClosedError

from hitchdeck_core.ids import AccountName
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.attempts import ReplayError
from hitchdeck_router.dispatch.chat import ChatResponse, run_chat
from hitchdeck_router.dispatch.ledger import RunStatus, StoredResponse
from hitchdeck_router.dispatch.requests import (
    AdmittedRequest,
    prefix_blocks,
    shared_messages,
)
from hitchdeck_router.dispatch.sse import DONE, event
from hitchdeck_router.errors import UpstreamRefusedError
from hitchdeck_router.scheduling.costs import cost_hint
from hitchdeck_router.serving import admission
from hitchdeck_router.serving.base import BaseHandler
from hitchdeck_router.serving.replay import check_replayable

_JSON = 'application/json'
_EVENTS = 'text/event-stream'
_OK = 200


class ChatDoor(BaseHandler):
    """Handler of chat completions."""

    def initialize(self, context: RouterContext) -> None:
        """Set the router's context and the state of the request."""
        super().initialize(context)
        self.streaming = False

    async def post(self) -> None:
        """Serve one request."""
        await self.run(self._serve())

    async def _serve(self) -> None:
        account = self.check_account()
        raw = self.check_body()
        body = admission.check_chat_body(raw)
        self.streaming = bool(body.get('stream'))
        admitted = self._admit(account, raw, body)
        self.admitted = admitted
        try:
            response = await self._run(admitted, body)
        except UpstreamRefusedError as error:
            await self._forward_refusal(error)
        except ReplayError as error:
            await self._replay(error.response, body)
        else:
            await self._finish(response, body)

    def _admit(
        self, name: AccountName, raw: bytes, body: dict[str, Any]
    ) -> AdmittedRequest:
        view = self.context.fleet.view
        headers = self.request.headers
        pool = admission.check_model_pool(view, name, body['model'])
        limit = body.get('max_completion_tokens') or body.get('max_tokens')
        return AdmittedRequest(
            request=self.request_id,
            account=name,
            pool=pool,
            urgency=admission.check_urgency(view, name, view.pools[pool], headers),
            deadline=admission.check_deadline(headers),
            hint=cost_hint(len(raw), limit),
            body=raw,
            session=admission.check_session(view, name, pool, headers),
            prefix=prefix_blocks(body['model'], body['messages']),
            parts=shared_messages(body['messages']),
            key=admission.check_key(headers, self.request.path, raw),
            admitted_at=self.context.fleet.now(),
            has_disconnected=self.has_disconnected,
            target=f'{self.request.method} {self.request.uri}',
        )

    async def _run(
        self, admitted: AdmittedRequest, body: dict[str, Any]
    ) -> ChatResponse:
        if admitted.key is None:
            return await run_chat(self.context, admitted, body, self._deliver)
        # A claimed run continues after its caller disconnects, so that a retry
        # with the same key gets the response.
        running = asyncio.ensure_future(self._run_claimed(admitted, body))
        return await asyncio.shield(running)

    async def _run_claimed(
        self,
        admitted: AdmittedRequest,
        body: dict[str, Any],
    ) -> ChatResponse:
        assert admitted.key is not None
        response = await run_chat(
            self.context, admitted, body, self._deliver_if_connected
        )
        content = json.dumps(response.completion()).encode()
        stored = StoredResponse(RunStatus.ran, _OK, _JSON, content)
        self.context.ledger.settle(admitted, admitted.key, stored)
        return response

    async def _deliver(self, chunk: dict[str, Any]) -> None:
        if not self.streaming:
            return
        if not self._headers_written:
            self.set_header('Content-Type', _EVENTS)
            self.set_header('Cache-Control', 'no-cache')
        self.write(event(json.dumps(chunk).encode()))
        await self.flush()

    async def _deliver_if_connected(self, chunk: dict[str, Any]) -> None:
        if self.disconnected:
            return
        try:
            await self._deliver(chunk)
        except StreamClosedError:
            self.disconnected = True

    async def _finish(self, response: ChatResponse, body: dict[str, Any]) -> None:
        self.record_outcome('ran')
        if not body.get('stream'):
            self.begin_response(_OK, 'ran')
            await self.finish(response.completion())
            return
        options = body.get('stream_options') or {}
        if options.get('include_usage'):
            self.write(event(json.dumps(_usage_chunk(response)).encode()))
        self.write(event(DONE))
        await self.finish()

    async def _forward_refusal(self, error: UpstreamRefusedError) -> None:
        self.begin_response(error.status, 'ran', _JSON)
        self.record_outcome('refused-by-upstream')
        await self.finish(error.body)

    async def _replay(self, stored: StoredResponse, body: dict[str, Any]) -> None:
        check_replayable(stored)
        replays_events = body.get('stream') and stored.status == _OK
        content_type = _EVENTS if replays_events else stored.content_type
        self.begin_response(stored.status, 'ran', content_type)
        self.record_outcome('replayed')
        if not replays_events:
            await self.finish(stored.body)
            return
        self.write(event(json.dumps(_as_chunk(json.loads(stored.body))).encode()))
        self.write(event(DONE))
        await self.finish()


def _usage_chunk(response: ChatResponse) -> dict[str, Any]:
    return {
        'id': response.completion_id,
        'object': 'chat.completion.chunk',
        'created': response.created,
        'model': response.model,
        'choices': [],
        'usage': response.usage(),
    }


def _as_chunk(completion: dict[str, Any]) -> dict[str, Any]:
    """Return a stored response as a single stream chunk."""
    choice = completion['choices'][0]
    return {
        **completion,
        'object': 'chat.completion.chunk',
        'choices': [
            {
                'index': 0,
                'delta': choice['message'],
                'finish_reason': choice['finish_reason'],
            },
        ],
    }
