"""Execution records of a stand-in: one JSON object per line."""

import json
import time
from pathlib import Path
from typing import Any


class Recorder:
    """Appends records to a file, line-buffered."""

    def __init__(self, path: Path) -> None:
        self.stream = path.open('a', buffering=1)

    def write(self, event: str, **fields: Any) -> None:
        """Append an event, with the monotonic time that all local processes share."""
        line = {'event': event, 'at': time.monotonic(), **fields}
        self.stream.write(f'{json.dumps(line)}\n')


def read_records(path: Path) -> list[dict[str, Any]]:
    """Return the records of a file, or an empty list if it does not exist."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]
