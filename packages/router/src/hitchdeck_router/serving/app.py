"""The HTTP server of a router."""

from tornado.httpserver import HTTPServer
from tornado.web import Application

from hitchdeck_core.channels import split_address
from hitchdeck_router.context import RouterContext
from hitchdeck_router.errors import NotRunError
from hitchdeck_router.serving.addresses import AddressesDoor
from hitchdeck_router.serving.base import BaseHandler, log_request
from hitchdeck_router.serving.chat import ChatDoor
from hitchdeck_router.serving.services import ServiceDoor
from hitchdeck_router.serving.status import HealthDoor, MetricsDoor

_NOT_FOUND = 404
_MAX_HEADER_BYTES = 65_536
_MAX_BODY_BYTES = 1024 * 1024 * 1024


class UnknownDoor(BaseHandler):
    """Handler of all other paths."""

    def prepare(self) -> None:
        """Respond with status 404."""
        self.refuse(NotRunError(_NOT_FOUND, 'no-such-path', self.request.path))


def start_http(context: RouterContext) -> HTTPServer:
    """Start the HTTP server."""
    shared = {'context': context}
    application = Application(
        [
            (r'/v1/chat/completions', ChatDoor, shared),
            (r'/v1/services/([^/]+)/?(.*)', ServiceDoor, shared),
            (r'/v1/addresses', AddressesDoor, shared),
            (r'/healthz', HealthDoor, shared),
            (r'/metrics', MetricsDoor, shared),
        ],
        default_handler_class=UnknownDoor,
        default_handler_args=shared,
        log_function=log_request,
    )
    # The handlers enforce the body limit themselves, with an error response.
    server = HTTPServer(
        application,
        max_header_size=_MAX_HEADER_BYTES,
        max_body_size=_MAX_BODY_BYTES,
    )
    host, port = split_address(context.settings.listen)
    server.listen(port, host)
    return server
