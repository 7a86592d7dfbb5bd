"""Errors of the router package, each saying what is known of the run."""

from hitchdeck_core.errors import HitchdeckError


class RouterError(HitchdeckError):
    """Base: an answer to the caller, with an HTTP status and a stable code."""

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
    """Raised when a request surely did not run and will not.

    No byte of it went to any upstream.  ``retry_after`` is in seconds.
    """


class OutcomeUnknownError(RouterError):
    """Raised when a request may have run, in whole or in part."""

    ran = 'unknown'


class UpstreamError(HitchdeckError):
    """Base of what may go wrong with one call to one upstream."""


class UpstreamUnreachedError(UpstreamError):
    """Raised when no byte of the request was sent."""


class UpstreamBrokenError(UpstreamError):
    """Raised when an answer stopped short, or is not an answer to this call."""


class ResponseTruncatedError(UpstreamError):
    """Raised when an answer broke after part of it was passed on."""


class UpstreamRefusedError(UpstreamError):
    """Raised when an upstream answered with an error status."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f'upstream answered {status}')
        self.status = status
        self.body = body


class GrantLostError(HitchdeckError):
    """Raised when a granted upstream may no longer be used; ask again."""


class CallerDisconnectedError(HitchdeckError):
    """Raised when a caller has closed its connection before anything was sent."""
