"""When a box turns requests away for lack of processor time."""

import random

import pytest

from hitchdeck_edge.serving.overload import (
    REJECT_ALL_LAG_SECONDS,
    REJECT_LAG_SECONDS,
    REJECT_UTILIZATION,
    should_admit,
)

TRIES = 2000
SWING = 0.2


@pytest.mark.parametrize(
    ('busy', 'part'),
    [(0, 1), (0.5, 1), (REJECT_UTILIZATION, 1), (0.95, 0.5), (0.98, 0.2), (1, 0)],
)
def test_a_box_takes_the_less_the_less_time_it_has_left(
    busy: float,
    part: float,
) -> None:
    random.seed(1)
    taken = sum(should_admit(busy) for _ in range(TRIES))
    assert taken / TRIES == pytest.approx(part, abs=0.04)


@pytest.mark.parametrize(
    ('lag', 'part'),
    [(0, 1), (REJECT_LAG_SECONDS, 1), (0.2, 0.5), (REJECT_ALL_LAG_SECONDS, 0), (1, 0)],
)
def test_a_box_whose_loop_is_behind_takes_less(lag: float, part: float) -> None:
    # Guards against requests that wait in a box until their callers leave.
    random.seed(1)
    taken = sum(should_admit(0.5, lag) for _ in range(TRIES))
    assert taken / TRIES == pytest.approx(part, abs=0.04)


@pytest.mark.parametrize('offered', [0.5, 1.5, 3, 10])
def test_under_a_flood_the_load_settles_short_of_all_time(offered: float) -> None:
    """``offered`` is what comes, as a part of what the box can serve."""
    random.seed(1)
    busy = 0.0
    levels = []
    for _ in range(400):
        taken = sum(should_admit(busy) for _ in range(100)) / 100
        busy += 0.2 * (min(1, offered * taken) - busy)
        levels.append(busy)
    settled = levels[200:]
    spread = max(settled) - min(settled)
    assert spread < SWING
    assert max(settled) < 1
    assert min(settled) > min(offered, REJECT_UTILIZATION) - 0.15
