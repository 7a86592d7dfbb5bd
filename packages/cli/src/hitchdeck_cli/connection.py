"""How the command line reaches the fleet."""

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
    """Control addresses, token, and who the operator is.

    ``number`` identifies a command together with ``operator``: a command
    that is sent again under the same number is answered, not run again.
    """

    addresses: tuple[Address, ...]
    token: str
    operator: str
    number: int
    seconds: float

    def run(self, work: Work[Answer]) -> Answer:
        """Do some work against the control group.

        Raises
        ------
        CommandError
            With the exit code that belongs to what went wrong.
        """
        return asyncio.run(self._run(work))

    async def execute(self, client: ControlClient, command: Command) -> Applied:
        """Run a command; a refusal becomes a ``CommandError``."""
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
                f'{error}; send it again with --operator={self.operator} '
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
    """Return a connection from flags, or from the environment for blanks."""
    addresses = control or os.environ.get(CONTROL_VARIABLE, '')
    if not addresses:
        raise CommandError(
            ExitCode.bad_input,
            f'name the control boxes: --control=IP:port,... or {CONTROL_VARIABLE}',
        )
    return Connection(
        addresses=tuple(check_control_address(one) for one in addresses.split(',')),
        token=token or os.environ.get(TOKEN_VARIABLE, ''),
        operator=operator or getpass.getuser(),
        number=number or time.time_ns(),
        seconds=seconds,
    )


def check_control_address(text: str) -> Address:
    """Return an address, or raise ``CommandError`` naming what is wrong."""
    try:
        return Address(check_address(text.strip()))
    except ValueError as error:
        raise CommandError(ExitCode.bad_input, str(error)) from error
