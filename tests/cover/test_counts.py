"""Counts of the bill against the committed table, which grows only on purpose.

``python -m bench.process_costs --write_counts`` writes the table anew.
"""

import json

import pytest

from bench.process_costs import COUNTS, ROLES, idle_frames, modules_at_start

COMMITTED = json.loads(COUNTS.read_text())

MODULE_TOLERANCE = 12
"""New modules of our own that need no new table; a library usually has more."""

FRAME_TOLERANCE = 1.1
"""Frames are counted over some seconds, in which a busy machine shifts a few."""


@pytest.mark.parametrize('role', ROLES)
def test_a_start_imports_no_more_modules(role: str) -> None:
    """An import of one name may bring in a library that takes milliseconds."""
    committed = COMMITTED['modules at start'][role]
    assert modules_at_start(role) <= committed + MODULE_TOLERANCE


async def test_an_idle_fleet_exchanges_no_more_frames() -> None:
    """A frame that triggers another one would multiply those of an idle fleet."""
    found = await idle_frames()
    for kind, committed in COMMITTED['idle frames per second'].items():
        assert found[kind] <= committed * FRAME_TOLERANCE, kind
