"""The scheduler of a shard: order of service, slots, recovered state."""

from dataclasses import dataclass, field

import pytest

from hitchdeck_core.ids import AccountName, Incarnation, TicketId, UpstreamName
from hitchdeck_core.resources import Urgency
from hitchdeck_core.wire.hitchdeck_pb2 import Ticket
from hitchdeck_router.scheduling.client_state import Slot
from hitchdeck_router.scheduling.loads import UpstreamLoad
from hitchdeck_router.scheduling.policy import URGENT_CREDIT, ShardPolicy
from hitchdeck_router.scheduling.queueing import WaitingTicket
from hitchdeck_router.scheduling.shard import (
    STARVATION_SECONDS,
    HeldSlot,
    QueueFull,
    ShardScheduler,
)

INCARNATION = Incarnation('life')
COST = 100.0


@dataclass
class SchedulerHarness:
    """A scheduler with one engine, and methods that run requests through it."""

    slots: int = 4
    overcommit: int = 0
    queue_limit: int = 1000
    weights: dict[str, float] = field(default_factory=dict)
    numbers: int = 0
    now: float = 0.0

    def __post_init__(self) -> None:
        policy = ShardPolicy(
            self.queue_limit,
            self.overcommit,
            lambda account: self.weights.get(account, 1.0),
        )
        self.scheduler = ShardScheduler(policy)
        self.scheduler.set_upstreams({UpstreamName('u'): self.slots}, 0)
        self.served: dict[str, float] = {}

    def submit(
        self,
        account: str,
        urgency: Urgency = Urgency.normal,
        deadline: float = float('inf'),
        hint: float = COST,
    ) -> QueueFull | None:
        """Submit a ticket."""
        self.numbers += 1
        return self.scheduler.submit(
            WaitingTicket(
                key=(INCARNATION, TicketId(self.numbers)),
                account=AccountName(account),
                urgency=urgency,
                deadline=deadline,
                hint=hint,
                since=self.now,
            ),
        )

    def grant(self) -> list[str]:
        """Grant as many tickets as possible; return their accounts."""
        return [one.ticket.account for one in self.scheduler.grants(self.now)]

    def finish_all(self, cost: float = COST) -> None:
        """Finish all running requests."""
        for key, slot in list(self.scheduler.held.items()):
            self.served[slot.account] = self.served.get(slot.account, 0) + cost
            self.scheduler.report(key, cost, 0, self.now)
            self.scheduler.release(key, failed=False, now=self.now)

    def keep_backlogged(self, *accounts: str) -> None:
        """Submit tickets so that each account has some pending."""
        for account in accounts:
            queue = self.scheduler.queues.get(AccountName(account))
            while queue is None or queue.length < 10:
                self.submit(account)
                queue = self.scheduler.queues[AccountName(account)]


def test_slots_are_never_overcommitted() -> None:
    harness = SchedulerHarness(slots=3)
    harness.keep_backlogged('a')
    assert len(harness.grant()) == 3
    assert not harness.grant()


@pytest.mark.parametrize(
    ('weights', 'share'),
    [({}, 1.0), ({'a': 2.0}, 2.0), ({'a': 1.0, 'b': 4.0}, 0.25)],
)
def test_service_follows_the_weights(weights: dict[str, float], share: float) -> None:
    harness = SchedulerHarness(weights=weights)
    for _ in range(300):
        harness.keep_backlogged('a', 'b')
        harness.grant()
        harness.finish_all()
    gap = abs(harness.served['a'] - share * harness.served['b'])
    assert gap <= harness.scheduler.gap_bound() * max(1, share)
    assert gap <= 8 * COST


def test_wrong_cost_hints_gain_nothing() -> None:
    harness = SchedulerHarness()
    for _ in range(300):
        for _ in range(5):
            harness.submit('liar', hint=1)
            harness.submit('honest', hint=COST)
        harness.grant()
        harness.finish_all()
    assert abs(harness.served['liar'] - harness.served['honest']) <= 8 * COST


def test_idle_time_earns_no_credit() -> None:
    harness = SchedulerHarness()
    for _ in range(200):
        harness.keep_backlogged('busy')
        harness.grant()
        harness.finish_all()
    harness.served.clear()
    for _ in range(100):
        harness.keep_backlogged('busy', 'late')
        harness.grant()
        harness.finish_all()
    assert abs(harness.served['busy'] - harness.served['late']) <= 8 * COST


def test_debt_from_elsewhere_is_capped() -> None:
    harness = SchedulerHarness()
    harness.scheduler.fair.activate(AccountName('debtor'), 1, [])
    harness.scheduler.fair.add_service(AccountName('debtor'), 1e9)
    served = []
    for _ in range(200):
        harness.keep_backlogged('other', 'debtor')
        served += harness.grant()
        harness.finish_all()
    assert 'debtor' in served


def test_nobody_waits_for_ever_whatever_its_debt() -> None:
    harness = SchedulerHarness()
    served = []
    for _ in range(100):
        harness.keep_backlogged('other', 'debtor')
        harness.scheduler.fair.add_service(AccountName('debtor'), 1e6)
        served += harness.grant()
        harness.finish_all()
        harness.now += STARVATION_SECONDS / 4
    assert 'debtor' in served


