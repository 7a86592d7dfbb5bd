"""Accounts get equal shares when engines process less than the document states.

Guards against a fair share level that is computed from the stated capacity alone.  When
engines process less, no account reaches that level, so none is held back, and the
account that asks most often gets most.  Two accounts asked for far more than their
share, one of them through a single box and less often: in the same six seconds it got
695 thousand tokens and the other 1,619 thousand.  Engines started 508 thousand tokens a
second, less than the document states.  In the log lines ``refused`` of the scheduler
neither was over its share: both were ``overloaded`` with a ``queue`` of 0.48 s, at a
median ``standing`` of 0.46 and 0.94.
"""

import pytest

from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.scheduling.shares import fair_share_level
from tests.common.scheduling import (
    FakeClock,
    account,
    arriving,
    offer,
    played,
    scheduler_of,
    wanted,
)

TOKENS_PER_SECOND = 20_000
SECONDS = 40
LARGE = {'often': 60, 'less': 30, 'least': 20}
MIXED = {'big': 60, 'small': 4, 'tiny': 1}


@pytest.mark.parametrize('asks', [LARGE, MIXED])
@pytest.mark.parametrize('stated', [1.0, 1.25, 2.0, 4.0])
def test_each_account_gets_its_fair_share_of_what_engines_process(
    asks: dict[str, int],
    stated: float,
) -> None:
    """``stated`` is the stated capacity as a multiple of the engine's prefill rate."""
    granted = played(asks, TOKENS_PER_SECOND, SECONDS, int(TOKENS_PER_SECOND * stated))
    asked = {name: 1000.0 * SECONDS * often for name, often in asks.items()}
    named = {account(name): amount for name, amount in asked.items()}
    level = fair_share_level(named, TOKENS_PER_SECOND * SECONDS)
    for name, amount in asked.items():
        assert granted[name] > 0.8 * min(level, amount)
    assert granted.total() > TOKENS_PER_SECOND * SECONDS * 0.95


def test_a_new_scheduler_does_not_count_earlier_grants_as_refused() -> None:
    # A new scheduler learns the demand on its predecessor but not the grants; the
    # difference must not count as refused.
    clock = FakeClock()
    scheduler = scheduler_of(clock, 4)
    offer(scheduler, 4 * TOKENS_PER_SECOND)
    for name, tokens in (('large', 160_000), ('small', 8000), ('tiny', 4000)):
        scheduler.shares.count_elsewhere(account(name), tokens)
    for number, name in enumerate(arriving({'large': 40, 'small': 2}, clock, 2)):
        key = ('box', number)
        assert isinstance(scheduler.place(key, wanted(name)), Choice)
        scheduler.start(key)
        scheduler.end(key)
        assert scheduler.shares.share_used(account(name)) <= 1
