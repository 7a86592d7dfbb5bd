"""Log lines, as operators' tools read them."""

import io
import json
import logging
import subprocess
import sys
from pathlib import Path

import pytest

from hitchdeck_core import logs


@pytest.fixture
def stream(monkeypatch):
    """Return the stream that lines are logged to; restores the root logger."""
    written = io.StringIO()
    monkeypatch.setattr(sys, 'stderr', written)
    level = logging.root.level
    logs.set_up(box='b1')
    yield written
    logging.root.removeHandler(logs._handler)
    logging.root.setLevel(level)


def test_a_line_has_level_event_and_fields(stream):
    logs.info('hub reached', hub='h:1')
    logs.warning('hub lost', hub='h:1')
    first, second = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert first.pop('time').endswith('Z')
    assert first == {'level': 'info', 'event': 'hub reached', 'box': 'b1', 'hub': 'h:1'}
    assert second['level'] == 'warning'


def test_a_failure_is_logged_with_its_traceback(stream):
    with pytest.raises(OSError) as raised:
        Path('/nowhere/file').read_text()
    logs.failure('stopped', raised.value)
    line = json.loads(stream.getvalue())
    assert line['level'] == 'error'
    assert 'Traceback' in line['error'] and 'No such file' in line['error']


def test_lines_of_libraries_have_the_same_form(stream):
    logging.getLogger('asyncio').error('exception was never retrieved')
    logging.getLogger('asyncio').debug('poll took a while')
    line = json.loads(stream.getvalue())
    assert line['event'] == 'exception was never retrieved'


def test_each_line_is_written_once_after_a_second_set_up(stream, monkeypatch):
    monkeypatch.setattr(sys, 'stderr', stream)
    logs.set_up(box='b2')
    logs.info('once')
    assert json.loads(stream.getvalue())['box'] == 'b2'


def test_standard_output_gets_the_lines_of_a_platform_program():
    program = (
        "from hitchdeck_core import logs; logs.set_up_stdout(box='b'); logs.info('e')"
    )
    done = subprocess.run([sys.executable, '-c', program], capture_output=True)
    assert json.loads(done.stdout)['event'] == 'e'
    assert done.stderr == b''
