"""Ejection of an upstream that keeps failing."""

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.scheduling.health import MAX_EJECTION_SECONDS, Health
from tests.common.scheduling import FakeClock

NAME = UpstreamName('e0')


@pytest.mark.parametrize(
    ('failures', 'ejected'),
    [(1, 0.5), (2, 1.0), (3, 2.0), (4, 4.0), (20, 4.0), (3000, 4.0)],
)
def test_an_ejection_lasts_longer_with_each_failure_up_to_a_bound(
    failures: int,
    ejected: float,
) -> None:
    clock = FakeClock()
    health = Health(clock)
    for _ in range(failures):
        health.record_failure(NAME, 'test')
    assert ejected <= MAX_EJECTION_SECONDS
    clock.seconds += ejected - 0.001
    assert health.is_ejected(NAME)
    clock.seconds += 0.002
    assert not health.is_ejected(NAME)
