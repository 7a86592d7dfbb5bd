"""An OpenAI-compatible model engine with concurrent slots and fixed output.

The answer consists of the last user message followed by numbered tokens, so a
caller can verify that an answer is complete and belongs to its own request.
Faults are injected by ``POST /faults``.
"""

import asyncio
import json
import os
import time
from collections import OrderedDict
from pathlib import Path
from typing import Any

import fire
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from standins.records import Recorder

_DEFAULT_TOKENS = 16
_CHARACTERS_PER_TOKEN = 4
_CONFLICT = 409
_UNAVAILABLE = 503
_CRASH_EXIT_CODE = 9
_PORT_LINGER_SECONDS = 0.2
"""How long the port of a crashing engine still accepts connections."""


class Engine:
    """State of one engine.

    ``slots`` is the number of requests generated concurrently, ``gap`` the time
    between two tokens in seconds, and ``fence`` the highest (term, sequence) of
    an order seen so far.
    """

    def __init__(self, name: str, slots: int, gap: float, recorder: Recorder) -> None:
        self.name = name
        self.slots = asyncio.Semaphore(slots)
        self.gap = gap
        self.recorder = recorder
        self.running = 0
        self.faults: dict[str, Any] = {}
        self.fence = (0, 0)
        self.loaded: set[str] = set()
        self.caches: OrderedDict[str, str] = OrderedDict()


class EngineHandler(RequestHandler):
    """Base class of the request handlers."""

    def initialize(self, engine: Engine) -> None:
        """Set the engine that the handler serves."""
        self.engine = engine

    def reject_with_backoff(self) -> bool:
        """Reject with 503 and ``Retry-After`` if that fault is set; return whether."""
        retry_after = self.engine.faults.get('pause')
        if not retry_after:
            return False
        self.set_status(_UNAVAILABLE)
        self.set_header('Retry-After', str(retry_after))
        self.finish({})
        return True


class ChatHandler(EngineHandler):
    """Chat completions; the response is always streamed."""

    async def post(self) -> None:
        """Generate an answer and record how the request finished."""
        body = json.loads(self.request.body)
        request = self.request.headers.get('X-Request-Id', '')
        self.engine.recorder.write('taken', request=request)
        if self.reject_with_backoff():
            return
        self.engine.running += 1
        self.closed = False
        outcome = 'cut'
        try:
            async with self.engine.slots:
                self.engine.recorder.write('begin', request=request)
                outcome = await self._generate(request, body)
        except StreamClosedError:
            outcome = 'cancelled'
        finally:
            self.engine.running -= 1
            self.engine.recorder.write('end', request=request, outcome=outcome)

    def on_connection_close(self) -> None:
        """Mark the request as cancelled by the router."""
        self.closed = True

    async def _generate(self, request: str, body: dict[str, Any]) -> str:
        session = self.request.headers.get('X-Session-Id', '')
        if session:
            self.engine.caches[session] = f'kv-of-{session}'
        lethal = self.engine.faults.get('lethal')
        if lethal and lethal in json.dumps(body):
            self._crash()
        if self._rejects_rest(body):
            return 'rejected'
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('X-Request-Id', self.engine.faults.get('foreign_id', request))
        tokens, done = answer_tokens(body)
        stop_after = self.engine.faults.get('die_after')
        for position, token in enumerate(tokens[done:]):
            await asyncio.sleep(self.engine.gap)
            if self.closed:
                return 'cancelled'
            if stop_after is not None and position >= stop_after:
                return self._drop_connection()
            if position == self.engine.faults.get('end_early'):
                await self.finish()
                return 'cut'
            self._write({'content': token}, None)
            await self.flush()
        self._write({}, 'stop')
        usage = {
            'prompt_tokens': len(self.request.body) // _CHARACTERS_PER_TOKEN,
            'completion_tokens': len(tokens) - done,
        }
        self._event({'id': f'cmpl-{request}', 'choices': [], 'usage': usage})
        if not self.engine.faults.get('no_terminator'):
            self.write(b'data: [DONE]\n\n')
        await self.finish()
        return 'whole'

    def _rejects_rest(self, body: dict[str, Any]) -> bool:
        """Reject to continue an answer if that fault is set; return whether."""
        status = self.engine.faults.get('reject_rest')
        if not (status and body.get('continue_final_message')):
            return False
        self.set_status(status)
        self.finish({'error': 'no rest'})
        return True

    def _crash(self) -> None:
        """Exit the process as a crash does.

        With the fault ``port_last``, the port still accepts connections for a
        while after the request's connection has closed.
        """
        if self.engine.faults.get('port_last'):
            self.detach().close()
            time.sleep(_PORT_LINGER_SECONDS)
        os._exit(_CRASH_EXIT_CODE)

    def _drop_connection(self) -> str:
        self.request.connection.stream.close()  # type: ignore[union-attr]
        return 'died'

    def _write(self, delta: dict[str, Any], finish_reason: str | None) -> None:
        request = self.request.headers.get('X-Request-Id', '')
        choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
        self._event(
            {
                'id': f'cmpl-{request}',
                'object': 'chat.completion.chunk',
                'created': 0,
                'model': 'stand-in',
                'choices': [choice],
            },
        )

    def _event(self, content: dict[str, Any]) -> None:
        self.write(b'data: ' + json.dumps(content).encode() + b'\n\n')


