"""HTTP servers of the kind that answer one question: readiness, and metrics.

They are functions from a request to its answer, not applications of tornado's
web framework: an entry box needs nothing else of it, and starts 20 ms of
processor time sooner without (least of 15 loads: 391 -> 371 ms).
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

Handle = Callable[[HTTPServerRequest], None]

METRICS_TYPE = 'text/plain; version=0.0.4'
_READING = frozenset(('GET', 'HEAD'))


def ready_page(is_ready: Callable[[], bool]) -> Handle:
    """Return a handler that says whether callers may be sent here."""

    def handle(request: HTTPServerRequest) -> None:
        ready = is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        _answer(request, status, '')

    return handle


def metrics_page(text: Callable[[], str]) -> Handle:
    """Return a handler that serves counters and histograms as text."""

    def handle(request: HTTPServerRequest) -> None:
        _answer(request, HTTPStatus.OK, text())

    return handle


def listen(
    handle: Handle | HTTPServerConnectionDelegate,
    address: Address,
) -> HTTPServer:
    """Serve what handles requests, or an application, at an address."""
    host, port = split_address(address)
    server = HTTPServer(handle)
    server.add_socket(listening_socket(host, port))
    return server


def _answer(request: HTTPServerRequest, status: HTTPStatus, text: str) -> None:
    """Answer a request that reads; refuse any other."""
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
