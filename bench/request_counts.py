"""Calls of Python functions in an entry box by kind of request, for the guard in CI.

``python -m bench.request_counts`` writes the committed table anew.  The calls do not
depend on the machine, unlike the processor time of ``bench.request_costs``.  Counted
are the functions that read, serve and answer requests of callers; those of the event
loop depend on what arrives together.
"""

import asyncio
import json
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import CodeType, FrameType
from unittest.mock import Mock, patch

import fire

from bench.rejections import DECISION, request_of
from bench.request_costs import KINDS, LONG_EVENTS, SHORT_EVENTS, drive, roomy_document
from hitchdeck_core import logs
from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from standins.platform_site import Site, running_site, until_taken

COUNTS = Path(__file__).parent / 'results' / 'request_counts.json'
REQUESTS = 80
CALLERS = 4
EVENT_GAP_SECONDS = 0.005
REJECTIONS = 400
ANSWER_BYTES = 4096
COUNTED_PATHS = (
    'hitchdeck_edge/serving/',
    'hitchdeck_edge/dispatch/',
    'hitchdeck_platform/requests.py',
    'tornado/http1connection.py',
    'tornado/httputil.py',
    'tornado/iostream.py',
)


class CallCounter:
    """Counts calls of functions in the files of ``COUNTED_PATHS``."""

    def __init__(self) -> None:
        self.calls = 0
        self.counted: dict[CodeType, bool] = {}

    def on_event(self, frame: FrameType, event: str, _: object) -> None:
        """Count a call; called by the interpreter."""
        if event != 'call':
            return
        code = frame.f_code
        if code not in self.counted:
            name = code.co_filename
            self.counted[code] = any(path in name for path in COUNTED_PATHS)
        self.calls += self.counted[code]


@contextmanager
def counting() -> Iterator[CallCounter]:
    """Count calls in this thread."""
    counter = CallCounter()
    sys.setprofile(counter.on_event)
    try:
        yield counter
    finally:
        sys.setprofile(None)


async def request_calls() -> dict[str, float]:
    """Return the calls of functions per request of each kind, and per event."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_site(Path(folder)) as site:
            await until_taken(site, {**roomy_document(), 'version': 2})
            await site.settle(2)
            found = {kind.name: await _calls_of(site, kind.name) for kind in KINDS}
            rejected = await _calls_of_rejections(site)
    more = found['long_stream'] - found['short_stream']
    return {
        'plain': found['plain'],
        'short stream': found['short_stream'],
        'event': round(more / (LONG_EVENTS - SHORT_EVENTS), 1),
        **rejected,
    }


async def _calls_of(site: Site, name: str) -> float:
    kind = next(one for one in KINDS if one.name == name)
    for worker in site.workers:
        worker.events, worker.gap = kind.events, EVENT_GAP_SECONDS
    address = site.boxes[0].settings.listen
    # Opens connections to the upstreams.
    await drive(address, kind, CALLERS, CALLERS)
    with counting() as counter:
        await drive(address, kind, REQUESTS, CALLERS)
    return round(counter.calls / REQUESTS, 1)


async def _calls_of_rejections(site: Site) -> dict[str, float]:
    """Return the calls for a rejection, from the plain socket and the server."""
    box = site.boxes[0]
    found = {}
    for name, plain in (('rejection', True), ('rejection by the server', False)):
        overloaded = patch.object(
            box.caller_server, 'is_overloaded', Mock(return_value=plain)
        )
        with patch(DECISION, return_value=False), overloaded, counting() as counter:
            await _send_rejected(box.settings.listen)
        found[name] = round(counter.calls / REJECTIONS, 1)
    return found


async def _send_rejected(address: Address) -> None:
    for number in range(REJECTIONS):
        reader, writer = await asyncio.open_connection(*split_address(address))
        writer.write(request_of(number))
        answer = await reader.read(ANSWER_BYTES)
        if not answer.startswith(b'HTTP/1.1 503'):
            raise RuntimeError(f'not rejected: {answer!r}')
        writer.close()


def write_counts() -> None:
    """Write the table that the tests compare with."""
    logs.silence()
    COUNTS.write_text(f'{json.dumps(asyncio.run(request_calls()), indent=2)}\n')


if __name__ == '__main__':
    fire.Fire(write_counts)
