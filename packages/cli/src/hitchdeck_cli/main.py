"""``hitchdeck``: the command line for operators.

Exit codes: 0 done, 1 failed or unreachable, 2 bad input, 3 refused (conflict),
4 not in force before the timeout, 5 not authorized.
"""

import secrets
import sys
from pathlib import Path
from typing import Any

import fire

from hitchdeck_cli.connection import Connection, make_connection
from hitchdeck_cli.documents import read_resources
from hitchdeck_cli.domains import (
    check_domain,
    evacuation_of,
    is_evacuated,
    reopening_of,
)
from hitchdeck_cli.errors import CommandError, ExitCode
from hitchdeck_cli.group import GroupCommands
from hitchdeck_cli.printing import print_line, print_object, print_rows
from hitchdeck_cli.top import show_top
from hitchdeck_core.commands import (
    Batch,
    Command,
    Delete,
    PlaceOrder,
    Put,
)
from hitchdeck_core.control_client import ControlClient
from hitchdeck_core.errors import HitchdeckError, ResourceError
from hitchdeck_core.hashing import token_hash
from hitchdeck_core.queries import (
    GetStatus,
    InForce,
    ListOrders,
    ListResources,
    OrderList,
    ResourceList,
    Status,
    WaitInForce,
)
from hitchdeck_core.resources import Effect, Rule, parse_resource

_TOKEN_BYTES = 24
_DRAIN_PREFIX = 'drain'


