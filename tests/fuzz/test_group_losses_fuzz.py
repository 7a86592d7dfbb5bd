"""Any series of losses that the platform allows leaves a group that works.

Guards against a quorum that is lost for good although no more machines count as lost
than the settings say, as after a planned replacement and the loss of a disk.
"""

import asyncio
import math
import random
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.common.core_fleet import CoreFleet, simulated_time
from tests.common.loss_account import is_allowed
from tests.common.virtual_time import run_virtually

CATCH_UP = 4.0
RECOVERY_SECONDS = 12.0
SUCCESSOR_SECONDS = 0.3
"""Time from the loss of a machine for good to the start of its successor."""

POLL_SECONDS = 0.005
"""A loss comes this long after the first allowed moment, at most."""

Choice = Callable[['Series'], str]
Loss = Callable[['Series', Choice], Awaitable[None]]
Disturbance = Callable[['Series'], Awaitable[None]]


class Series:
    """A series of losses, each as soon as the account of losses allows it."""

    def __init__(self, fleet: CoreFleet, draw: random.Random) -> None:
        self.fleet = fleet
        self.random = draw
        self.core = list(fleet.first)
        self.added = 0

    async def when_allowed(self, victims: list[str]) -> None:
        """Wait until the given machines may be lost."""
        fleet = self.fleet
        while not is_allowed(
            fleet.histories, fleet.now(), CATCH_UP, fleet.disks_lost, victims
        ):
            await asyncio.sleep(POLL_SECONDS)

    async def lose(self, choose: Choice) -> str:
        """Wait until another machine may be lost; return the one that is."""
        await self.when_allowed(['any other'])
        name = choose(self)
        running = [one for one in self.core if one in self.fleet.machines]
        return name if name in running else self.random.choice(running)

    def add_successor(self, of: str) -> str:
        """Start a machine in place of another one."""
        self.added += 1
        name = f'new-{self.added}'
        self.fleet.add(name)
        self.fleet.histories[of].successor = name
        self.core[self.core.index(of)] = name
        return name

    async def away(self, name: str, seconds: float, *, wiped: bool = False) -> None:
        """Start a machine that has just gone down again after some time."""
        fleet = self.fleet
        if wiped:
            fleet.wiped[name] = fleet.wiped.get(name, 0) + 1
        outages = fleet.histories[name].outages
        began = fleet.now()
        outages.append((began, math.inf))
        await asyncio.sleep(seconds)
        outages.remove((began, math.inf))
        outages.append((began, fleet.now()))
        if name not in fleet.machines:
            fleet.start(name)


def leader(series: Series) -> str:
    """Choose the machine that leads, if one does."""
    leads = series.fleet.leader()
    if leads is None or leads.name not in series.core:
        return series.core[0]
    return leads.name


def follower(series: Series) -> str:
    """Choose an old machine that does not lead."""
    leads = leader(series)
    return next(one for one in series.core if one != leads)


def newest(series: Series) -> str:
    """Choose the machine that was added last."""
    histories = series.fleet.histories
    return max(series.core, key=lambda name: histories[name].started_at)


def anyone(series: Series) -> str:
    """Choose by lot."""
    return series.random.choice(series.core)


async def replace_as_planned(series: Series, choose: Choice) -> None:
    """Start the successor first; the old machine goes once it had its time."""
    await series.when_allowed(['the successor'])
    old = choose(series)
    series.add_successor(old)
    await series.when_allowed([])
    await asyncio.sleep(CATCH_UP)
    await series.fleet.terminate(old)
    series.fleet.histories[old].removed_at = series.fleet.now()


async def lose_for_good(series: Series, choose: Choice) -> None:
    """Take the power from a machine; its successor starts a little later."""
    old = await series.lose(choose)
    series.fleet.histories[old].removed_at = series.fleet.now()
    series.fleet.kill(old, power=True)
    await asyncio.sleep(SUCCESSOR_SECONDS)
    series.add_successor(old)


