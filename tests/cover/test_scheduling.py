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

LIFE = Incarnation('life')
COST = 100.0


@dataclass
class Bench:
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
                key=(LIFE, TicketId(self.numbers)),
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
    bench = Bench(slots=3)
    bench.keep_backlogged('a')
    assert len(bench.grant()) == 3
    assert not bench.grant()


@pytest.mark.parametrize(
    ('weights', 'share'),
    [({}, 1.0), ({'a': 2.0}, 2.0), ({'a': 1.0, 'b': 4.0}, 0.25)],
)
def test_service_follows_the_weights(weights: dict[str, float], share: float) -> None:
    bench = Bench(weights=weights)
    for _ in range(300):
        bench.keep_backlogged('a', 'b')
        bench.grant()
        bench.finish_all()
    gap = abs(bench.served['a'] - share * bench.served['b'])
    assert gap <= bench.scheduler.gap_bound() * max(1, share)
    assert gap <= 8 * COST


def test_wrong_cost_hints_gain_nothing() -> None:
    bench = Bench()
    for _ in range(300):
        for _ in range(5):
            bench.submit('liar', hint=1)
            bench.submit('honest', hint=COST)
        bench.grant()
        bench.finish_all()
    assert abs(bench.served['liar'] - bench.served['honest']) <= 8 * COST


def test_idle_time_earns_no_credit() -> None:
    bench = Bench()
    for _ in range(200):
        bench.keep_backlogged('busy')
        bench.grant()
        bench.finish_all()
    bench.served.clear()
    for _ in range(100):
        bench.keep_backlogged('busy', 'late')
        bench.grant()
        bench.finish_all()
    assert abs(bench.served['busy'] - bench.served['late']) <= 8 * COST


def test_debt_from_elsewhere_is_capped() -> None:
    bench = Bench()
    bench.scheduler.fair.activate(AccountName('debtor'), 1, [])
    bench.scheduler.fair.add_service(AccountName('debtor'), 1e9)
    served = []
    for _ in range(200):
        bench.keep_backlogged('other', 'debtor')
        served += bench.grant()
        bench.finish_all()
    assert 'debtor' in served


def test_nobody_waits_for_ever_whatever_its_debt() -> None:
    bench = Bench()
    served = []
    for _ in range(100):
        bench.keep_backlogged('other', 'debtor')
        bench.scheduler.fair.add_service(AccountName('debtor'), 1e6)
        served += bench.grant()
        bench.finish_all()
        bench.now += STARVATION_SECONDS / 4
    assert 'debtor' in served


def test_urgent_goes_first_within_its_credit_only() -> None:
    bench = Bench(slots=1)
    bench.submit('a')
    bench.submit('b', Urgency.urgent)
    assert bench.grant() == ['b']
    bench.finish_all()
    bench.scheduler.fair.add_service(AccountName('b'), 2 * URGENT_CREDIT)
    bench.submit('b', Urgency.urgent)
    assert bench.grant() == ['a']


def test_urgent_may_exceed_slots_by_the_overcommit() -> None:
    bench = Bench(slots=2, overcommit=1)
    bench.keep_backlogged('a')
    assert len(bench.grant()) == 2
    bench.submit('b', Urgency.urgent)
    bench.submit('b', Urgency.urgent)
    assert bench.grant() == ['b']


def test_draft_becomes_urgent_as_its_deadline_nears() -> None:
    bench = Bench(slots=1)
    bench.submit('a', Urgency.deferrable, deadline=100)
    bench.submit('a', Urgency.normal)
    bench.now = 80
    head = bench.scheduler.queues[AccountName('a')].head(bench.now)
    assert head is not None
    assert head.deadline == 100


def test_late_tickets_are_removed() -> None:
    bench = Bench()
    bench.submit('a', deadline=5)
    bench.submit('a')
    assert len(bench.scheduler.pop_expired(5)) == 1
    assert len(bench.scheduler.tickets) == 1


def test_full_queue_reports_when_to_retry() -> None:
    bench = Bench(queue_limit=2)
    answers = [bench.submit('a') for _ in range(3)]
    assert answers[:2] == [None, None]
    assert isinstance(answers[2], QueueFull)
    assert answers[2].retry_after > 0
    assert bench.submit('b') is None


def test_adopted_slots_count_and_are_charged_once() -> None:
    bench = Bench(slots=1)
    key = (LIFE, TicketId(7))
    slot = HeldSlot(AccountName('a'), UpstreamName('u'), pending=40, spent=60)
    bench.scheduler.adopt(key, slot, 0)
    bench.scheduler.adopt(key, slot, 0)
    bench.submit('b')
    assert not bench.grant()
    assert bench.scheduler.report(key, 100, 0, 0) == 40
    bench.scheduler.release(key, failed=False, now=0)
    assert bench.scheduler.fair.share_of(AccountName('a')).service == 40
    assert bench.grant() == ['b']


def test_slots_of_a_lost_router_are_released() -> None:
    bench = Bench(slots=2)
    bench.keep_backlogged('a')
    bench.grant()
    bench.scheduler.drop_router(LIFE, 0)
    assert not bench.scheduler.tickets
    assert bench.scheduler.capacity.free_slots() == 2


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
    bench = Bench(slots=2)
    bench.submit('a')
    bench.grant()
    bench.scheduler.set_upstreams({}, 0)
    bench.submit('a')
    assert not bench.grant()
    assert len(bench.scheduler.held) == 1
    bench.finish_all()
    bench.scheduler.set_upstreams({UpstreamName('u'): 2}, 0)
    assert bench.grant() == ['a']


def test_ticket_that_avoids_every_upstream_still_gets_one() -> None:
    """Guards against a ticket, and its caller, that wait forever."""
    bench = Bench()
    bench.submit('a')
    ticket = next(iter(bench.scheduler.tickets.values()))
    ticket.avoid = frozenset(bench.scheduler.capacity.loads)
    assert bench.grant() == ['a']


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
