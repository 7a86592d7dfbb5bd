"""Errors of the edge package."""

from hitchdeck_core.errors import HitchdeckError, LinkError


class DocumentError(HitchdeckError):
    """Raised when a configuration document is invalid."""


class MalformedRequestError(HitchdeckError):
    """Raised when a caller's request does not have the platform's format."""


class UnavailableError(HitchdeckError):
    """Raised when the group of hubs can't confirm a read or write in time."""


class UnknownDomainError(HitchdeckError):
    """Raised when an order names an unknown failure domain."""


class SupersededError(UnavailableError):
    """Raised when a later order took effect, so that this one has none."""


class SchedulerMovedError(LinkError):
    """Raised when another hub has taken over as scheduler."""


class DispatchError(HitchdeckError):
    """Base of the errors that end an attempt, or the handling of a request."""


class NotSentError(DispatchError):
    """Raised when no byte of the request can have reached the upstream."""


class UpstreamNotAcceptingError(DispatchError):
    """Raised before a request is sent to an upstream that accepts none for now."""


class IncompleteResponseError(DispatchError):
    """Raised when a request was sent but no complete response came back."""


class ResponseTooLongError(IncompleteResponseError):
    """Raised when a response is given up for the bytes that it takes."""


class CallerDisconnectedError(DispatchError):
    """Raised when the caller has closed its connection."""


class ResponseOrderError(HitchdeckError):
    """Raised when a second head, or a body after its end, would reach a caller."""
