"""A completion goes on only at the software version that began it."""

import asyncio
import time
from collections.abc import Iterator

import pytest

from standins.fleet import Fleet, FleetSize, running_fleet
from tests.common import callers

AT_ONCE_SECONDS = 5.0
"""Far below the time limit of 40 s; a busy machine takes its time."""


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Return a fleet of one router and two engines."""
    folder = tmp_path_factory.mktemp('versions')
    with running_fleet(folder, FleetSize(routers=1, engines=2, gap=0.01)) as running:
        yield running


TOKENS = 6
CUT_AFTER = 3


@pytest.mark.parametrize(
    ('versions', 'engines', 'runs'),
    [(('1', '1'), 2, 2), (('1', '2'), 1, 2), (('', ''), 1, 1)],
)
async def test_a_broken_completion_goes_on_only_at_its_version(
    fleet: Fleet, versions: tuple[str, ...], engines: int, runs: int
) -> None:
    path = callers.write_resources(fleet, versions)
    await asyncio.to_thread(fleet.hitchdeck, 'apply', str(path), '--wait')
    await callers.until_ready(fleet)
    for engine in fleet.engines:
        await callers.set_faults(engine, die_after=CUT_AFTER)
    asked = time.monotonic()
    reply = await callers.chat(fleet.routers[0], f'{versions}', tokens=TOKENS)
    begun = [
        [at for at in callers.begun_at(fleet, engine) if at >= asked]
        for engine in fleet.engines
    ]
    assert len([times for times in begun if times]) == engines
    assert sum(map(len, begun)) == runs
    if runs > 1:
        expected = callers.expected_text(f'{versions}', TOKENS)
        assert callers.text_of(reply) == expected
        return
    assert (reply.status, reply.ran) == (502, 'unknown')
    assert time.monotonic() - asked < AT_ONCE_SECONDS
