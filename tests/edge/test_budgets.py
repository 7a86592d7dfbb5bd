"""Budgets of bytes and descriptors: reading stops first, then requests are evicted."""

import asyncio
import time
from itertools import pairwise

import pytest

from hitchdeck_edge.serving import budgets
from hitchdeck_edge.serving.budgets import (
    EXHAUSTED_SECONDS,
    FILE_DESCRIPTORS,
    MAX_RELAYS,
    READ_FRACTION,
    RESERVED_DESCRIPTORS,
    STALL_SECONDS,
    ByteBudget,
    DescriptorBudget,
    Holding,
    budgets_of,
)
from tests.common.scheduling import FakeClock

LIMIT = 1000
WAIT_SECONDS = 15.0
SHORT_SECONDS = 0.1


def reading(budget: ByteBudget, account: str, size: int = 0) -> Holding:
    """Return a holding for a request that is being read, and can be evicted."""
    holding = budget.open_reading(account, lambda: None)
    budget.resize(holding, size)
    return holding


def test_reading_stops_at_part_of_the_budget_but_for_the_oldest_request() -> None:
    # Guards against requests that were read in part and wait for one another.
    budget = ByteBudget(LIMIT)
    oldest, next_one = reading(budget, 'a', 100), reading(budget, 'b', 100)
    assert budget.may_read(next_one)
    budget.resize(next_one, int(READ_FRACTION * LIMIT))
    assert not budget.may_read(next_one)
    assert budget.may_read(oldest)
    budget.end_reading(oldest)
    assert budget.may_read(next_one)


def test_the_account_that_holds_most_gives_way_with_its_largest_request() -> None:
    gone: list[str] = []
    budget = ByteBudget(LIMIT)
    for account, size in (('a', 300), ('b', 200), ('b', 250), ('a', 10)):
        holding = budget.open(
            account, lambda name=f'{account}{size}': gone.append(name)
        )
        budget.resize(holding, size)
    budget.resize(budget.open('c'), LIMIT - budget.held)
    assert not gone
    budget.resize(holding, 11)
    budget.resize(holding, 11)
    assert gone == ['b250']
    assert budget.held == LIMIT + 1 - 250


def test_no_other_account_gives_way_for_bodies_in_service() -> None:
    # Guards against breaking off many responses although that frees next to nothing.
    gone: list[str] = []
    budget = ByteBudget(LIMIT)
    innocent = budget.open('a', lambda: gone.append('a'))
    budget.resize(innocent, 10)
    budget.resize(budget.open('b'), LIMIT)
    budget.resize(innocent, 20)
    assert not gone
    assert not budget.may_read(reading(budget, 'c'))


def test_a_body_fits_up_to_the_limit() -> None:
    budget = ByteBudget(LIMIT)
    budget.resize(budget.open('a'), 100)
    assert budget.fits(LIMIT - 100)
    assert not budget.fits(LIMIT - 99)
    assert ByteBudget(0).fits(10**12)


def test_nothing_gives_way_without_a_limit() -> None:
    budget = ByteBudget(0)
    holding = reading(budget, 'a', 10**12)
    assert budget.may_read(holding)
    assert not budget.may_spool(holding)
    assert holding in budget.holdings


async def test_a_request_whose_rest_does_not_come_gives_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a caller that sends half of a large body and then nothing.
    monkeypatch.setattr(budgets, 'STALL_SECONDS', SHORT_SECONDS)
    budget = ByteBudget(LIMIT)
    stuck, waiting = reading(budget, 'a', 500), reading(budget, 'b', 100)
    async with asyncio.timeout(WAIT_SECONDS):
        await budget.wait_to_read(waiting)
    assert stuck not in budget.holdings
    assert waiting in budget.holdings


