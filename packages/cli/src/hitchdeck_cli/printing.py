"""Output as a table or as JSON."""

import json
import sys
from collections.abc import Sequence
from typing import Any

Row = dict[str, Any]


def print_rows(rows: Sequence[Row], *, as_json: bool) -> None:
    """Print rows, all with the same keys, as a table or a JSON array."""
    if as_json:
        _write(json.dumps(list(rows), indent=2))
        return
    if not rows:
        _write('(none)')
        return
    _write(format_table(rows))


def print_object(content: Row, *, as_json: bool) -> None:
    """Print one object as aligned key-value lines or as JSON."""
    if as_json:
        _write(json.dumps(content, indent=2))
        return
    width = max(len(key) for key in content)
    for key, shown in content.items():
        _write(f'{key.ljust(width)}  {_cell(shown)}')


def print_line(text: str) -> None:
    """Write one line to standard output."""
    _write(text)


def format_table(rows: Sequence[Row]) -> str:
    """Return rows as aligned columns below a header."""
    columns = list(rows[0])
    cells = [[_cell(row[column]) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[index]) for line in cells))
        for index, column in enumerate(columns)
    ]
    lines = [[column.upper() for column in columns], *cells]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _cell(shown: Any) -> str:
    if isinstance(shown, float):
        return f'{shown:.2f}'
    if isinstance(shown, dict):
        return ','.join(f'{key}={text}' for key, text in shown.items())
    if isinstance(shown, (list, tuple)):
        return ','.join(_cell(one) for one in shown) or '-'
    return str(shown)


def _write(text: str) -> None:
    sys.stdout.write(f'{text}\n')
