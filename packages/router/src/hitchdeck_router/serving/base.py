"""Base of the HTTP handlers: bodies, account keys, errors and disconnects."""

import asyncio
import json
import secrets
from collections.abc import Awaitable
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from hitchdeck_core import logs
from hitchdeck_core.hashing import token_hash
from hitchdeck_core.ids import AccountName, RequestId
from hitchdeck_core.sockets import peer_has_closed
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.requests import AdmittedRequest
from hitchdeck_router.errors import (
    CallerDisconnectedError,
    NotRunError,
    ResponseStartedError,
    RouterError,
)

RAN_HEADER = 'Hitchdeck-Ran'
REQUEST_HEADER = 'Hitchdeck-Request-Id'

_BEARER = 'Bearer '
_UNAUTHORIZED = 401
_TOO_LARGE = 413
_UNAVAILABLE = 503
_INTERNAL_ERROR = 500
_BAD_GATEWAY = 502
_ID_BYTES = 12
_MAX_DISCARDED_BYTES = 16_777_216
"""Maximum number of bytes read from a body after its refusal was sent.  Closing a
connection with unread bytes resets it, so that a caller that is still sending would not
receive the response."""
_RETRY_AFTER_SECONDS = 1.0


@stream_request_body
class BaseHandler(RequestHandler):
    """Base of the handlers.

    The body is received in chunks, so that one that is too large is refused
    before it is read completely.  The rest of a refused body is discarded.

    The names of subclasses are written out as labels of metrics.
    """

    def initialize(self, context: RouterContext) -> None:
        """Set the router's context and the state of the request."""
        self.context = context
        self.body_buffer = bytearray()
        self.too_large = False
        self.discarded = 0
        self.request_id = RequestId(secrets.token_hex(_ID_BYTES))
        self.work: asyncio.Future[None] | None = None
        self.disconnected = False
        self.account = AccountName('')
        self.admitted: AdmittedRequest | None = None

    def prepare(self) -> None:
        """Refuse a body whose ``Content-Length`` is too large."""
        self.set_header(REQUEST_HEADER, self.request_id)
        announced = self.request.headers.get('Content-Length', '0')
        if announced.isdigit() and int(announced) > self.context.settings.body_limit:
            self.too_large = True
            self._refuse_early(self._too_large())

    def data_received(self, chunk: bytes) -> None:
        """Receive a chunk of the body."""
        if self._headers_written:
            self._discard(chunk)
            return
        if len(self.body_buffer) + len(chunk) > self.context.settings.body_limit:
            self.too_large = True
            return
        self.body_buffer += chunk

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        self.disconnected = True
        if self.work is not None:
            self.work.cancel()

    def has_disconnected(self) -> bool:
        """Return whether the caller has disconnected, by checking its socket."""
        connection = self.request.connection
        if self.disconnected or not isinstance(connection, HTTP1Connection):
            return self.disconnected
        stream = connection.stream
        return stream.closed() or peer_has_closed(stream.socket)

    async def run(self, work: Awaitable[None]) -> None:
        """Run a request, and turn its errors into error responses."""
        if self._headers_written:
            # The request was refused before its body had arrived.
            self.finish()
            return
        self.context.active += 1
        self.work = asyncio.ensure_future(work)
        try:
            await self.work
        except (asyncio.CancelledError, StreamClosedError, CallerDisconnectedError):
            self.record_outcome('caller-gone')
        except RouterError as error:
            self.refuse(error)
        except Exception as error:
            logs.failure('request failed', error, request=self.request_id)
            self.respond_internal_error()
        finally:
            self.context.active -= 1

    def check_body(self) -> bytes:
        """Return the body; raise ``NotRunError`` if it was too large."""
        if self.too_large:
            raise self._too_large()
        return bytes(self.body_buffer)

    def check_account(self) -> AccountName:
        """Return the account of the key in the ``Authorization`` header.

        Raises
        ------
        NotRunError
            There is no such key, or this router's configuration lease has
            expired, so that keys can't be checked.
        """
        self.check_configured()
        shown = self.request.headers.get('Authorization', '')
        token = shown.removeprefix(_BEARER)
        known = self.context.fleet.view.account_by_key
        account = known.get(token_hash(token)) if shown != token else None
        if account is None:
            raise NotRunError(_UNAUTHORIZED, 'bad-key', 'unknown or missing key')
        self.account = account
        return account

    def check_configured(self) -> None:
        """Raise ``NotRunError`` unless the configuration lease is valid."""
        if not self.context.fleet.lease.is_live():
            raise NotRunError(
                _UNAVAILABLE,
                'no-configuration-lease',
                'this router is cut off from the control group',
                _RETRY_AFTER_SECONDS,
            )

    def begin_response(self, status: int, ran: str, content_type: str = '') -> None:
        """Set the head of the only response to a request.

        Raises
        ------
        ResponseStartedError
            The caller has received the head of another one.
        """
        if self._headers_written:
            logs.warning(
                'second response dropped', request=self.request_id, status=status
            )
            raise ResponseStartedError(
                _BAD_GATEWAY, 'upstream-broken', f'status {status} within a response'
            )
        self.set_status(status)
        self.set_header(RAN_HEADER, ran)
        if content_type:
            self.set_header('Content-Type', content_type)

    def refuse(self, error: RouterError) -> None:
        """Send an error in the API's format, also within a started response."""
        self.record_outcome(error.ran)
        if self._finished:
            return
        if self._headers_written:
            self.end_started(error)
            return
        self._set_error_headers(error)
        self.finish(error_content(error))

    def end_started(self, error: RouterError) -> None:
        """End a stream that has begun with an error event."""
        content = json.dumps(error_content(error)).encode()
        self.write(b'data: ' + content + b'\n\n')
        self.finish()

    def respond_internal_error(self) -> None:
        """Send an internal error, for which the outcome is unknown."""
        error = RouterError(_INTERNAL_ERROR, 'internal', 'the router failed')
        error.ran = 'unknown'
        self.refuse(error)

    def record_outcome(self, ran: str) -> None:
        """Count the outcome of a request."""
        self.context.outcomes[type(self).__name__, ran] += 1

    def write_error(self, status_code: int, **_: Any) -> None:
        """Send errors that tornado itself detects in the API's format."""
        self.finish(
            error_content(
                NotRunError(status_code, 'bad-request', self._reason),
            ),
        )

    def log_exception(self, *_: Any) -> None:
        """Log nothing, as ``run`` logs errors."""

    def _refuse_early(self, error: RouterError) -> None:
        """Send the error now; the response is finished after the complete body."""
        self.record_outcome(error.ran)
        self._set_error_headers(error)
        content = json.dumps(error_content(error)).encode()
        self.set_header('Content-Type', 'application/json')
        self.set_header('Content-Length', str(len(content)))
        self.write(content)
        self.flush()

    def _discard(self, chunk: bytes) -> None:
        self.discarded += len(chunk)
        if self.discarded > _MAX_DISCARDED_BYTES:
            self.request.connection.close()  # type: ignore[union-attr]

    def _set_error_headers(self, error: RouterError) -> None:
        self.begin_response(error.status, error.ran)
        if error.retry_after is not None:
            self.set_header('Retry-After', max(1, round(error.retry_after)))
        if error.status == _UNAUTHORIZED:
            self.set_header('WWW-Authenticate', 'Bearer')

    def _too_large(self) -> NotRunError:
        limit = self.context.settings.body_limit
        return NotRunError(_TOO_LARGE, 'too-large', f'body over {limit} bytes')


def error_content(error: RouterError) -> dict[str, Any]:
    """Return the error object of the OpenAI API, with the field ``ran``."""
    return {
        'error': {
            'message': error.reason,
            'type': 'hitchdeck_error',
            'code': error.code,
            'param': None,
            'ran': error.ran,
        },
    }


def log_request(handler: RequestHandler) -> None:
    """Log a finished request."""
    if not isinstance(handler, BaseHandler):
        return
    logs.info(
        'request',
        request=handler.request_id,
        account=handler.account,
        upstream=handler.admitted.upstream if handler.admitted else '',
        method=handler.request.method,
        path=handler.request.path,
        status=handler.get_status(),
        seconds=round(handler.request.request_time(), 4),
    )
