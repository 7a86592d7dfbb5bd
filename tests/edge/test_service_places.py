"""Calls that wait at their box while all places of a plain service are taken."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import PoolName, RequestId
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.scheduling.open_work import OpenWorkEntry, OpenWorkTable
from hitchdeck_edge.scheduling.placement import Placement
from hitchdeck_edge.scheduling.service_health import ServiceState
from hitchdeck_edge.scheduling.service_places import (
    MAX_SUMMARY_AGE_SECONDS,
    ServiceLoad,
    ServicePlaces,
    seconds_if_full,
)
from hitchdeck_edge.scheduling.service_view import ServiceView
from hitchdeck_edge.state.registry import Registry
from tests.edge.test_service_health import FIRST, SECOND, call_query, service

SECONDS = 0.1
GOAL = 0.4


def load(running: int, places: int = 6) -> ServiceLoad:
    return ServiceLoad(SECONDS, running, places)


@pytest.mark.parametrize(
    ('loads', 'read', 'other'),
    [
        ([load(5), load(9)], None, None),
        ([load(6), load(9)], 0.1, None),
        # Calls that must not repeat go first: they may queue at an upstream.
        ([load(11), load(12)], 0.1, None),
        ([load(12), load(13)], 0.1, 0.1),
        # Nothing is known of one of them, or of its places.
        ([load(12), None], None, None),
        ([load(12), load(12, places=1)], None, None),
        ([], None, None),
    ],
)
def test_a_call_waits_only_if_all_upstreams_are_full(
    loads: list[ServiceLoad | None], read: float | None, other: float | None
) -> None:
    assert seconds_if_full(loads, repeatable=True) == pytest.approx(read)
    assert seconds_if_full(loads, repeatable=False) == pytest.approx(other)


class Box:
    """A box that knows two plain services, both with all of their places taken."""

    def __init__(self, running: int, seconds: float = SECONDS) -> None:
        registry = Registry(boot_seconds, Signal())
        for name in (FIRST, SECOND):
            registry.merge(service(name), 'test')
        self.placement = Placement(registry, OpenWorkTable(boot_seconds))
        self.view = ServiceView(boot_seconds)
        self.placement.services.view = self.view
        self.places = ServicePlaces(self.placement, self.view, boot_seconds)
        self.seconds = seconds
        self.admitted: list[str] = []
        self.tell(running)

    def tell(self, running: int) -> None:
        """Apply a summary of the scheduler."""
        self.view.update(
            ServiceState(name, running, self.seconds) for name in (FIRST, SECOND)
        )

    async def send(self, query: PlacementQuery, goal: float = GOAL) -> None:
        """Send a call once it is admitted; it stays in flight."""
        if await self.places.admit(query, boot_seconds() + goal):
            self.admitted.append(query.request)
            for name in (FIRST, SECOND):
                OpenWorkEntry(self.placement.open_work, name, 0)


def named(name: str, *, repeatable: bool) -> PlacementQuery:
    return replace(call_query(repeatable=repeatable), request=RequestId(name))


async def test_calls_that_must_not_repeat_get_the_next_places_first() -> None:
    # Guards against calls of one attempt that wait behind reads.
    box = Box(running=12)
    calls = [named('read', repeatable=True), named('other', repeatable=False)]
    tasks = [asyncio.create_task(box.send(one, goal=60)) for one in calls]
    await asyncio.sleep(0)
    assert (box.admitted, box.places.waited) == ([], 2)
    # One that arrives later does not pass those that wait.
    box.view.states = {}
    later = named('later', repeatable=True)
    tasks.append(asyncio.create_task(box.send(later, goal=60)))
    await asyncio.sleep(0)
    assert not box.admitted
    box.tell(running=11)
    await asyncio.sleep(0.01)
    assert box.admitted == ['other']
    # Its own call has taken the place that was free.
    box.tell(running=5)
    await asyncio.sleep(0.01)
    assert box.admitted == ['other']
    box.tell(running=4)
    await asyncio.sleep(0.01)
    assert box.admitted == ['other', 'read']
    box.tell(running=0)
    await asyncio.gather(*tasks)
    assert box.admitted == ['other', 'read', 'later']
    assert not box.places.waiting


async def test_a_call_is_sent_while_it_can_be_in_time() -> None:
    box = Box(running=6)
    began = boot_seconds()
    await box.send(named('read', repeatable=True))
    assert box.admitted == ['read']
    assert GOAL - SECONDS <= boot_seconds() - began + 0.001


@pytest.mark.parametrize('repeatable', [True, False])
async def test_a_call_that_would_be_late_is_refused_at_once(
    *, repeatable: bool
) -> None:
    box = Box(running=30, seconds=2 * GOAL)
    await box.send(named('late', repeatable=repeatable))
    assert not box.admitted
    assert (box.places.refused, box.places.waited) == (1, 0)


def outdated(box: Box) -> None:
    box.view.updated_at -= MAX_SUMMARY_AGE_SECONDS + 0.1


def unmeasured(box: Box) -> None:
    box.seconds = 0
    box.tell(running=30)


def ejected(box: Box) -> None:
    for name in (FIRST, SECOND):
        box.placement.health.record_crash(name)


@pytest.mark.parametrize('change', [outdated, unmeasured, ejected])
async def test_a_call_does_not_wait_for_places_that_are_not_known(
    change: Callable[[Box], None],
) -> None:
    box = Box(running=30)
    change(box)
    await box.send(named('read', repeatable=True))
    assert box.admitted == ['read']
    assert not box.places.waited


async def test_a_caller_who_left_does_not_hold_up_the_others() -> None:
    box = Box(running=12)
    gone = asyncio.create_task(box.send(named('gone', repeatable=False), goal=60))
    stays = asyncio.create_task(box.send(named('stays', repeatable=True), goal=60))
    await asyncio.sleep(0)
    box.tell(running=5)
    gone.cancel()
    await stays
    assert box.admitted == ['stays']
    assert not box.places.waiting


async def test_a_call_does_not_wait_behind_one_of_another_pool() -> None:
    box = Box(running=12)
    stuck = asyncio.create_task(box.send(named('stuck', repeatable=True), goal=60))
    await asyncio.sleep(0)
    elsewhere = replace(named('elsewhere', repeatable=True), pool=PoolName('free'))
    await box.send(elsewhere)
    assert box.admitted == ['elsewhere']
    stuck.cancel()
