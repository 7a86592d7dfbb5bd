"""What starts and idle seconds of the platform's programs cost.

``python -m bench.process_costs`` prints processor time in microseconds, which depends
on the machine, and counts, which do not: ``bench/results/counts.json`` holds the counts
that tests compare with.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire

from bench.message_calls import CountedCalls, calls_of_messages
from hitchdeck_edge.hub.peers import HubPeer
from hitchdeck_edge.hub.spread import SpreadService
from hitchdeck_edge.links.entry import EntryLink
from soak.fleet import PROGRAMS, Fleet, Program, claimed_fleet
from standins.platform_site import running_site

COUNTS = Path(__file__).parent / 'results' / 'counts.json'
ROLES = ('entry', 'hub')
HUBS = 2
BOXES = 4
SETTLE_SECONDS = 3.0
COUNTED_SECONDS = 6.0
CALLS = 'calls of Python functions'
START_SECONDS = 20.0
STARTS = 7
NANOSECONDS = 1000
KINDS = (
    ('hub to box or hub', SpreadService, '_next_frame'),
    ('box to hub', EntryLink, 'next_frame'),
    ('hub to hub', HubPeer, 'next_frame'),
)
IDLE_KINDS = tuple(kind for kind, _, _ in KINDS)


@dataclass(frozen=True)
class Use:
    """What a process has used since its start."""

    microseconds: float
    wakeups: int

    @classmethod
    def of(cls, program: Program) -> 'Use':
        """Read it from the kernel."""
        assert program.process is not None
        folder = Path('/proc', str(program.process.pid))
        ran = int((folder / 'schedstat').read_text().split()[0])
        status = (folder / 'status').read_text()
        switches = status.split('\nvoluntary_ctxt_switches:')[1].split()[0]
        return cls(ran / NANOSECONDS, int(switches))


def modules_at_start(role: str) -> int:
    """Return how many modules a role has imported once its program can start."""
    program = (
        f'import sys, hitchdeck_daemon.{role}_role\n'
        "print(sum(not name.startswith('__') for name in sys.modules))"
    )
    python = [sys.executable, '-S', '-c', program]
    env = {**os.environ, 'PYTHONPATH': ':'.join(filter(None, sys.path))}
    return int(subprocess.run(python, env=env, capture_output=True, check=True).stdout)


async def idle_counts() -> dict[str, float]:
    """Return the frames of an idle fleet per second, by kind, and its calls."""
    counted: Counter[str] = Counter()
    originals = [getattr(owner, name) for _, owner, name in KINDS]
    for (kind, owner, name), original in zip(KINDS, originals, strict=True):
        setattr(owner, name, _counted(original, counted, kind))
    try:
        seconds = await _count_idle(counted)
    finally:
        for (_, owner, name), original in zip(KINDS, originals, strict=True):
            setattr(owner, name, original)
    return {kind: round(counted[kind] / seconds, 1) for kind in (*IDLE_KINDS, CALLS)}


async def _count_idle(counted: Counter[str]) -> float:
    """Start a fleet, and count what it does once it is idle; return for how long."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_site(Path(folder), hubs=HUBS, boxes=BOXES):
            await asyncio.sleep(SETTLE_SECONDS)
            counted.clear()
            began = time.monotonic()
            with CountedCalls() as calls:
                await asyncio.sleep(COUNTED_SECONDS)
            counted[CALLS] = calls.count
            return time.monotonic() - began


def _counted(
    original: Callable[..., Any], counts: Counter[str], kind: str
) -> Callable[..., Any]:
    def count(*args: Any) -> Any:
        counts[kind] += 1
        return original(*args)

    return count


def measure_start(role: str) -> float:
    """Return the processor time until a program listens, in microseconds."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = claimed_fleet(Path(folder))
        try:
            return _start(fleet, role).microseconds
        finally:
            fleet.stop()


def _start(fleet: Fleet, role: str) -> Use:
    """Start a program, and return what it has used once it listens."""
    program = fleet.add(len(fleet.programs()), role)
    until = time.monotonic() + START_SECONDS
    while b'listens' not in program.log.read_bytes():
        if time.monotonic() > until:
            raise TimeoutError(program.log.read_text())
        time.sleep(0.002)
    return Use.of(program)


def idle_second(hubs: int = HUBS, boxes: int = BOXES) -> dict[str, dict[str, float]]:
    """Return what a hub and a box of an idle fleet use per second, on average."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = claimed_fleet(Path(folder))
        try:
            for role in ('hub',) * hubs + ('box',) * boxes:
                _start(fleet, role)
            time.sleep(SETTLE_SECONDS)
            before = [Use.of(one) for one in fleet.programs()]
            time.sleep(COUNTED_SECONDS)
            after = [Use.of(one) for one in fleet.programs()]
        finally:
            fleet.stop()
    spans = list(zip(before, after, strict=True))
    return {'hub': _mean(spans[:hubs]), 'box': _mean(spans[hubs:])}


def _mean(spans: list[tuple[Use, Use]]) -> dict[str, float]:
    total = COUNTED_SECONDS * len(spans)
    used = sum(late.microseconds - early.microseconds for early, late in spans)
    woken = sum(late.wakeups - early.wakeups for early, late in spans)
    return {'us': round(used / total), 'wakeups': round(woken / total, 1)}


def counts() -> dict[str, Any]:
    """Return the counts that do not depend on the machine."""
    return {
        'modules at start': {role: modules_at_start(role) for role in ROLES},
        'idle fleet per second': asyncio.run(idle_counts()),
        'calls per message': calls_of_messages(),
    }


def print_bill(*, write_counts: bool = False) -> None:
    """Print the whole bill; with ``--write_counts``, replace the committed counts."""
    for role in PROGRAMS:
        starts = sorted(measure_start(role) for _ in range(STARTS))
        print(f'start of a {role}: {starts[0]:.0f} us, least of {STARTS}')
    print('idle second:', json.dumps(idle_second()))
    found = counts()
    print(json.dumps(found, indent=2))
    if write_counts:
        COUNTS.write_text(f'{json.dumps(found, indent=2)}\n')


if __name__ == '__main__':
    fire.Fire(print_bill)
