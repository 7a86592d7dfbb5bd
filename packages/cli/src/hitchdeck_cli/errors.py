"""Errors of the command line and their exit codes."""

from enum import IntEnum

from hitchdeck_core.errors import HitchdeckError


class ExitCode(IntEnum):
    """Exit codes of ``hitchdeck``."""

    done = 0
    failed = 1
    bad_input = 2
    refused = 3
    not_in_force = 4
    unauthorized = 5


class CommandError(HitchdeckError):
    """Raised when a command fails; holds the reason and the exit code."""

    def __init__(self, code: ExitCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code
