"""Errors of the router package, with what is known about the run."""

from hitchdeck_core.errors import HitchdeckError


class RouterError(HitchdeckError):
    """Base of errors that are sent to the caller, with HTTP status and stable code."""

    ran = 'not-run'

    def __init__(
        self,
        status: int,
        code: str,
        reason: str,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.code = code
        self.reason = reason
        self.retry_after = retry_after


class NotRunError(RouterError):
    """Raised when a request has certainly not run and will not run.

    No byte of it was sent to any upstream.  ``retry_after`` is in seconds.
    """


class OutcomeUnknownError(RouterError):
    """Raised when a request may have run, completely or in part."""

    ran = 'unknown'


class ResponseStartedError(OutcomeUnknownError):
    """Raised when a second response would become part of one that has begun."""


class UpstreamError(HitchdeckError):
    """Base of errors in a call to an upstream."""


class UpstreamUnreachedError(UpstreamError):
    """Raised when no byte of the request was sent."""


class UpstreamBrokenError(UpstreamError):
    """Raised when a response is incomplete, invalid or belongs to another request."""


class ResponseTruncatedError(UpstreamError):
    """Raised when a response broke after part of it was forwarded."""


class UpstreamRefusedError(UpstreamError):
    """Raised when an upstream refused a request with an error status."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f'upstream answered {status}')
        self.status = status
        self.body = body


class GrantLostError(HitchdeckError):
    """Raised when a granted upstream may no longer be used; acquire a new slot."""


class CallerDisconnectedError(HitchdeckError):
    """Raised when the caller disconnected before anything was sent."""
