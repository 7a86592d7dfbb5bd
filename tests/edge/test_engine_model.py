"""What placement knows of each engine: its speed, its memory, what fits now."""

import math
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.document import Engine
from hitchdeck_edge.model.mechanisms import Mechanisms
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.model.refusals import Refusal
from hitchdeck_edge.scheduling.chooser import Chooser
from hitchdeck_edge.scheduling.engine_costs import EngineCosts
from hitchdeck_edge.scheduling.engine_memory import EngineMemory
from hitchdeck_edge.scheduling.engine_model import EngineModel
from hitchdeck_edge.scheduling.scheduler import Scheduler
from hitchdeck_platform.settings import read_settings
from tests.common.scheduling import POOL, FakeClock, offer, scheduler_of, wanted
from tests.edge.test_policies import SETTINGS

NAMES = [UpstreamName(f'e{number}') for number in range(4)]
FIRST, SECOND = NAMES[:2]
LATENCY = 0.05
RATE = 50_000
SHORT, LONG = 300, 12_000


def learning_scheduler(clock: FakeClock, engines: int) -> Scheduler:
    scheduler = scheduler_of(clock, engines)
    scheduler.placement.learn_engines()
    offer(scheduler, 1_000_000)
    return scheduler


def costs_of(scheduler: Scheduler) -> EngineCosts:
    costs = scheduler.placement.costs
    assert costs is not None
    return costs


def teach(
    model: EngineModel,
    paces: dict[UpstreamName, float],
    chance: Random,
    *,
    samples: int = 200,
    late_part: float = 0.0,
) -> None:
    """Measure first events of engines that take longer by a factor each."""
    for _ in range(samples):
        for name, pace in paces.items():
            tokens = chance.choice((SHORT, SHORT, SHORT, LONG))
            seconds = pace * (LATENCY + tokens / RATE) * chance.lognormvariate(0, 0.1)
            if chance.random() < late_part:
                seconds += 0.3
            model.measure(name, POOL, (tokens, 0), seconds)


@pytest.mark.parametrize(('occupied', 'fits'), [(7, True), (8, False)])
@pytest.mark.parametrize('learns', [True, False])
def test_a_request_fits_while_a_slot_is_free(
    occupied: int, fits: bool, learns: bool
) -> None:
    # Guards against sending into the queue of an engine what could wait in order.
    scheduler = scheduler_of(FakeClock(), 1)
    if learns:
        scheduler.placement.learn_engines()
    offer(scheduler, 100_000)
    for number in range(occupied):
        scheduler.add_open(('box', number), FIRST, 0)
    choice = scheduler.decide(wanted())
    assert isinstance(choice, Choice)
    assert choice.fits is fits


@pytest.mark.parametrize('late_part', [0.0, 0.1])
@pytest.mark.parametrize('factor', [1.3, 2.2])
def test_the_speed_of_each_engine_is_learned_beside_late_boxes(
    late_part: float, factor: float
) -> None:
    # Guards against taking the delays of busy boxes, or the latency of short prompts,
    # for slow reading.
    model = EngineModel(FakeClock())
    paces = {FIRST: 1.0, SECOND: factor, NAMES[2]: 1.0, NAMES[3]: factor}
    teach(model, paces, Random('speeds'), late_part=late_part)
    fast, slow = model.paces[FIRST], model.paces[SECOND]
    assert slow.per_token / fast.per_token == pytest.approx(factor, rel=0.15)
    assert fast.per_token == pytest.approx(1 / RATE, rel=0.2)
    assert fast.latency == pytest.approx(LATENCY, rel=0.4)
    assert model.pool(POOL).uneven


def test_equal_engines_are_learned_as_equal() -> None:
    # Guards against preferring engines for the noise of their times.
    model = EngineModel(FakeClock())
    teach(model, dict.fromkeys(NAMES, 1.0), Random('equal'))
    times = [one.per_token for one in model.paces.values()]
    assert max(times) == pytest.approx(min(times), rel=0.1)
    assert not model.pool(POOL).uneven


def test_a_restarted_engine_starts_from_its_pool() -> None:
    model = EngineModel(FakeClock())
    teach(model, {FIRST: 1.0, SECOND: 1.0}, Random('pool'))
    new = model.engine(UpstreamName('e0-again'), POOL)
    assert new.per_token == pytest.approx(model.paces[FIRST].per_token, rel=0.1)
    assert new.run_seconds == model.pool(POOL).run_seconds
    model.keep({FIRST})
    assert set(model.paces) == {FIRST}


def test_the_expected_queue_and_reading_are_those_of_the_engine() -> None:
    # Guards against admitting by the mean of the pool: with a goal of 0.6 s the fast
    # engine starts in time what the slow one does not.
    scheduler = learning_scheduler(FakeClock(), 2)
    costs = costs_of(scheduler)
    teach(costs.model, {FIRST: 1.0, SECOND: 2.2}, Random('queue'))
    for number, name in enumerate(NAMES[:2]):
        scheduler.add_open(('box', number), name, LONG)
    fast, slow = (
        costs.choice(one, wanted(), LONG)
        for one in scheduler.placement.registry.serving(POOL)
    )
    assert slow.queue / fast.queue == pytest.approx(2.2, rel=0.15)
    assert slow.reading / fast.reading == pytest.approx(2.2, rel=0.2)
    assert fast.queue == pytest.approx(LONG / RATE, rel=0.2)