class Hitchdeck:
    """Operate a hitchdeck fleet.

    Parameters
    ----------
    control
        Addresses of the control boxes, ``IP:port,...``; default from
        HITCHDECK_CONTROL.
    token
        Bearer token of the operator; default from HITCHDECK_TOKEN.
    operator, number
        Idempotency key of the command: a resend with both unchanged returns
        the stored outcome and is not run again.  Defaults are the user's name
        and the current time in nanoseconds.
    seconds
        Timeout of a call.
    """

    def __init__(
        self,
        control: str = '',
        token: str = '',
        operator: str = '',
        number: int = 0,
        seconds: float = 15,
    ) -> None:
        self._options = (control, token, operator, number, seconds)

    def apply(self, path: str, *, wait: bool = False) -> None:
        """Create or replace every resource of a TOML file atomically."""
        resources = read_resources(Path(str(path)))
        changes = tuple(Put(resource=one) for one in resources)
        self._execute(Batch(changes=changes), wait=wait)

    def put(
        self,
        kind: str,
        name: str,
        *,
        based_on: int | None = None,
        wait: bool = False,
        **fields: Any,
    ) -> None:
        """Create or replace one resource: put account NAME --weight=2."""
        try:
            resource = parse_resource({'kind': kind, 'name': name, **fields})
        except ResourceError as error:
            raise CommandError(ExitCode.bad_input, str(error)) from error
        self._execute(Put(resource=resource, based_on=based_on), wait=wait)

    def delete(
        self,
        kind: str,
        name: str,
        *,
        based_on: int | None = None,
        wait: bool = False,
    ) -> None:
        """Remove one resource."""
        command = Delete(kind=kind, name=name, based_on=based_on)
        self._execute(command, wait=wait)

    def get(self, kind: str = '', name: str = '', *, json: bool = False) -> None:
        """Show all resources, those of one kind, or a single one."""
        query = ListResources(kind=kind, name=name)
        found = self._read(query, ResourceList)
        rows = [
            {'version': one.version, **one.resource.model_dump(mode='json')}
            for one in found.resources
        ]
        if json:
            print_rows(rows, as_json=True)
            return
        for row in rows:
            shown = {key: text for key, text in row.items() if text not in ('', {}, [])}
            print_line(' '.join(f'{key}={text}' for key, text in shown.items()))

    def drain(self, what: str, name: str, *, wait: bool = True) -> None:
        """Take an upstream or a box out of service: drain upstream NAME."""
        selector = f'name={name}'
        if what not in {'upstream', 'box'}:
            raise CommandError(
                ExitCode.bad_input, f'can only drain upstream or box: {what}'
            )
        rule = Rule(
            name=f'{_DRAIN_PREFIX}-{what}-{name}',
            effect=Effect.leaving,
            upstreams=selector if what == 'upstream' else '',
            boxes=selector if what == 'box' else '',
        )
        self._execute(Put(resource=rule), wait=wait)

    def undrain(self, what: str, name: str, *, wait: bool = True) -> None:
        """Take an upstream or a box back into service."""
        rule = f'{_DRAIN_PREFIX}-{what}-{name}'
        self._execute(Delete(kind='rule', name=rule), wait=wait)

    def evacuate(self, domain: str, *, wait: bool = True) -> None:
        """Stop new requests to the upstreams of a failure domain."""
        check_domain(domain, self._read(ListResources(kind='upstream'), ResourceList))
        self._execute(evacuation_of(domain), wait=wait)

    def reopen(self, domain: str, *, wait: bool = True) -> None:
        """Reopen an evacuated failure domain; no-op if it is open."""
        rules = self._read(ListResources(kind='rule'), ResourceList)
        if not is_evacuated(domain, rules):
            check_domain(
                domain, self._read(ListResources(kind='upstream'), ResourceList)
            )
            print_line(f'domain {domain} is open')
            return
        self._execute(reopening_of(domain), wait=wait)

    def wait(self, version: int) -> None:
        """Wait until a configuration version is in force everywhere."""
        connection = self._connection()
        connection.run(lambda client: _wait(client, version, connection.seconds))
        print_line(f'version {version} is in force')

    def status(self, *, json: bool = False) -> None:
        """Show the control group, routers, schedulers and usage."""
        status = self._read(GetStatus(), Status).model_dump(mode='json')
        if json:
            print_object(status, as_json=True)
            return
        for section in ('members', 'routers', 'shards', 'usage'):
            rows = status.pop(section)
            print_line(f'\n[{section}]')
            print_rows(rows, as_json=False)
        print_line('')
        print_object(status, as_json=False)

    def order(
        self,
        upstream: str,
        action: str,
        target: str,
        weight_bytes: int = 0,
    ) -> None:
        """Order an upstream to load, unload, or change its role."""
        command = PlaceOrder.model_validate(
            {
                'upstream': upstream,
                'action': action,
                'target': target,
                'weight_bytes': weight_bytes,
            },
        )
        self._execute(command, wait=False)

    def orders(self, *, json: bool = False) -> None:
        """Show the orders to upstreams and their progress."""
        found = self._read(ListOrders(), OrderList)
        print_rows([one.model_dump() for one in found.orders], as_json=json)

    def top(self, *, json: bool = False) -> None:
        """Show requests and latencies per account and class, and the shards."""
        status = self._read(GetStatus(), Status)
        show_top([one.http_address for one in status.routers], as_json=json)

    def key(self) -> None:
        """Generate a bearer token and the hash to store in the configuration."""
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        print_object({'token': token, 'hash': token_hash(token)}, as_json=False)

    @property
    def control(self) -> GroupCommands:
        """Initialize and repair the control group."""
        return GroupCommands(self._connection())

    def _connection(self) -> Connection:
        return make_connection(*self._options)

    def _execute(self, command: Command, *, wait: bool) -> None:
        connection = self._connection()

        async def work(client: ControlClient) -> int:
            applied = await connection.execute(client, command)
            if wait:
                await _wait(client, applied.version, connection.seconds)
            return applied.version

        version = connection.run(work)
        suffix = ', in force everywhere' if wait else ''
        print_line(f'version {version}{suffix}')

    def _read(self, query: Any, answer: Any) -> Any:
        connection = self._connection()
        return connection.run(
            lambda client: client.read(query, answer, connection.seconds),
        )


async def _wait(client: ControlClient, version: int, seconds: float) -> None:
    query = WaitInForce(version=version, seconds=seconds)
    reached = await client.read(query, InForce, seconds + 1)
    if not reached.in_force:
        laggards = ', '.join(reached.laggards) or 'the version is not committed'
        raise CommandError(
            ExitCode.not_in_force,
            f'version {version} is not in force after {seconds} s: {laggards}',
        )


def main() -> None:
    """Run the command line; exit with a code of ``ExitCode``."""
    try:
        fire.Fire(Hitchdeck, name='hitchdeck')
    except CommandError as error:
        sys.stderr.write(f'hitchdeck: {error}\n')
        sys.exit(error.code)
    except (HitchdeckError, ValueError) as error:
        sys.stderr.write(f'hitchdeck: {error}\n')
        sys.exit(ExitCode.bad_input)


if __name__ == '__main__':
    main()
