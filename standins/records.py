"""Execution records: what a stand-in truly ran, one JSON object a line."""

import json
import time
from pathlib import Path
from typing import Any


class Recorder:
    """Appends records to a file."""

    def __init__(self, path: Path) -> None:
        self.stream = path.open('a', buffering=1)

    def write(self, event: str, **fields: Any) -> None:
        """Record an event with the time on the clock shared by the machine."""
        line = {'event': event, 'at': time.monotonic(), **fields}
        self.stream.write(f'{json.dumps(line)}\n')


def read_records(path: Path) -> list[dict[str, Any]]:
    """Return the records of a file."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]
