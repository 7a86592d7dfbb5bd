"""HTTP servers with a single page: readiness, and metrics.

The pages are plain functions, not applications of Tornado's web framework: an entry box
uses nothing else of the framework, and importing it takes 8 of the 307 ms of all
imports (least of three runs).
"""

from collections.abc import Callable
from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    ResponseStartLine,
)

from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from hitchdeck_core.sockets import listening_socket

Page = Callable[[HTTPServerRequest], None]
"""Answers a request."""

METRICS_TYPE = 'text/plain; version=0.0.4'
MAX_BODY_BYTES = 16_777_216
"""Limit of a body; configuration documents are the largest ones."""

MAX_BODY_SECONDS = 30.0
"""Time within which a body must arrive."""

_READING = frozenset(('GET', 'HEAD'))


def ready_page(is_ready: Callable[[], bool]) -> Page:
    """Return a page with status 200 if this box is ready for callers, else 503."""

    def answer(request: HTTPServerRequest) -> None:
        ready = is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        _write(request, status, '')

    return answer


def metrics_page(text: Callable[[], str]) -> Page:
    """Return a page that serves metrics as text."""

    def answer(request: HTTPServerRequest) -> None:
        _write(request, HTTPStatus.OK, text())

    return answer


def listen(
    page: Page | HTTPServerConnectionDelegate,
    address: Address,
) -> HTTPServer:
    """Start an HTTP server for a page, or for a Tornado application, at an address."""
    host, port = split_address(address)
    server = HTTPServer(
        page, max_body_size=MAX_BODY_BYTES, body_timeout=MAX_BODY_SECONDS
    )
    server.add_socket(listening_socket(host, port))
    return server


def _write(request: HTTPServerRequest, status: HTTPStatus, text: str) -> None:
    """Answer a GET or HEAD request; any other with 405."""
    if request.method not in _READING:
        status, text = HTTPStatus.METHOD_NOT_ALLOWED, ''
    body = text.encode()
    headers = HTTPHeaders(
        {'Content-Type': METRICS_TYPE, 'Content-Length': str(len(body))},
    )
    connection = request.connection
    assert connection is not None
    start = ResponseStartLine('HTTP/1.1', status, status.phrase)
    sent = body if request.method == 'GET' else b''
    connection.write_headers(start, headers, sent)
    connection.finish()
