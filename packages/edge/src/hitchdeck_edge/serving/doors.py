"""HTTP servers for readiness checks and metrics."""

from collections.abc import Callable
from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from hitchdeck_core.sockets import listening_socket


class ReadyHandler(RequestHandler):
    """Says whether callers may be sent here."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Take the question to ask."""
        self.is_ready = is_ready

    async def get(self, *_path: str) -> None:
        """Answer 200 if ready, else 503."""
        ready = self.is_ready()
        self.set_status(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)


class MetricsHandler(RequestHandler):
    """Serves counters and histograms."""

    def initialize(self, text: Callable[[], str]) -> None:
        """Take the function that renders them."""
        self.text = text

    async def get(self, *_path: str) -> None:
        """Answer with the figures as text."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.write(self.text())


def listen(application: Application, address: Address) -> HTTPServer:
    """Serve an application at an address."""
    host, port = split_address(address)
    server = HTTPServer(application)
    server.add_socket(listening_socket(host, port))
    return server


def metrics_application(text: Callable[[], str]) -> Application:
    """Return the application of a metrics address."""
    return Application([('/.*', MetricsHandler, {'text': text})], log_function=quiet)


def quiet(_handler: RequestHandler) -> None:
    """Log nothing: each request that matters has a line of its own."""