async def lose_disk(series: Series, choose: Choice) -> None:
    """Kill a machine, which returns without its disk."""
    name = await series.lose(choose)
    series.fleet.kill(name, power=series.random.choice([True, False]))
    await series.away(name, series.random.uniform(0.3, 3), wiped=True)


async def lose_power(series: Series, choose: Choice) -> None:
    """Take the power from a machine for some time; its disk is kept."""
    name = await series.lose(choose)
    series.fleet.kill(name, power=True)
    await series.away(name, series.random.uniform(0.3, 6))


async def restart_in_turn(series: Series, choose: Choice) -> None:
    """Stop and start each machine, one after the other."""
    for name in list(series.core):
        await series.when_allowed(['any other'])
        await series.fleet.terminate(name)
        await series.away(name, series.random.uniform(0.3, 3))


async def cut_off_before_it_goes(series: Series, choose: Choice) -> None:
    """Cut a machine off beside its successor; it is back before it goes."""
    await series.when_allowed(['the successor'])
    old = choose(series)
    series.add_successor(old)
    await asyncio.sleep(CATCH_UP)
    fleet = series.fleet
    outages = fleet.histories[old].outages
    fleet.silent.add(old)
    began = fleet.now()
    outages.append((began, math.inf))
    await asyncio.sleep(series.random.uniform(0.5, 5))
    fleet.silent.discard(old)
    outages.remove((began, math.inf))
    outages.append((began, fleet.now()))
    await series.when_allowed([old])
    await fleet.terminate(old)
    fleet.histories[old].removed_at = fleet.now()


async def add_one_that_hangs(series: Series, choose: Choice) -> None:
    """Start a successor whose disk hangs, and another one in place of it."""
    old = await series.lose(choose)
    fleet = series.fleet
    fleet.histories[old].removed_at = fleet.now()
    fleet.kill(old, power=True)
    await asyncio.sleep(SUCCESSOR_SECONDS)
    hanging = series.add_successor(old)
    fleet.machines[hanging].log.hangs = True
    await asyncio.sleep(series.random.uniform(1, 8))
    fleet.histories[hanging].removed_at = fleet.now()
    fleet.histories[old].successor = series.add_successor(hanging)
    fleet.kill(hanging)


async def stop_everything(series: Series, choose: Choice) -> None:
    """Stop all machines at once, and start them."""
    fleet = series.fleet
    await series.when_allowed([])
    await asyncio.gather(*(fleet.terminate(name) for name in list(fleet.machines)))
    await asyncio.gather(
        *(series.away(name, series.random.uniform(0.3, 1)) for name in series.core)
    )


async def kill_everything(series: Series, choose: Choice) -> None:
    """Take the power from all machines at once, and start them."""
    fleet = series.fleet
    await series.when_allowed([])
    for name in list(fleet.machines):
        fleet.kill(name, power=True)
    await asyncio.gather(
        *(series.away(name, series.random.uniform(0.3, 3)) for name in series.core)
    )


async def no_disturbance(series: Series) -> None:
    """Let nothing else happen."""


async def lose_power_beside(series: Series) -> None:
    """Take the power from any other machine meanwhile; its disk is kept."""
    await asyncio.sleep(series.random.uniform(0, 5))
    others = [one for one in series.core if one in series.fleet.machines]
    if others:
        name = series.random.choice(others)
        series.fleet.kill(name, power=True)
        await series.away(name, series.random.uniform(0.3, 4))