class FaultHandler(EngineHandler):
    """Injects and clears faults."""

    def post(self) -> None:
        """Replace all faults by those in the body."""
        self.engine.faults = json.loads(self.request.body)
        self.finish({'faults': self.engine.faults})


class OrderHandler(EngineHandler):
    """Orders with fencing tokens: load, unload, role."""

    def get(self) -> None:
        """Return what is loaded, and the highest fence seen."""
        self.engine.recorder.write('order-asked')
        if self.reject_with_backoff():
            return
        self.finish(
            {'loaded': sorted(self.engine.loaded), 'fence': self.engine.fence},
        )

    def post(self) -> None:
        """Execute an order, or answer 409 if its fence is lower than one seen."""
        order = json.loads(self.request.body)
        self.engine.recorder.write('order-taken', **order)
        if self.reject_with_backoff():
            return
        fence = (order['term'], order['sequence'])
        checks = not self.engine.faults.get('no_fence_check')
        if checks and fence < self.engine.fence:
            self.set_status(_CONFLICT)
            self.engine.recorder.write('order-rejected', **order)
            self.finish({'error': 'fenced', 'fence': self.engine.fence})
            return
        self.engine.fence = max(fence, self.engine.fence)
        if order['action'] == 'load':
            self.engine.loaded.add(order['target'])
        elif order['action'] == 'unload':
            self.engine.loaded.discard(order['target'])
        self.engine.recorder.write('order', **order)
        self.finish({'fence': self.engine.fence})


class CacheHandler(EngineHandler):
    """Exports and imports the KV cache of a session."""

    def get(self, session: str) -> None:
        """Export the cache; empty if the session has none."""
        self.engine.recorder.write('cache-asked', session=session)
        if self.reject_with_backoff():
            return
        self.finish({'session': session, 'cache': self.engine.caches.get(session, '')})

    def put(self, session: str) -> None:
        """Import the cache in the body."""
        self.engine.recorder.write('cache-given', session=session)
        if self.reject_with_backoff():
            return
        self.engine.caches[session] = json.loads(self.request.body)['cache']
        self.engine.recorder.write('cache-import', session=session)
        self.finish({})


class LoadHandler(EngineHandler):
    """Reports the engine's load."""

    def get(self) -> None:
        """Return the number of requests that are running or queued."""
        self.finish({'running': self.engine.running})


def answer_tokens(body: dict[str, Any]) -> tuple[list[str], int]:
    """Return all tokens of the answer, and how many the request already contains."""
    messages = body['messages']
    partial_answer = ''
    limit = body.get('max_tokens') or body.get('max_completion_tokens')
    if body.get('continue_final_message'):
        partial_answer = messages[-1]['content']
        messages = messages[:-1]
    tokens = expected_tokens(str(messages[-1]['content']), limit or _DEFAULT_TOKENS)
    done = partial_answer.count(' ')
    if partial_answer and limit:
        tokens = expected_tokens(str(messages[-1]['content']), limit + done)
    return tokens, done


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens that answer a prompt; each token ends with a space."""
    first = prompt.replace(' ', '_')
    return [f'{first} ', *(f't{number} ' for number in range(1, count))]


def make_app(engine: Engine) -> Application:
    """Return the Tornado application of an engine."""
    shared = {'engine': engine}
    return Application(
        [
            (r'/v1/chat/completions', ChatHandler, shared),
            (r'/faults', FaultHandler, shared),
            (r'/admin/orders', OrderHandler, shared),
            (r'/admin/cache/(.+)', CacheHandler, shared),
            (r'/load', LoadHandler, shared),
        ],
        log_function=lambda _: None,
    )


async def serve(
    name: str,
    port: int,
    log: str,
    slots: int = 8,
    gap: float = 0.01,
) -> None:
    """Serve on loopback until the process is killed."""
    engine = Engine(name, slots, gap, Recorder(Path(log)))
    make_app(engine).listen(port, '127.0.0.1')
    await asyncio.Event().wait()


if __name__ == '__main__':
    fire.Fire(lambda **flags: asyncio.run(serve(**flags)))
