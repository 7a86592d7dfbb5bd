"""Errors of the core package."""


class HitchdeckError(Exception):
    """Base of every error that hitchdeck raises for a user to read."""


class SelectorError(HitchdeckError):
    """Raised when a label, key or selector is not written as it must be."""


class SettingsError(HitchdeckError):
    """Raised when a settings file can't be read or says what it may not."""


class ResourceError(HitchdeckError):
    """Raised when a resource definition is malformed."""


class LinkError(HitchdeckError):
    """Raised when a peer can't be reached or answers out of protocol."""


class AuthenticationError(HitchdeckError):
    """Raised when a bearer token is absent or known to nobody."""
