"""Requests that wait at the scheduler, or at a box that decides alone."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest

from hitchdeck_core.channels import require_fleet_token, serve
from hitchdeck_core.ids import AccountName, InstanceName, RequestId, UpstreamName
from hitchdeck_edge.hub.placing import FleetSize, PlacingService
from hitchdeck_edge.links.placing import PlacingLink
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.refused_requests import (
    MAX_REMEMBERED,
    RETRY_MEMORY_SECONDS,
    RefusedRequests,
)
from hitchdeck_edge.scheduling.scheduler import Scheduler, Unplaced
from hitchdeck_edge.scheduling.waiting import (
    WaitingQueue,
)
from hitchdeck_platform.settings import GOAL_WAIT, decode_settings
from standins.ports import free_address
from tests.common.scheduling import (
    FakeClock,
    engine,
    offer,
    prompt,
    scheduler_of,
    wanted,
)
from tests.edge.test_scheduler_link import reached, running_link

FULL = ('other', 0)
ENGINE = UpstreamName('e0')
GOAL = 0.6


def patient(
    name: str = 'ann', longest: float = GOAL, priority: int = 0
) -> PlacementQuery:
    """Return a request that may wait."""
    return replace(wanted(name), longest_wait=longest, priority=priority)


def full_scheduler(clock: FakeClock) -> Scheduler:
    """Return a scheduler whose only engine reads for a second."""
    scheduler = scheduler_of(clock, 1)
    scheduler.add_open(FULL, ENGINE, 40_000)
    return scheduler


def queue_of(scheduler: Scheduler, clock: FakeClock) -> WaitingQueue:
    return WaitingQueue(scheduler, scheduler.attempt_place, clock)


def test_a_waiting_request_gets_the_place_that_becomes_free() -> None:
    # Guards against a refusal whose retry arrives after the goal.
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    queue = queue_of(scheduler, clock)
    assert queue.place(('box', 1), patient()) is None
    assert queue.review() == []
    clock.seconds += 0.2
    scheduler.end(FULL)
    decided = queue.review()
    key, choice = decided[0]
    assert key == ('box', 1)
    assert isinstance(choice, Choice)
    assert key in scheduler.open
    assert not queue.entries
    assert queue.review() == []


def test_a_request_does_not_wait_beyond_what_its_goal_leaves() -> None:
    # Guards against holding a request that would start after its goal.
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    queue = queue_of(scheduler, clock)
    queue.place(('box', 1), patient())
    clock.seconds += GOAL
    scheduler.end(FULL)
    assert queue.review() == [(('box', 1), Refusal.overloaded)]
    assert not scheduler.open


def lose_engines(scheduler: Scheduler) -> None:
    scheduler.placement.registry.end(InstanceName(ENGINE), 'test')


def lengthen_queue(scheduler: Scheduler) -> None:
    scheduler.add_open(('other', 1), ENGINE, 20_000)


def restart_reading(scheduler: Scheduler) -> None:
    scheduler.add_open(FULL, ENGINE, 41_000)


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        (lose_engines, Refusal.no_upstream),
        (lengthen_queue, Refusal.overloaded),
        (restart_reading, None),
    ],
)
def test_a_request_is_refused_when_its_prediction_turns_bad(
    change: Callable[[Scheduler], None], reason: Refusal | None
) -> None:
    # Guards against holding a request until the end of its wait although nothing can
    # begin it in time any more; a queue as long as it was is no such reason.
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    queue = queue_of(scheduler, clock)
    queue.place(('box', 1), patient())
    queue.place(('box', 2), patient())
    change(scheduler)
    clock.seconds += 0.01
    refused = [(('box', number), reason) for number in (1, 2) if reason]
    assert queue.review() == refused
    assert queue.turned_bad == len(refused)
    assert len(queue.entries) == 2 - len(refused)


@pytest.mark.parametrize(
    ('queue_at_second', 'placed'), [(8_000, True), (30_000, False)]
)
def test_a_request_is_tried_itself_before_it_is_refused(
    queue_at_second: int, *, placed: bool
) -> None:
    # Guards against a short request that is refused because a long one of its account,
    # whose prompt is cached at a busy engine, can't be begun.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 2)
    scheduler.add_open(FULL, ENGINE, 26_000)
    scheduler.add_open(('second', 0), UpstreamName('e1'), 24_400)
    shared, own = Part(PartId('s'), 39_000), Part(PartId('own'), 1000)
    scheduler.placement.prefix_cache.record_prompt(ENGINE, Prompt(39_000, 0, (shared,)))
    queue = queue_of(scheduler, clock)
    large = replace(patient(longest=0.3), prompt=Prompt(40_000, 0, (shared, own)))
    small = replace(patient(), prompt=Prompt(1000, 0, (own,)))
    assert queue.place(('box', 1), large) is None
    assert queue.place(('box', 2), small) is None
    scheduler.add_open(FULL, ENGINE, 34_000)
    scheduler.add_open(('second', 0), UpstreamName('e1'), queue_at_second)
    clock.seconds += 0.06
    decided = dict(queue.review())
    assert decided['box', 1] is Refusal.overloaded
    assert isinstance(decided['box', 2], Choice) is placed


def test_a_bad_prediction_for_one_area_refuses_nothing_elsewhere() -> None:
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    queue = queue_of(scheduler, clock)
    scheduler.placement.areas = {'a': 'here'}
    for number, area in enumerate(('here', 'here', 'gone')):
        queue.place(('box', number), replace(patient(), areas=frozenset((area,))))
    assert list(queue.entries) == [('box', 0), ('box', 1)]
    entry = queue.entries['box', 1]
    entry.query = replace(entry.query, areas=frozenset(('gone',)))
    assert queue.review() == [(('box', 1), Refusal.no_upstream)]


def test_without_the_mechanism_a_request_waits_to_the_end() -> None:
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    scheduler.mechanisms = Mechanisms(prediction_review=False)
    queue = queue_of(scheduler, clock)
    queue.place(('box', 1), patient())
    lose_engines(scheduler)
    assert queue.review() == []


def test_the_time_waited_shortens_the_queue_that_is_accepted() -> None:
    # Guards against starting a request late after it has waited in time.
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    queue = queue_of(scheduler, clock)
    queue.place(('box', 1), patient())
    clock.seconds += 0.4
    scheduler.end(FULL)
    scheduler.add_open(FULL, ENGINE, 10_000)
    assert queue.review() == []
    assert isinstance(scheduler.decide(wanted()), Choice)


def test_need_goes_before_urgency_and_urgency_before_time_left() -> None:
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    offer(scheduler, 1000)
    for number in range(40):
        scheduler.place(('flood', number), replace(wanted('big'), resumes=True))
    queue = queue_of(scheduler, clock)
    asks = {
        'beyond': patient('big', priority=0),
        'relaxed': patient('less', priority=2),
        'second': patient('ann', priority=1, longest=0.5),
        'first': patient('ann', priority=1, longest=0.4),
    }
    for number, one in enumerate(asks.values()):
        assert queue.place(('box', number), one) is None
    for number in range(40):
        scheduler.end(('flood', number))
    scheduler.end(FULL)
    decided = [key[1] for key, _ in queue.review()]
    assert [list(asks)[number] for number in decided][:3] == [
        'first',
        'second',
        'relaxed',
    ]


def test_a_request_of_a_caller_who_left_is_not_placed() -> None:
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    queue = queue_of(scheduler, clock)
    queue.place(('box', 1), patient())
    queue.place(('lost', 1), patient())
    queue.remove(('box', 1))
    queue.drop_box('lost')
    scheduler.end(FULL)
    assert queue.review() == []
    assert not scheduler.open


@pytest.mark.parametrize(('later', 'waits'), [(0.3, True), (0.7, False)])
def test_a_retry_has_the_goal_of_the_refused_request(
    later: float, *, waits: bool
) -> None:
    # Guards against late retries that wait in the place of requests still in time.
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    offer(scheduler, 1000)
    queue = queue_of(scheduler, clock)
    short = patient(longest=0.1)
    queue.place(('box', 1), short)
    clock.seconds += 0.1
    assert len(queue.review()) == 1
    clock.seconds += later - 0.1
    retry = replace(short, request=RequestId('another'))
    assert (queue.place(('box', 2), retry) is None) == waits
    assert scheduler.shares.asked.tokens[AccountName('ann')] == 1000
    other = replace(short, prompt=prompt(900))
    assert queue.place(('box', 3), other) is None


def test_the_memory_of_refused_requests_is_bounded() -> None:
    clock = FakeClock()
    refused = RefusedRequests(clock)
    for number in range(MAX_REMEMBERED + 10):
        refused.add(replace(wanted(), account=AccountName(str(number))), clock.seconds)
    assert len(refused.arrivals) == MAX_REMEMBERED
    clock.seconds += RETRY_MEMORY_SECONDS + 1
    refused.add(wanted(), clock.seconds)
    assert len(refused.arrivals) == 1
    assert not refused.seconds_since(replace(wanted(), account=AccountName('99')))


def test_demand_is_counted_once_however_long_a_request_waits() -> None:
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    offer(scheduler, 1000)
    queue = queue_of(scheduler, clock)
    queue.place(('box', 1), patient())
    for _ in range(5):
        clock.seconds += 0.05
        queue.review()
    assert scheduler.shares.asked.tokens[AccountName('ann')] == 1000


def test_without_a_longest_wait_decisions_are_those_of_the_scheduler() -> None:
    # Guards against changed decisions in deployments that do not ask for waits.
    clock = FakeClock()
    alone, behind = (scheduler_of(clock, 2) for _ in range(2))
    queue = queue_of(behind, clock)
    for one in (alone, behind):
        offer(one, 4000)
    for number in range(200):
        clock.seconds += 0.01
        query = wanted('big' if number % 3 else 'ann', str(number % 7), 4000)
        expected = alone.place(('box', number), query)
        assert queue.place(('box', number), query) == expected
    assert not queue.entries


@asynccontextmanager
async def waiting_link(
    scheduler: Scheduler,
) -> AsyncIterator[tuple[PlacingLink, PlacingService]]:
    """Run a hub with a scheduler, and the link of a box to it."""
    service = PlacingService(scheduler, FleetSize(lambda: 1, scheduler.now))
    address = free_address()
    server = await serve([service], address, require_fleet_token('token'))
    try:
        async with running_link(address) as link:
            link.registry.merge(engine('e0'), 'test')
            await reached(link, connected=True)
            yield link, service
    finally:
        server.close()


async def until_waiting(service: PlacingService, count: int) -> None:
    async with asyncio.timeout(15):
        while len(service.queue.entries) != count:
            await asyncio.sleep(0.01)


async def test_a_box_waits_for_a_scheduler_that_holds_its_request() -> None:
    # Guards against taking the scheduler for silent after 60 ms, and sending twice.
    scheduler = full_scheduler(FakeClock())
    async with waiting_link(scheduler) as (link, service):
        asked = asyncio.create_task(link.place(patient()))
        await until_waiting(service, 1)
        await asyncio.sleep(0.2)
        assert not asked.done()
        scheduler.end(FULL)
        choice = await asked
        assert isinstance(choice, Choice)
        assert choice.upstream.name == ENGINE
        assert not link.unanswered
        assert len(scheduler.open) == 1


async def test_a_caller_who_leaves_is_removed_from_the_scheduler() -> None:
    scheduler = full_scheduler(FakeClock())
    async with waiting_link(scheduler) as (link, service):
        asked = asyncio.create_task(link.place(patient()))
        await until_waiting(service, 1)
        await asyncio.sleep(0.1)
        asked.cancel()
        await until_waiting(service, 0)
        assert list(scheduler.open) == [FULL]


async def test_a_request_returns_to_its_box_when_the_scheduler_is_lost() -> None:
    # Guards against a request that waits until its deadline at a hub that has ended.
    scheduler = full_scheduler(FakeClock())
    async with waiting_link(scheduler) as (link, service):
        asked = asyncio.create_task(link.place(patient(longest=60)))
        await until_waiting(service, 1)
        await asyncio.sleep(0.1)
        link._disconnect()
        async with asyncio.timeout(15):
            assert await asked is None


class NoScheduler:
    """A link without a scheduler."""

    scheduler = None

    def __init__(self, now: FakeClock) -> None:
        self.now = now
        self.choice: Choice | None = None

    async def place(self, _query: PlacementQuery) -> Choice | None:
        return self.choice


@pytest.mark.parametrize('leaves', [False, True])
async def test_a_box_that_decides_alone_holds_requests_too(*, leaves: bool) -> None:
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    chooser = Chooser('a', scheduler, NoScheduler(clock), goal_wait=1)
    asked = asyncio.create_task(chooser.choose(context_of(clock)))
    async with asyncio.timeout(15):
        while not chooser.queue.entries:
            await asyncio.sleep(0.01)
    if leaves:
        asked.cancel()
        await asyncio.wait((asked,))
        assert not chooser.queue.entries
        assert not chooser.places
    else:
        scheduler.end(FULL)
        assert isinstance(await asked, Choice)


async def test_without_the_setting_a_box_refuses_at_once() -> None:
    clock = FakeClock()
    chooser = Chooser('a', full_scheduler(clock), NoScheduler(clock))
    assert await chooser.choose(context_of(clock)) is Refusal.overloaded


def context_of(clock: FakeClock) -> SimpleNamespace:
    return SimpleNamespace(
        placement_query=lambda _domain: wanted(), decided_by='', arrived=clock.seconds
    )


def test_only_settings_that_limit_a_process_let_requests_wait() -> None:
    fields = {
        'serves': ['front'],
        'nodeName': 'box',
        'zone': 'a',
        'ip': '127.0.0.1',
        'seeds': [],
        'portRange': [7000, 7001],
        'listen': {'front': '127.0.0.1:1', 'ready': '127.0.0.1:2'},
    }
    for given, waits in ((fields, 0), ({**fields, 'limits': {}}, GOAL_WAIT)):
        entry = decode_settings(given).entry
        assert entry is not None
        assert entry.goal_wait == waits
        assert entry.scheduler_agreement == bool(waits)


class MovingClock(FakeClock):
    """A clock that moves on whenever it is read, like that of a process."""

    def __call__(self) -> float:
        self.seconds += 1e-6
        return self.seconds


def test_the_demand_of_requests_that_may_wait_counts() -> None:
    # Guards against the clock moving on between arrival and decision: a request then
    # counted as one that came back, no demand was counted, and no share was binding.
    clock = MovingClock()
    scheduler = scheduler_of(clock, 1)
    offer(scheduler, 20_000)
    queue = queue_of(scheduler, clock)
    for number in range(20):
        queue.place(('box', number), patient())
    assert scheduler.shares.asked.tokens[AccountName('ann')] == 20 * 1000


def test_an_idle_engine_gets_a_prompt_that_takes_longer_than_the_goal() -> None:
    # Guards against the largest prompts being refused beside idle engines.
    clock = MovingClock()
    scheduler = scheduler_of(clock, 1)
    large = replace(patient(), prompt=prompt(60_000))
    assert isinstance(queue_of(scheduler, clock).place(('box', 1), large), Choice)


def test_accounts_behind_one_with_many_waiting_requests_are_tried() -> None:
    # Guards against requests that no engine can begin keeping all others waiting.
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    queue = queue_of(scheduler, clock)
    for number in range(20):
        queue.place(('box', number), patient('bob'))
    queue.place(('box', 100), patient('ann'))
    tried: list[str] = []

    def refuse(_: tuple[str, int], query: PlacementQuery) -> Unplaced:
        tried.append(str(query.account))
        return Unplaced(Refusal.overloaded, 0, 1, 0)

    queue.attempt = refuse
    queue.review()
    assert {'ann', 'bob'} <= set(tried)


def test_a_box_that_decides_alone_places_one_request_a_review() -> None:
    # Guards against eight requests at the same engine, none of which counts as load.
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    queue = WaitingQueue(
        scheduler, lambda _, query: scheduler.attempt(query), clock, max_placed=1
    )
    for number in range(3):
        queue.place(('', number), patient())
    scheduler.end(FULL)
    assert len(queue.review()) == 1


def test_a_refusal_at_the_end_of_a_wait_goes_by_the_latest_prediction(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a time for the retry by the queue at the arrival, for requests
    # behind another one of their account.
    clock = FakeClock()
    scheduler = full_scheduler(clock)
    queue = queue_of(scheduler, clock)
    for number, longest in enumerate((0.2, 0.3)):
        queue.place(('box', number), patient(longest=longest))
    scheduler.add_open(FULL, ENGINE, 30_000)
    clock.seconds += 0.05
    assert queue.review() == []
    queues: list[float] = []

    def refuse(_query: PlacementQuery, unplaced: Unplaced, _: object) -> Refusal:
        queues.append(unplaced.queue)
        return unplaced.refusal

    monkeypatch.setattr(scheduler, 'refuse', refuse)
    clock.seconds += 0.5
    assert len(queue.review()) == 2
    assert queues == pytest.approx([0.751, 0.751])
