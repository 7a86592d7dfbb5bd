"""Errors of the core package."""


class HitchdeckError(Exception):
    """Base of all errors with a message for the user."""


class SelectorError(HitchdeckError):
    """Raised when a label or a selector has invalid syntax."""


class SettingsError(HitchdeckError):
    """Raised when a settings file can't be read or fails validation."""


class ResourceError(HitchdeckError):
    """Raised when a resource definition is invalid."""


class LinkError(HitchdeckError):
    """Raised when a peer can't be reached or violates the protocol."""


class AuthenticationError(HitchdeckError):
    """Raised when a bearer token is missing or unknown."""
