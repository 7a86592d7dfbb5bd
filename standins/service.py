"""A plain HTTP service whose POST requests are not idempotent.

A POST with a ``pause`` in its JSON body is rejected with status 503, and the
value of ``pause`` (seconds) is returned as ``Retry-After``.
"""

import asyncio
import json
from pathlib import Path

import fire
from tornado.web import Application, RequestHandler

from standins.records import Recorder

_UNAVAILABLE = 503


class ConfirmHandler(RequestHandler):
    """Executes and records every request, duplicates included."""

    def initialize(self, recorder: Recorder, delay: float) -> None:
        """Set the recorder and the duration of a call, in seconds."""
        self.recorder = recorder
        self.delay = delay

    async def post(self, path: str) -> None:
        """Record the request and confirm it, or reject it if ``pause`` is set."""
        request = self.request.headers.get('X-Request-Id', '')
        body = json.loads(self.request.body or b'{}')
        if body.get('pause'):
            self._reject(request, body['pause'])
            return
        self.recorder.write('run', path=path, request=request, body=body)
        await asyncio.sleep(self.delay)
        self.set_header('X-Request-Id', request)
        await self.finish({'confirmed': body, 'path': path})

    async def get(self, path: str) -> None:
        """Answer a lookup; lookups are not recorded."""
        await asyncio.sleep(self.delay)
        await self.finish({'looked_up': path, 'query': self.request.query})

    def _reject(self, request: str, retry_after: float) -> None:
        self.recorder.write('turned-away', request=request)
        self.set_status(_UNAVAILABLE)
        self.set_header('Retry-After', str(retry_after))
        self.finish({})


async def serve(port: int, log: str, delay: float = 0.01) -> None:
    """Serve on loopback until the process is killed."""
    shared = {'recorder': Recorder(Path(log)), 'delay': delay}
    application = Application(
        [(r'/(.*)', ConfirmHandler, shared)],
        log_function=lambda _: None,
    )
    application.listen(port, '127.0.0.1')
    await asyncio.Event().wait()


if __name__ == '__main__':
    fire.Fire(lambda **flags: asyncio.run(serve(**flags)))