def test_a_queue_shrinks_while_it_is_read_and_grows_when_it_is_overdue() -> None:
    # Guards against counting a prompt of 54,600 tokens as unread until its first event.
    clock = FakeClock()
    scheduler = learning_scheduler(clock, 1)
    costs = costs_of(scheduler)
    teach(costs.model, {FIRST: 1.0}, Random('progress'))
    scheduler.add_open(('box', 1), FIRST, LONG)
    upstream = scheduler.placement.registry.serving(POOL)[0]
    queues = []
    for passed in (0, 0.1, 0.2, 1):
        clock.seconds += passed
        queues.append(costs.choice(upstream, wanted(), 0).queue)
    assert queues[1] == pytest.approx(queues[0] - 0.1, rel=0.15)
    assert queues[2] == pytest.approx(0, abs=0.01)
    assert queues[3] == pytest.approx(1, abs=0.2)


@pytest.mark.parametrize(('passed', 'others'), [(0.4, True), (3, False)])
def test_a_lost_answer_does_not_make_its_engine_overdue(
    passed: float, others: bool
) -> None:
    # Guards against an engine that goes unused until the lost answer times out.
    clock = FakeClock()
    scheduler = learning_scheduler(clock, 1)
    scheduler.add_open(('box', 1), FIRST, SHORT)
    scheduler.add_open(('box', 2), FIRST, SHORT)
    clock.seconds += passed
    if others:
        scheduler.start(('box', 2))
    upstream = scheduler.placement.registry.serving(POOL)[0]
    queue = costs_of(scheduler).choice(upstream, wanted(), 0).queue
    assert queue == pytest.approx(0, abs=0.05)


def test_faster_engines_get_more_in_proportion() -> None:
    # A quarter of the engines is 2.2 times as fast; the load needs nine tenths of all.
    clock = FakeClock()
    scheduler = learning_scheduler(clock, 4)
    paces = {FIRST: 1 / 2.2, **dict.fromkeys(NAMES[1:], 1.0)}
    teach(costs_of(scheduler).model, paces, Random('share'))
    free_at = dict.fromkeys(NAMES, clock.seconds)
    reading: list[tuple[float, int]] = []
    placed: Counter[str] = Counter()
    for number in range(3000):
        clock.seconds += 2000 / RATE / (2.2 + 3) / 0.9
        finished = [one for one in reading if one[0] <= clock.seconds]
        for done, earlier in finished:
            reading.remove((done, earlier))
            scheduler.end(('box', earlier))
        one = replace(wanted(f'a{number}', f's{number}', 2000), resumes=True)
        choice = scheduler.place(('box', number), one)
        assert isinstance(choice, Choice)
        name = choice.upstream.name
        placed[name] += 1
        begun = max(free_at[name], clock.seconds)
        free_at[name] = begun + paces[name] * 2000 / RATE
        reading.append((free_at[name], number))
    slow = sum(placed[name] for name in NAMES[1:]) / 3
    assert placed[FIRST] / slow == pytest.approx(2.2, rel=0.25)


def test_a_stalled_engine_is_avoided_for_a_while() -> None:
    # Guards against sending to an engine that is 2.5 times as slow for 0.6 s, and
    # against avoiding it much longer.
    clock = FakeClock()
    model = EngineModel(clock)
    teach(model, {FIRST: 1.0, SECOND: 1.0}, Random('stall'))
    pace = model.paces[FIRST]
    clock.seconds += 1
    model.measure(FIRST, POOL, (SHORT, 0), 0.3)
    assert pace.stall_factor(clock.seconds) == 1
    for _ in range(3):
        model.measure(FIRST, POOL, (LONG, 0), 2.5 * (LATENCY + LONG / RATE))
    assert pace.stall_factor(clock.seconds) == pytest.approx(2, rel=0.25)
    clock.seconds += 0.6
    assert pace.stall_factor(clock.seconds) == 1
    assert pace.per_token == pytest.approx(1 / RATE, rel=0.3)


def sharing(subject: str, own: int, output: int) -> Prompt:
    """Return a prompt of a shared part of 5,000 tokens and an own one."""
    shared = Part(PartId(subject), 5000)
    return Prompt(5000 + own, output, (shared, Part(PartId('own'), own)))


def test_memory_counts_shared_parts_once_and_output_as_it_grows() -> None:
    memory = EngineMemory()
    first, second = sharing('s', 1000, 400), sharing('s', 2000, 600)
    memory.hold(first)
    assert memory.need(second) == 2600
    memory.hold(second)
    assert memory.occupied(0, 2) == 8000 + 500
    memory.start(first, 0)
    memory.start(second, 0)
    assert memory.made(1, 2) == 500
    assert memory.occupied(1, 2) == 8000 + 750
    assert memory.occupied(9, 2) == 8000 + 1000
    memory.release(first, 0)
    assert memory.occupied(0, 2) == 7000 + 300
    memory.release(second, 0)
    assert not memory.requests
    assert memory.occupied(5, 2) == 0


