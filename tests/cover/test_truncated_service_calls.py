"""A call of a plain service that fails within its response is truncated visibly."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest
from tornado.httpserver import HTTPServer
from tornado.web import Application

from hitchdeck_core.ids import Address
from hitchdeck_router.errors import ResponseTruncatedError
from hitchdeck_router.serving.services import ServiceDoor
from tests.common.raw_callers import caller_request, receive

SENT = b'the beginning'


class FailingDoor(ServiceDoor):
    """Sends the beginning of a response, and then fails."""

    def initialize(self, error: Exception) -> None:
        context = SimpleNamespace(
            settings=SimpleNamespace(body_limit=100), active=0, outcomes=Counter()
        )
        super().initialize(context)  # type: ignore[arg-type]
        self.error = error

    async def _serve(self, pool: str, path: str) -> None:
        self.write(SENT)
        await self.flush()
        if isinstance(self.error, ResponseTruncatedError):
            self.abort()
        else:
            raise self.error


@pytest.mark.parametrize('version', ['HTTP/1.1', 'HTTP/1.0'])
@pytest.mark.parametrize('error', [ResponseTruncatedError('cut'), ValueError('other')])
async def test_a_response_that_has_begun_never_ends_as_complete(
    version: str, error: Exception
) -> None:
    options = {'error': error}
    server = HTTPServer(
        Application([('/(s)/(.*)', FailingDoor, options)], log_function=lambda _: None)
    )
    server.listen(0, '127.0.0.1')
    listener = next(iter(server._sockets.values()))
    host, port = listener.getsockname()
    request = caller_request('/s/x', 'r1', version)
    async with asyncio.timeout(5):
        received = await receive(Address(f'{host}:{port}'), request)
    server.stop()
    assert received.body == SENT
    assert not received.complete
    assert received.reset == (version == 'HTTP/1.0')
