"""Load shedding of a box that is short of processor time."""

import random

import pytest

from hitchdeck_edge.serving.overload import (
    REJECT_ALL_LAG_SECONDS,
    REJECT_LAG_SECONDS,
    REJECT_UTILIZATION,
    should_admit,
)

TRIES = 2000
MAX_OSCILLATION = 0.2


@pytest.mark.parametrize(
    ('busy', 'part'),
    [(0, 1), (0.5, 1), (REJECT_UTILIZATION, 1), (0.95, 0.5), (0.98, 0.2), (1, 0)],
)
def test_a_box_admits_less_as_its_utilization_rises(
    busy: float,
    part: float,
) -> None:
    random.seed(1)
    admitted = sum(should_admit(busy) for _ in range(TRIES))
    assert admitted / TRIES == pytest.approx(part, abs=0.04)


@pytest.mark.parametrize(
    ('lag', 'part'),
    [(0, 1), (REJECT_LAG_SECONDS, 1), (0.2, 0.5), (REJECT_ALL_LAG_SECONDS, 0), (1, 0)],
)
def test_a_box_admits_less_as_its_event_loop_lags(lag: float, part: float) -> None:
    # Guards against requests that wait in a box until their callers disconnect.
    random.seed(1)
    admitted = sum(should_admit(0.5, lag) for _ in range(TRIES))
    assert admitted / TRIES == pytest.approx(part, abs=0.04)


@pytest.mark.parametrize('offered', [0.5, 1.5, 3, 10])
def test_utilization_settles_below_one_under_overload(offered: float) -> None:
    """``offered`` is the offered load, as a multiple of the box's capacity."""
    random.seed(1)
    busy = 0.0
    levels = []
    for _ in range(400):
        admitted = sum(should_admit(busy) for _ in range(100)) / 100
        busy += 0.2 * (min(1, offered * admitted) - busy)
        levels.append(busy)
    settled = levels[200:]
    spread = max(settled) - min(settled)
    assert spread < MAX_OSCILLATION
    assert max(settled) < 1
    assert min(settled) > min(offered, REJECT_UTILIZATION) - 0.15
