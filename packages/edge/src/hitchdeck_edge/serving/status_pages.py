"""HTTP servers of the kind that answer one question: readiness, and metrics.

They are functions from a request to its answer, not applications of tornado's
web framework: an entry box needs nothing else of it, and what it loads took 8
of 307 ms (import times, least of three loads).
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

METRICS_TYPE = 'text/plain; version=0.0.4'
_READING = frozenset(('GET', 'HEAD'))


def ready_page(is_ready: Callable[[], bool]) -> Page:
    """Return a page that says whether callers may be sent here."""

    def answer(request: HTTPServerRequest) -> None:
        ready = is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        _write(request, status, '')

    return answer


def metrics_page(text: Callable[[], str]) -> Page:
    """Return a page that serves counters and histograms as text."""

    def answer(request: HTTPServerRequest) -> None:
        _write(request, HTTPStatus.OK, text())

    return answer


def listen(
    page: Page | HTTPServerConnectionDelegate,
    address: Address,
) -> HTTPServer:
    """Serve what handles requests, or an application, at an address."""
    host, port = split_address(address)
    server = HTTPServer(page)
    server.add_socket(listening_socket(host, port))
    return server


def _write(request: HTTPServerRequest, status: HTTPStatus, text: str) -> None:
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
