"""Resource files: TOML with one array of tables per resource kind.

::

    [[account]]
    name = "rosters"
    weight = 2.0

    [[rule]]
    name = "confirmations-now"
    effect = "urgent"
    requests = "work in (confirmation, lookup)"
"""

import tomllib
from pathlib import Path

from hitchdeck_cli.errors import CommandError, ExitCode
from hitchdeck_core.errors import ResourceError
from hitchdeck_core.resources import Kind, Resource, key_of, parse_resource


def read_resources(path: Path) -> list[Resource]:
    """Return the resources of a file, or raise ``CommandError`` if it is invalid."""
    try:
        content = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise CommandError(ExitCode.bad_input, f'{path}: {error}') from error
    resources = [
        _read_one(path, kind, position, table)
        for kind, tables in content.items()
        for position, table in enumerate(_check_tables(path, kind, tables))
    ]
    _check_unique(path, resources)
    return resources


def _check_tables(path: Path, kind: str, tables: object) -> list[object]:
    kinds = [one.value for one in Kind]
    if kind not in kinds:
        raise CommandError(
            ExitCode.bad_input,
            f'{path}: unknown kind {kind!r}; kinds are {", ".join(kinds)}',
        )
    if not isinstance(tables, list):
        raise CommandError(ExitCode.bad_input, f'{path}: expected [[{kind}]] tables')
    return tables


def _read_one(path: Path, kind: str, position: int, table: object) -> Resource:
    if not isinstance(table, dict):
        raise CommandError(
            ExitCode.bad_input,
            f'{path}: {kind} {position + 1} is not a table',
        )
    try:
        return parse_resource({**table, 'kind': kind})
    except ResourceError as error:
        name = table.get('name', f'number {position + 1}')
        raise CommandError(
            ExitCode.bad_input,
            f'{path}: {kind} {name}: {error}',
        ) from error


def _check_unique(path: Path, resources: list[Resource]) -> None:
    seen = set()
    for resource in resources:
        key = key_of(resource)
        if key in seen:
            raise CommandError(
                ExitCode.bad_input,
                f'{path}: {key[0]} {key[1]} is defined twice',
            )
        seen.add(key)
