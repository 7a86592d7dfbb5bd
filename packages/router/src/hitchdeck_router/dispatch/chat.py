"""Chat completions: streamed from an engine, and resumed after a failure.

Engines are always asked for a stream, even if the caller is not: streamed
tokens show progress, cost and gaps, and a broken stream can be continued on
another engine after the last delivered token.
"""

import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from hitchdeck_core.resources import Upstream
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.attempts import Progress, run_attempts
from hitchdeck_router.dispatch.backpressure import apply_backpressure
from hitchdeck_router.dispatch.calls import (
    MAX_REJECTION_BYTES,
    CallRequest,
    ResponseHead,
    UpstreamCall,
    open_call,
)
from hitchdeck_router.dispatch.requests import AdmittedRequest
from hitchdeck_router.dispatch.sse import DONE, EventReader, EventTooLongError
from hitchdeck_router.errors import (
    UpstreamBrokenError,
    UpstreamRefusedError,
)
from hitchdeck_router.scheduling.client_state import Slot
from hitchdeck_router.scheduling.costs import prompt_cost, run_cost

REQUEST_ID_HEADER = 'X-Request-Id'
SESSION_ID_HEADER = 'X-Session-Id'

_PATH = '/v1/chat/completions'
_OK = 200
_TOO_MANY_REQUESTS = 429
_FIRST_SERVER_ERROR = 500
_MS_PER_SECOND = 1000
_MAX_TEXT_CHARACTERS = 4_194_304
"""Limit of the text of a completion, which is held for further attempts."""

Deliver = Callable[[dict[str, Any]], Awaitable[None]]
"""Sends a chunk to the caller; waits while the caller reads slowly."""


@dataclass(slots=True)
class ChatResponse:
    """Text and usage generated so far, over all attempts.

    ``begun`` is whether any part of it was handed over for the caller.
    """

    request_id: str
    model: str
    text: list[str] = field(default_factory=list)
    characters: int = 0
    output_tokens: int = 0
    prompt_tokens: int = 0
    finish_reason: str = ''
    begun: bool = False
    created: int = field(default_factory=lambda: int(time.time()))

    def usage(self) -> dict[str, int]:
        """Return the API's usage object."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.output_tokens,
            'total_tokens': self.prompt_tokens + self.output_tokens,
        }

    def completion(self) -> dict[str, Any]:
        """Return the completion object for a caller that does not stream."""
        message = {'role': 'assistant', 'content': ''.join(self.text)}
        return {
            'id': self.completion_id,
            'object': 'chat.completion',
            'created': self.created,
            'model': self.model,
            'choices': [
                {
                    'index': 0,
                    'message': message,
                    'finish_reason': self.finish_reason,
                },
            ],
            'usage': self.usage(),
        }

    @property
    def completion_id(self) -> str:
        """Id of the completion, which is the same in every chunk of all attempts."""
        return f'chatcmpl-{self.request_id}'


@dataclass(slots=True)
class _Attempt:
    """One engine's part of a response; times in seconds."""

    started_at: float
    last_token_at: float | None = None
    output_tokens: int = 0
    engine_id: str = ''
    finished: bool = False


async def run_chat(
    context: RouterContext,
    admitted: AdmittedRequest,
    body: dict[str, Any],
    deliver: Deliver,
) -> ChatResponse:
    """Run a chat request to completion.

    Raises
    ------
    RouterError
        The run failed; the error says whether it may have run.
    UpstreamRefusedError
        The engine refused the request; its response is for the caller.
    """
    response = ChatResponse(admitted.request, str(body['model']))
    progress = Progress(repeatable=admitted.key is None)

    async def run_once(grant: Slot, upstream: Upstream) -> None:
        limit = context.settings.response_limit
        request = _engine_request(admitted, body, response, limit)
        call = await open_call(upstream.address, request)
        try:
            head = await call.head()
            check_request_id(head, admitted)
            apply_backpressure(context, upstream, head)
            await _check_status(head, call, response)
            await _read_stream(context, admitted, response, grant, call, deliver)
        finally:
            call.close()
            if response.text and admitted.software is None:
                admitted.software = upstream.software

    await run_attempts(context, admitted, progress, run_once)
    return response


def _engine_request(
    admitted: AdmittedRequest,
    body: dict[str, Any],
    response: ChatResponse,
    response_limit: int,
) -> CallRequest:
    engine_body = {
        **body,
        'stream': True,
        'stream_options': {'include_usage': True},
        'priority': int(admitted.urgency),
    }
    if response.text:
        _continue_from(engine_body, response)
    return CallRequest(
        method='POST',
        path=_PATH,
        headers={
            'Content-Type': 'application/json',
            REQUEST_ID_HEADER: admitted.request,
            SESSION_ID_HEADER: admitted.session,
        },
        body=json.dumps(engine_body).encode(),
        response_limit=response_limit,
    )


def _continue_from(engine_body: dict[str, Any], response: ChatResponse) -> None:
    """Request the rest of a response, with the parameters documented by vLLM."""
    so_far = {'role': 'assistant', 'content': ''.join(response.text)}
    engine_body['messages'] = [*engine_body['messages'], so_far]
    engine_body['continue_final_message'] = True
    engine_body['add_generation_prompt'] = False
    for limit in ('max_tokens', 'max_completion_tokens'):
        if engine_body.get(limit):
            engine_body[limit] = max(1, engine_body[limit] - response.output_tokens)


