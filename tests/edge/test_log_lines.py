"""Lines of the log cost nothing if they are dropped, and are the same on both ways."""

import json
import logging
import os

from hitchdeck_core.log_output import BURST_LINES, BoundedOutput
from hitchdeck_core.logs import JsonFormatter, json_line
from tests.common.scheduling import FakeClock


def test_a_line_that_is_dropped_is_not_built() -> None:
    # A flooded box logged more than it may write, and built every line.
    reader, writer = os.pipe()
    output = BoundedOutput(writer, FakeClock())
    built: list[int] = []

    def build() -> str:
        built.append(1)
        return 'line\n'

    for _ in range(BURST_LINES + 100):
        output.write_built(build)
    assert len(built) == BURST_LINES
    assert output.dropped == 100
    os.close(reader)
    os.close(writer)


def test_a_line_is_the_same_with_and_without_a_record() -> None:
    fields = {'a': 1, 'b': None, 'c': object}
    record = logging.LogRecord('absl', logging.WARNING, '', 0, 'event', (), None)
    record.created = 1_700_000_000.25
    record.hitchdeck_fields = fields
    line = json_line(record.created, logging.WARNING, 'event', fields)
    assert JsonFormatter().format(record) == line
    assert json.loads(line) == {
        'time': '2023-11-14T22:13:20.250Z',
        'level': 'warning',
        'event': 'event',
        'a': 1,
        'b': None,
        'c': str(object),
    }
