"""Lines of a process that logs to standard output."""

import subprocess
import sys

PROGRAM = """
from unittest.mock import patch
from hitchdeck_core import logs

FIELDS = {'request': 'r1', 'text': '"%s"', 'seconds': 0.1, 'other': {1}}
with patch('time.time', return_value=1_700_000_000.9996):
    logs.set_up_stdout(box='b1')
    for _ in range(2):
        logs.info('an event of 5%', **FIELDS)
        logs.warning('another', **FIELDS, box='b2')
        # Through a record of the logging library.
        logs._context.handler = None
    logs.failure('failed', ValueError('reason'))
    logs.silence()
    logs.info('silenced')
"""


def test_lines_are_those_of_the_logging_library() -> None:
    # Guards against fields that differ by the way that a line takes.
    command = [sys.executable, '-c', PROGRAM]
    lines = subprocess.run(command, capture_output=True, check=True).stdout.splitlines()
    assert len(lines) == 5
    assert lines[:2] == lines[2:4]
    assert b'"time": "2023-11-14T22:13:20.999Z", "level": "info"' in lines[0]
    assert b'"event": "another", "box": "b2", "request": "r1"' in lines[1]
    assert b'"error": "ValueError: reason"' in lines[4]


UNENCODABLE = """
from hitchdeck_core import logs

class Unprintable:
    def __str__(self):
        raise RuntimeError('no text')

logs.set_up_stdout(box='b1')
logs.info('with a key', field={(1, 2): 3})
logs.warning('with a value', field=Unprintable())
logs.info('after them')
"""


def test_fields_that_cannot_be_encoded_do_not_raise() -> None:
    # Guards against requests that are aborted by a log line.
    command = [sys.executable, '-c', UNENCODABLE]
    done = subprocess.run(command, capture_output=True, check=True)
    assert done.stdout.count(b'\n') == 1
    assert b'"event": "after them"' in done.stdout
    assert b'keys must be str' in done.stderr
    assert b'RuntimeError: no text' in done.stderr