async def test_a_stalled_request_gives_way_under_traffic(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against releases of other requests that hide that one has stalled.
    monkeypatch.setattr(budgets, 'STALL_SECONDS', SHORT_SECONDS)
    budget = ByteBudget(LIMIT)
    stuck, waiting = reading(budget, 'a', 500), reading(budget, 'b', 100)
    reader = asyncio.create_task(budget.wait_to_read(waiting))
    async with asyncio.timeout(WAIT_SECONDS):
        while not reader.done():
            budget.close(reading(budget, 'c', 10))
            await asyncio.sleep(SHORT_SECONDS / 10)
    assert stuck not in budget.holdings


async def test_a_request_that_waits_too_long_is_to_be_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(budgets, 'STALL_SECONDS', SHORT_SECONDS)
    budget = ByteBudget(LIMIT)
    budget.resize(budget.open('a'), LIMIT)
    async with asyncio.timeout(WAIT_SECONDS):
        assert not await budget.wait_to_read(reading(budget, 'b'))
    assert budget.evicted == 0


def test_a_stalled_request_passes_its_turn_on() -> None:
    clock = FakeClock()
    budget = ByteBudget(LIMIT, clock)
    budget.resize(budget.open('d'), 500)
    stuck, oldest = reading(budget, 'a', 10), reading(budget, 'b', 10)
    assert not budget.may_read(oldest)
    clock.seconds += STALL_SECONDS
    budget.resize(oldest, 20)
    assert budget.may_read(oldest)
    budget.resize(stuck, 20)
    assert not budget.may_read(oldest)


def test_only_stalled_requests_are_evicted_for_one_that_waits() -> None:
    clock = FakeClock()
    budget = ByteBudget(LIMIT, clock)
    reading(budget, 'a', 300)
    other, spooled = reading(budget, 'b', 200), budget.open('a', lambda: None)
    budget.resize(spooled, 400)
    clock.seconds += STALL_SECONDS / 2
    budget.make_room_of_stalled()
    assert budget.evicted == 0
    clock.seconds += STALL_SECONDS / 2
    budget.make_room_of_stalled()
    budget.make_room_of_stalled()
    assert list(budget.holdings) == [other, spooled]


async def test_a_waiting_request_is_read_on_as_soon_as_another_was_read() -> None:
    # Guards against breaking off a request that was served meanwhile.
    budget = ByteBudget(LIMIT)
    oldest, waiting = reading(budget, 'a', 500), reading(budget, 'b', 100)
    reader = asyncio.create_task(budget.wait_to_read(waiting))
    await asyncio.sleep(0)
    budget.end_reading(oldest)
    await asyncio.wait_for(reader, SHORT_SECONDS)
    assert budget.evicted == 0


async def test_nothing_gives_way_after_a_suspension_before_input_was_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(budgets, 'STALL_SECONDS', SHORT_SECONDS)
    budget = ByteBudget(LIMIT)
    oldest, waiting = reading(budget, 'a', 500), reading(budget, 'b', 100)
    reader = asyncio.create_task(budget.wait_to_read(waiting))
    await asyncio.sleep(0)
    time.sleep(2 * SHORT_SECONDS)
    # The rest of the oldest request is processed a turn after its input was found.
    for _ in range(3):
        await asyncio.sleep(0)
    budget.end_reading(oldest)
    await asyncio.wait_for(reader, WAIT_SECONDS)
    assert budget.evicted == 0


def test_descriptors_are_scarce_before_all_are_open() -> None:
    descriptors = DescriptorBudget(1638)
    most = 1638 - FILE_DESCRIPTORS - RESERVED_DESCRIPTORS
    for descriptor, scarce in ((most - 1, False), (most, True), (5, False)):
        descriptors.record_accepted(descriptor)
        assert descriptors.scarce is scarce
    assert descriptors.may_relay(100)
    assert not descriptors.may_relay(most // 8 + 1)


def test_descriptors_without_a_limit_are_never_scarce() -> None:
    descriptors = DescriptorBudget(0)
    descriptors.record_accepted(10**6)
    assert not descriptors.scarce
    assert descriptors.may_relay(MAX_RELAYS - 1)
    assert not descriptors.may_relay(MAX_RELAYS)


def test_budgets_grow_with_the_limits_and_are_off_without_them() -> None:
    sizes = [budgets_of(memory, 0).bytes.limit for memory in (1e6, 160e6, 200e6, 440e6)]
    assert all(smaller < larger for smaller, larger in pairwise(sizes))
    assert budgets_of(0, 0).bytes.limit == 0
    assert not budgets_of(0, 0).descriptors.usable


def test_requests_are_rejected_only_for_a_while_after_descriptors_ran_out() -> None:
    # Guards against rejections that last until someone happens to connect.
    clock = FakeClock()
    descriptors = DescriptorBudget(1000, clock)
    descriptors.record_accepted(999)
    descriptors.record_closed(0)
    assert descriptors.exhausted
    clock.seconds += EXHAUSTED_SECONDS
    assert not descriptors.exhausted