async def split_beside(series: Series) -> None:
    """Split the machines into two halves meanwhile.

    A successor that is cut off can't catch up, so the smaller half counts as lost.
    """
    await asyncio.sleep(series.random.uniform(0, 5))
    fleet = series.fleet
    fleet.half = set(series.random.sample(series.core, len(series.core) // 2))
    histories = [fleet.histories[name] for name in fleet.half]
    began = fleet.now()
    for history in histories:
        history.outages.append((began, math.inf))
    await asyncio.sleep(series.random.uniform(0.3, 6))
    for history in histories:
        history.outages.remove((began, math.inf))
        history.outages.append((began, fleet.now()))
    fleet.half = set()


LOSSES: tuple[Loss, ...] = (
    replace_as_planned,
    lose_for_good,
    lose_disk,
    lose_power,
    restart_in_turn,
    cut_off_before_it_goes,
    add_one_that_hangs,
    stop_everything,
    kill_everything,
)
SIZES = ((3, 1), (4, 1), (5, 1), (5, 2))
CHOICES = (leader, follower, newest, anyone)
DISTURBANCES = (no_disturbance, lose_power_beside, split_beside)


@dataclass(frozen=True)
class Step:
    """One loss, what disturbs it, and whether the group is checked after it."""

    loss: Loss
    choose: Choice = anyone
    disturbance: Disturbance = no_disturbance
    checked: bool = False

    async def play(self, series: Series) -> None:
        """Play this step until all that was lost is back."""
        await asyncio.gather(self.loss(series, self.choose), self.disturbance(series))
        if self.checked:
            await check_recovery(series.fleet)


async def check_recovery(fleet: CoreFleet) -> None:
    """Check that the group can be read and changed in time, and lost nothing."""
    deadline = fleet.now() + RECOVERY_SECONDS
    while fleet.read() is None:
        assert fleet.now() < deadline, f'no quorum\n{fleet.describe()}'
        await asyncio.sleep(0.05)
    assert (fleet.read() or 0) >= fleet.acknowledged, fleet.describe()
    while not await fleet.publish():
        assert fleet.now() < deadline, f'no change taken\n{fleet.describe()}'
        await asyncio.sleep(0.05)


async def operate(fleet: CoreFleet) -> None:
    """Send documents all the time."""
    while True:
        await fleet.publish()
        await asyncio.sleep(0.2)


async def play(
    folder: Path, size: tuple[int, int], steps: list[Step], draw: random.Random
) -> None:
    """Play a series on a number of disks, of which some may be lost at once."""
    fleet = CoreFleet(folder, *size)
    await fleet.start_all()
    await asyncio.sleep(CATCH_UP)
    series = Series(fleet, draw)
    operator = asyncio.create_task(operate(fleet))
    try:
        for step in steps:
            await step.play(series)
        await check_recovery(fleet)
    finally:
        operator.cancel()
        await fleet.close()


def play_in_virtual_time(
    size: tuple[int, int], steps: list[Step], seed: int = 1
) -> None:
    """Play a series on new disks."""
    with simulated_time(seed), tempfile.TemporaryDirectory() as folder:
        draw = random.Random(seed)
        run_virtually(play(Path(folder), size, steps, draw))


def name_of(given: object) -> str:
    """Return the name of a function, as the id of a test."""
    return str(getattr(given, '__name__', given))


@pytest.mark.parametrize('size', SIZES[:2], ids=str)
@pytest.mark.parametrize('choose', [leader, follower], ids=name_of)
@pytest.mark.parametrize('loss', LOSSES, ids=name_of)
def test_a_loss_and_then_a_lost_disk_leave_a_quorum(
    loss: Loss, choose: Choice, size: tuple[int, int]
) -> None:
    for victim in (newest, follower, leader):
        play_in_virtual_time(size, [Step(loss, choose), Step(lose_disk, victim)])


@pytest.mark.parametrize('size', SIZES, ids=str)
@pytest.mark.parametrize('choose', [leader, follower], ids=name_of)
def test_three_planned_replacements_in_a_row_leave_a_quorum(
    choose: Choice, size: tuple[int, int]
) -> None:
    play_in_virtual_time(size, [Step(replace_as_planned, choose)] * 3)


@given(
    size=st.sampled_from(SIZES),
    steps=st.lists(
        st.builds(
            Step,
            st.sampled_from(LOSSES),
            st.sampled_from(CHOICES),
            st.sampled_from(DISTURBANCES),
            st.booleans(),
        ),
        min_size=1,
        max_size=6,
    ),
    seed=st.integers(0, 10_000),
)
def test_any_allowed_series_of_losses_leaves_a_quorum(
    size: tuple[int, int], steps: list[Step], seed: int
) -> None:
    play_in_virtual_time(size, steps, seed)
