"""What the measurements share."""

import json
from collections.abc import Mapping
from pathlib import Path


def listed(text: object) -> list[str]:
    """Return the parts of a comma-separated option, as fire gives it."""
    if isinstance(text, (list, tuple)):
        return [str(one) for one in text]
    return str(text).split(',')


def append_row(output: str, row: Mapping[str, object]) -> None:
    """Print a row, and append it to a file as a line of JSON."""
    path = Path(output)
    path.parent.mkdir(exist_ok=True)
    encoded = json.dumps(row)
    with path.open('a') as stream:
        stream.write(f'{encoded}\n')
    print(encoded, flush=True)