def check_request_id(head: ResponseHead, admitted: AdmittedRequest) -> None:
    """Raise ``UpstreamBrokenError`` if a response belongs to another request."""
    echoed = head.headers.get(REQUEST_ID_HEADER, admitted.request)
    if echoed != admitted.request:
        raise UpstreamBrokenError(f'answer to {echoed}, not {admitted.request}')


async def _check_status(
    head: ResponseHead, call: UpstreamCall, response: ChatResponse
) -> None:
    """Raise an error unless an engine generates the response, or the rest of it.

    Raises
    ------
    UpstreamBrokenError
        It failed, or rejected the rest of a response that another engine began.
    UpstreamRefusedError
        It rejected the request; its response is for the caller.
    """
    if head.status == _OK:
        return
    failed = head.status >= _FIRST_SERVER_ERROR or head.status == _TOO_MANY_REQUESTS
    if failed or response.begun:
        raise UpstreamBrokenError(f'status {head.status}')
    raise UpstreamRefusedError(head.status, await call.read_body(MAX_REJECTION_BYTES))


async def _read_stream(
    context: RouterContext,
    admitted: AdmittedRequest,
    response: ChatResponse,
    grant: Slot,
    call: UpstreamCall,
    deliver: Deliver,
) -> None:
    attempt = _Attempt(context.fleet.now())
    reader = EventReader()
    # The prompt is charged even if the engine sends no token.
    grant.record_cost(prompt_cost(len(admitted.body)))
    async for piece in call.chunks():
        for event in _events(reader, piece):
            if event == DONE:
                _check_finished(attempt)
                return
            chunk = _parse_chunk(event, attempt)
            _record_chunk(context, admitted, response, attempt, grant, chunk)
            await _deliver_chunk(response, chunk, deliver)
    raise UpstreamBrokenError('stream ended without its terminator')


def _events(reader: EventReader, piece: bytes) -> list[bytes]:
    try:
        return list(reader.feed(piece))
    except EventTooLongError as error:
        raise UpstreamBrokenError(str(error)) from error


def _check_finished(attempt: _Attempt) -> None:
    """Raise an error if the terminator came before a finish reason."""
    if not attempt.finished:
        raise UpstreamBrokenError('terminator without a finish reason')


def _parse_chunk(event: bytes, attempt: _Attempt) -> dict[str, Any]:
    try:
        chunk = json.loads(event)
        engine_id = chunk['id']
    except (ValueError, KeyError, TypeError) as error:
        raise UpstreamBrokenError(f'chunk is not a chunk: {error}') from error
    if attempt.engine_id and engine_id != attempt.engine_id:
        raise UpstreamBrokenError(f'chunk of {engine_id} in {attempt.engine_id}')
    attempt.engine_id = engine_id
    return chunk  # type: ignore[no-any-return]


def _record_chunk(
    context: RouterContext,
    admitted: AdmittedRequest,
    response: ChatResponse,
    attempt: _Attempt,
    grant: Slot,
    chunk: dict[str, Any],
) -> None:
    choice = (chunk.get('choices') or [{}])[0]
    if choice.get('finish_reason'):
        attempt.finished = True
        response.finish_reason = choice['finish_reason']
    usage = chunk.get('usage')
    if usage:
        response.prompt_tokens = response.prompt_tokens or usage['prompt_tokens']
        grant.record_cost(run_cost(usage['prompt_tokens'], attempt.output_tokens))
    text = (choice.get('delta') or {}).get('content')
    if not text:
        return
    response.characters += len(text)
    if response.characters > _MAX_TEXT_CHARACTERS:
        raise UpstreamBrokenError(f'text over {_MAX_TEXT_CHARACTERS} characters')
    response.text.append(text)
    response.output_tokens += 1
    attempt.output_tokens += 1
    grant.record_cost(run_cost(prompt_cost(len(admitted.body)), attempt.output_tokens))
    _record_timing(context, admitted, response, attempt, grant)


def _record_timing(
    context: RouterContext,
    admitted: AdmittedRequest,
    response: ChatResponse,
    attempt: _Attempt,
    grant: Slot,
) -> None:
    now = context.fleet.now()
    labels = (admitted.account, admitted.urgency_name)
    if attempt.last_token_at is not None:
        gap = now - attempt.last_token_at
        grant.record_gap(gap)
        context.histograms.record('token_gap_ms', labels, gap * _MS_PER_SECOND)
    elif response.output_tokens == 1:
        first = now - admitted.admitted_at
        context.histograms.record('first_token_ms', labels, first * _MS_PER_SECOND)
    attempt.last_token_at = now


async def _deliver_chunk(
    response: ChatResponse,
    chunk: dict[str, Any],
    deliver: Deliver,
) -> None:
    if not chunk.get('choices'):
        return
    chunk.pop('usage', None)
    chunk['id'] = response.completion_id
    response.begun = True
    await deliver(chunk)