def with_prompt(given: Prompt) -> PlacementQuery:
    return replace(wanted(), prompt=given, resumes=True)


def test_an_engine_without_memory_for_a_request_is_full() -> None:
    # Guards against preemption: the engine reads the newest request again.
    scheduler = learning_scheduler(FakeClock(), 2)
    full = sharing('s', 90_000, 400)
    first = scheduler.place(('box', 1), with_prompt(full))
    other = scheduler.place(('box', 2), with_prompt(sharing('s', 9_000, 400)))
    assert isinstance(first, Choice)
    assert isinstance(other, Choice)
    assert first.upstream != other.upstream
    assert first.fits
    assert other.fits
    third = scheduler.placement.choose(with_prompt(sharing('t', 94_000, 400)))
    assert third is not None
    assert not third.fits
    assert third.queue > 0
    scheduler.end(('box', 1))
    scheduler.end(('box', 2))
    again = scheduler.placement.choose(with_prompt(sharing('t', 94_000, 400)))
    assert again is not None
    assert again.fits


@pytest.mark.parametrize(
    ('learns', 'tokens', 'refused'),
    [(True, 100_000, True), (True, 99_999, False), (False, 100_000, False)],
)
async def test_a_request_larger_than_any_engine_is_refused_at_once(
    learns: bool, tokens: int, refused: bool
) -> None:
    local = scheduler_of(FakeClock(), 1)
    if learns:
        local.placement.learn_engines()
    one = wanted(tokens=tokens)
    choice = local.placement.choose(one)
    link = SimpleNamespace(now=local.now, scheduler='hub', place=None)

    async def place(_query: PlacementQuery) -> Choice | None:
        return choice

    link.place = place
    context = SimpleNamespace(
        placement_query=lambda _domain: one,
        decided_by='',
        call=SimpleNamespace(prompt=one.prompt),
        pool=SimpleNamespace(engine=Engine(8, 100_000)),
    )
    decision = await Chooser('a', local, link).choose(context)
    assert (decision is Refusal.too_large) is refused


def decisions(scheduler: Scheduler, *, measure: bool) -> list[tuple[str, float]]:
    """Return where some requests of several sizes go, and their expected waits."""
    chance = Random('alike')
    found = []
    for number in range(300):
        one = wanted(
            f'a{number % 7}', f's{number % 11}', chance.choice((300, 2000, 9000))
        )
        if not measure:
            one = replace(one, resumes=True)
        decision = scheduler.place(('box', number), one)
        if isinstance(decision, Choice):
            found.append((decision.upstream.name, round(decision.queue, 9)))
        else:
            found.append((decision.name, 0))
        if measure and number % 3:
            scheduler.start(('box', number))
        scheduler.end(('box', number - 25))
    return found


def test_without_the_setting_decisions_are_as_before() -> None:
    # Guards against new decisions in deployments whose settings do not call for them.
    plain, unused = (
        scheduler_of(FakeClock(), 4),
        scheduler_of(FakeClock(), 4, Mechanisms(engine_model=False)),
    )
    unused.placement.learn_engines()
    for scheduler in (plain, unused):
        offer(scheduler, 100_000)
        assert scheduler.placement.costs is None
    assert decisions(plain, measure=True) == decisions(unused, measure=True)


def test_engines_that_are_not_known_to_differ_get_what_they_got() -> None:
    # The model changes choices by what it learned, not by what it is.
    plain, learning = scheduler_of(FakeClock(), 4), scheduler_of(FakeClock(), 4)
    learning.placement.learn_engines()
    for scheduler in (plain, learning):
        offer(scheduler, 100_000)
    engines = [
        [name for name, _ in decisions(scheduler, measure=False)]
        for scheduler in (plain, learning)
    ]
    assert engines[0] == engines[1]


@pytest.mark.parametrize(
    ('text', 'learns'),
    [
        ('', False),
        ('learnEngines = false\n', False),
        ('learnEngines = true\n', True),
    ],
)
def test_the_settings_call_for_the_model(
    tmp_path: Path, text: str, learns: bool
) -> None:
    path = tmp_path / 'boot.toml'
    path.write_text(text + SETTINGS)
    settings = read_settings(path)
    assert settings.hub is not None
    assert settings.entry is not None
    assert settings.hub.learn_engines is learns
    assert settings.entry.learn_engines is learns


def test_times_of_no_use_are_passed_over() -> None:
    # Guards against the logarithm of a time that is not positive.
    model = EngineModel(FakeClock())
    model.measure(FIRST, POOL, (SHORT, 0), 0)
    assert not model.paces
    model.measure(FIRST, POOL, (0, 0), 1e-9)
    assert math.isfinite(model.paces[FIRST].per_token)
