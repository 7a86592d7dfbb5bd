"""Connection from the command line to the control group."""

import asyncio
import getpass
import os
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from hitchdeck_cli.errors import CommandError, ExitCode
from hitchdeck_core.checks import check_address
from hitchdeck_core.commands import Command
from hitchdeck_core.control_client import ControlClient, RejectedError
from hitchdeck_core.errors import AuthenticationError, LinkError
from hitchdeck_core.ids import Address
from hitchdeck_core.outcomes import Applied, Refused

CONTROL_VARIABLE = 'HITCHDECK_CONTROL'
TOKEN_VARIABLE = 'HITCHDECK_TOKEN'

Answer = TypeVar('Answer')
Work = Callable[[ControlClient], Awaitable[Answer]]


@dataclass(frozen=True, slots=True)
class Connection:
    """Control addresses, bearer token and identity of the operator.

    ``operator`` and ``number`` together are the idempotency key of a command:
    a command that is resent with both unchanged returns the stored outcome and
    is not run again.  ``seconds`` is the timeout of a call.
    """

    addresses: tuple[Address, ...]
    token: str
    operator: str
    number: int
    seconds: float

    def run(self, work: Work[Answer]) -> Answer:
        """Run a coroutine with a client of the control group.

        Raises
        ------
        CommandError
            If the call fails; carries the matching exit code.
        """
        return asyncio.run(self._run(work))

    async def execute(self, client: ControlClient, command: Command) -> Applied:
        """Run a command; raise ``CommandError`` if it is refused."""
        outcome = await client.execute(
            command,
            self.seconds,
            self.operator,
            self.number,
        )
        if isinstance(outcome, Refused):
            raise CommandError(
                ExitCode.refused,
                f'{outcome.code}: {outcome.reason}',
            )
        assert isinstance(outcome, Applied)
        return outcome

    async def _run(self, work: Work[Answer]) -> Answer:
        client = ControlClient(self.addresses, self.token)
        try:
            return await work(client)
        except AuthenticationError as error:
            raise CommandError(ExitCode.unauthorized, str(error)) from error
        except RejectedError as error:
            raise CommandError(ExitCode.bad_input, str(error)) from error
        except LinkError as error:
            raise CommandError(
                ExitCode.failed,
                f'{error}; retry with --operator={self.operator} '
                f'--number={self.number}',
            ) from error
        finally:
            client.close()


def make_connection(
    control: str,
    token: str,
    operator: str,
    number: int,
    seconds: float,
) -> Connection:
    """Return a connection; empty flags fall back to environment variables."""
    addresses = control or os.environ.get(CONTROL_VARIABLE, '')
    if not addresses:
        raise CommandError(
            ExitCode.bad_input,
            f'no control boxes given; set --control=IP:port,... or {CONTROL_VARIABLE}',
        )
    return Connection(
        addresses=tuple(check_control_address(one) for one in addresses.split(',')),
        token=token or os.environ.get(TOKEN_VARIABLE, ''),
        operator=operator or getpass.getuser(),
        number=number or time.time_ns(),
        seconds=seconds,
    )


def check_control_address(text: str) -> Address:
    """Return a validated address, or raise ``CommandError``."""
    try:
        return Address(check_address(text.strip()))
    except ValueError as error:
        raise CommandError(ExitCode.bad_input, str(error)) from error
