"""Counts of the bill against the committed table, which grows only on purpose.

``python -m bench.process_costs --write_counts`` writes the table anew.
"""

import json

import pytest

from bench.process_costs import (
    CALLS,
    COUNTS,
    ROLES,
    calls_of_messages,
    idle_counts,
    modules_at_start,
)

COMMITTED = json.loads(COUNTS.read_text())

MODULE_TOLERANCE = 12
"""New modules of our own that need no new table; a library usually has more."""

FRAME_TOLERANCE = 1.1
"""Frames are counted over some seconds, in which a busy machine shifts a few."""

CALL_TOLERANCE = 1.25
"""On a busy machine, what arrives together on an idle one takes several turns."""

MESSAGE_TOLERANCE = 1.05
"""Messages one at a time take the same calls on any machine, but for polls."""


@pytest.mark.parametrize('role', ROLES)
def test_a_start_imports_no_more_modules(role: str) -> None:
    """An import of one name may bring in a library that takes milliseconds."""
    committed = COMMITTED['modules at start'][role]
    assert modules_at_start(role) <= committed + MODULE_TOLERANCE


async def test_an_idle_fleet_does_no_more() -> None:
    """A frame that triggers another one would multiply those of an idle fleet."""
    found = await idle_counts()
    for kind, committed in COMMITTED['idle fleet per second'].items():
        tolerance = CALL_TOLERANCE if kind == CALLS else FRAME_TOLERANCE
        assert found[kind] <= committed * tolerance, kind


def test_a_message_takes_no_more_calls() -> None:
    """Each layer between a stream and its socket costs every message of the fleet."""
    found = calls_of_messages()
    for kind, committed in COMMITTED['calls per message'].items():
        assert found[kind] <= committed * MESSAGE_TOLERANCE, kind
