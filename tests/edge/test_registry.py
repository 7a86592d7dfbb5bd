"""Upstream state that is kept and propagated, and when it expires."""

from dataclasses import replace

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.model.upstreams import Phase
from hitchdeck_edge.scheduling.open_work import OpenWorkTable
from hitchdeck_edge.scheduling.placement import Placement
from hitchdeck_edge.state.registry import GONE_RETENTION_SECONDS, Registry
from tests.common.scheduling import FakeClock, engine, prompt


@pytest.mark.parametrize('phase', [Phase.serving, Phase.gone])
def test_only_gone_upstreams_expire(phase: Phase) -> None:
    clock = FakeClock()
    registry = Registry(clock, Signal())
    placement = Placement(registry, OpenWorkTable(clock))
    registry.merge(engine('e0'), 'test')
    placement.prefix_cache.record_prompt(UpstreamName('e0'), prompt())
    placement.health.record_error(UpstreamName('e0'))
    registry.merge(replace(engine('e0'), sequence=2, phase=phase), 'test')
    placement.forget_gone()
    known = phase is Phase.serving
    assert bool(placement.prefix_cache.engines) is known
    assert bool(placement.health.records) is known
    assert registry.records
    clock.seconds += GONE_RETENTION_SECONDS + 1
    placement.forget_gone()
    assert bool(registry.records) is known
    assert bool(registry.holders) is known


@pytest.mark.parametrize('change', [{'domain': 'b'}, {'slots': 3}, {'cleared_by': 9}])
def test_every_change_in_a_report_is_propagated(change: dict[str, object]) -> None:
    # Guards against withholding a report in which only the domain or slots changed.
    registry = Registry(FakeClock(), Signal())
    registry.merge(engine('e0'), 'test')
    seen = registry.changes
    assert registry.merge(replace(engine('e0'), sequence=2, **change), 'test')
    assert [one.sequence for one in registry.since(seen)] == [2]
    assert not registry.merge(replace(engine('e0'), sequence=3, **change), 'test')


def test_learned_state_expires_with_the_upstream_record() -> None:
    # Guards against keeping state of an upstream that never reports again.
    clock = FakeClock()
    registry = Registry(clock, Signal())
    placement = Placement(registry, OpenWorkTable(clock))
    registry.merge(engine('e0'), 'test')
    placement.prefix_cache.record_prompt(UpstreamName('e0'), prompt())
    registry.mark_unresponsive(0.0)
    clock.seconds += 1
    registry.mark_unresponsive(0.5)
    clock.seconds += GONE_RETENTION_SECONDS + 1
    placement.forget_gone()
    assert not registry.records
    assert not placement.prefix_cache.engines


@pytest.mark.parametrize('phase', [Phase.leaving, Phase.gone])
def test_an_upstream_that_left_meanwhile_takes_no_request_placed_before(
    phase: Phase,
) -> None:
    # Guards against requests that waited for a connection while their upstream left.
    registry = Registry(FakeClock(), Signal())
    placed = engine('e0')
    registry.merge(placed, 'test')
    assert registry.takes_work(placed)
    registry.merge(replace(placed, sequence=2, phase=phase), 'test')
    assert not registry.takes_work(placed)
