"""Errors of the command line, each with its exit code."""

from enum import IntEnum

from hitchdeck_core.errors import HitchdeckError


class ExitCode(IntEnum):
    """What the exit code of ``hitchdeck`` says."""

    done = 0
    failed = 1
    bad_input = 2
    refused = 3
    not_in_force = 4
    unauthorized = 5


class CommandError(HitchdeckError):
    """Raised when a command can't be carried out; says why and how it exits."""

    def __init__(self, code: ExitCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code
