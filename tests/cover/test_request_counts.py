"""Calls of functions per request against the committed table.

``python -m bench.request_counts`` writes the table anew.
"""

import json

from bench.request_counts import COUNTS, request_calls

TOLERANCE = 1.1

REPORT_CALLS = 5
"""Reports of upstreams are counted too: some calls for a request on a busy machine."""


async def test_a_request_takes_no_more_calls_of_functions() -> None:
    # Guards against steps for each request or event that add up over a day.
    found = await request_calls()
    committed = json.loads(COUNTS.read_text())
    assert found.keys() == committed.keys()
    for kind, calls in committed.items():
        assert found[kind] <= calls * TOLERANCE + REPORT_CALLS, kind