def test_urgent_goes_first_within_its_credit_only() -> None:
    harness = SchedulerHarness(slots=1)
    harness.submit('a')
    harness.submit('b', Urgency.urgent)
    assert harness.grant() == ['b']
    harness.finish_all()
    harness.scheduler.fair.add_service(AccountName('b'), 2 * URGENT_CREDIT)
    harness.submit('b', Urgency.urgent)
    assert harness.grant() == ['a']


def test_urgent_may_exceed_slots_by_the_overcommit() -> None:
    harness = SchedulerHarness(slots=2, overcommit=1)
    harness.keep_backlogged('a')
    assert len(harness.grant()) == 2
    harness.submit('b', Urgency.urgent)
    harness.submit('b', Urgency.urgent)
    assert harness.grant() == ['b']


def test_draft_becomes_urgent_as_its_deadline_nears() -> None:
    harness = SchedulerHarness(slots=1)
    harness.submit('a', Urgency.deferrable, deadline=100)
    harness.submit('a', Urgency.normal)
    harness.now = 80
    head = harness.scheduler.queues[AccountName('a')].head(harness.now)
    assert head is not None
    assert head.deadline == 100


def test_late_tickets_are_removed() -> None:
    harness = SchedulerHarness()
    harness.submit('a', deadline=5)
    harness.submit('a')
    assert len(harness.scheduler.pop_expired(5)) == 1
    assert len(harness.scheduler.tickets) == 1


def test_full_queue_reports_when_to_retry() -> None:
    harness = SchedulerHarness(queue_limit=2)
    answers = [harness.submit('a') for _ in range(3)]
    assert answers[:2] == [None, None]
    assert isinstance(answers[2], QueueFull)
    assert answers[2].retry_after > 0
    assert harness.submit('b') is None


def test_adopted_slots_count_and_are_charged_once() -> None:
    harness = SchedulerHarness(slots=1)
    key = (INCARNATION, TicketId(7))
    slot = HeldSlot(AccountName('a'), UpstreamName('u'), pending=40, spent=60)
    harness.scheduler.adopt(key, slot, 0)
    harness.scheduler.adopt(key, slot, 0)
    harness.submit('b')
    assert not harness.grant()
    assert harness.scheduler.report(key, 100, 0, 0) == 40
    harness.scheduler.release(key, failed=False, now=0)
    assert harness.scheduler.fair.share_of(AccountName('a')).service == 40
    assert harness.grant() == ['b']


def test_slots_of_a_lost_router_are_released() -> None:
    harness = SchedulerHarness(slots=2)
    harness.keep_backlogged('a')
    harness.grant()
    harness.scheduler.drop_router(INCARNATION, 0)
    assert not harness.scheduler.tickets
    assert harness.scheduler.capacity.free_slots() == 2


def test_failing_upstream_gets_a_backoff_then_one_trial() -> None:
    load = UpstreamLoad(8, 8.0)
    load.record_failure(0)
    assert load.free_slots(0.1) == 0
    assert load.free_slots(1.0) == 1
    load.record_success()
    assert load.free_slots(1.0) == 8


def test_limit_follows_token_gaps() -> None:
    load = UpstreamLoad(8, 8.0)
    for second in range(10):
        load.observe_gap(0.2, second + 1)
    assert load.limit < 4
    for second in range(30):
        load.observe_gap(0.02, second + 20)
    assert load.limit == 8


def test_draining_upstream_gets_no_work_and_keeps_running_requests() -> None:
    harness = SchedulerHarness(slots=2)
    harness.submit('a')
    harness.grant()
    harness.scheduler.set_upstreams({}, 0)
    harness.submit('a')
    assert not harness.grant()
    assert len(harness.scheduler.held) == 1
    harness.finish_all()
    harness.scheduler.set_upstreams({UpstreamName('u'): 2}, 0)
    assert harness.grant() == ['a']


def test_ticket_that_avoids_every_upstream_still_gets_one() -> None:
    """Guards against a ticket, and its caller, that wait forever."""
    harness = SchedulerHarness()
    harness.submit('a')
    ticket = next(iter(harness.scheduler.tickets.values()))
    ticket.avoid = frozenset(harness.scheduler.capacity.loads)
    assert harness.grant() == ['a']


class NullSlotOwner:
    """A slot owner that ignores releases and progress reports."""

    def release(self, slot: Slot, *, failed: bool = False) -> None:
        """Do nothing."""

    def report_progress(self, slot: Slot) -> None:
        """Do nothing."""


def test_one_late_token_does_not_lower_a_limit() -> None:
    """Guards against reporting the largest gap between tokens.

    With it, a box at high utilization lost a tenth of its slots.
    """
    slot = Slot(Ticket(), NullSlotOwner(), UpstreamName('u'))
    for gap in (0.05, 0.05, 0.05, 0.05, 0.12):
        slot.record_gap(gap)
    load = UpstreamLoad(8, 8.0)
    load.observe_gap(slot.pop_mean_gap(), now=5)
    assert load.limit == 8
    assert slot.pop_mean_gap() == 0
