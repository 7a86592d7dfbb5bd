"""The scheduler against simple invariants under loss of routers and upstreams."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hitchdeck_core.ids import AccountName, Incarnation, TicketId, UpstreamName
from hitchdeck_core.resources import Urgency
from hitchdeck_router.scheduling.policy import ShardPolicy
from hitchdeck_router.scheduling.queueing import TicketKey, WaitingTicket
from hitchdeck_router.scheduling.shard import ShardScheduler

ACCOUNTS = st.sampled_from(['a', 'b', 'c'])
INCARNATIONS = st.sampled_from(['r1', 'r2'])
UPSTREAMS = ('u1', 'u2')
OVERCOMMIT = 1


class SchedulerMachine(RuleBasedStateMachine):
    """Tickets, grants, cost reports, releases, and loss of routers and upstreams."""

    def __init__(self) -> None:
        super().__init__()
        policy = ShardPolicy(20, OVERCOMMIT, lambda account: 1.0)
        self.scheduler = ShardScheduler(policy)
        self.slots = {UpstreamName(name): 2 for name in UPSTREAMS}
        self.scheduler.set_upstreams(self.slots, 0)
        self.now = 0.0
        self.numbers = 0
        self.waiting: set[TicketKey] = set()
        self.running: dict[TicketKey, tuple[str, float]] = {}
        self.spent: dict[str, float] = {}

    @rule(
        account=ACCOUNTS,
        incarnation=INCARNATIONS,
        urgency=st.sampled_from(Urgency),
        hint=st.floats(0, 1000),
    )
    def submit(
        self, account: str, incarnation: str, urgency: Urgency, hint: float
    ) -> None:
        """Submit a ticket for a slot."""
        self.numbers += 1
        key = (Incarnation(incarnation), TicketId(self.numbers))
        ticket = WaitingTicket(
            key=key,
            account=AccountName(account),
            urgency=urgency,
            deadline=float('inf'),
            hint=hint,
            since=self.now,
        )
        if self.scheduler.submit(ticket) is None:
            self.waiting.add(key)

    @rule(seconds=st.floats(0.01, 30))
    def grant(self, seconds: float) -> None:
        """Advance the clock and grant tickets."""
        self.now += seconds
        self.scheduler.capacity.refresh_all(self.now)
        for placed in self.scheduler.grants(self.now):
            key = placed.ticket.key
            assert key in self.waiting, 'granted twice or never submitted'
            assert placed.upstream in self.slots, 'granted a draining upstream'
            self.waiting.remove(key)
            self.running[key] = (placed.ticket.account, 0.0)

    @rule(place=st.integers(0, 5), cost=st.floats(0, 500))
    def report(self, place: int, cost: float) -> None:
        """Report the cost of a running request, which never decreases."""
        keys = sorted(self.running)
        if place >= len(keys):
            return
        account, before = self.running[keys[place]]
        self.scheduler.report(keys[place], cost, 0, self.now)
        grown = max(0.0, cost - before)
        self.spent[account] = self.spent.get(account, 0) + grown
        self.running[keys[place]] = (account, before + grown)

    @rule(place=st.integers(0, 5), failed=st.booleans())
    def release(self, place: int, failed: bool) -> None:
        """Release a slot twice."""
        keys = sorted(self.running)
        if place < len(keys):
            self.running.pop(keys[place])
            self.scheduler.release(keys[place], failed=failed, now=self.now)
            self.scheduler.release(keys[place], failed=failed, now=self.now)

    @rule(incarnation=INCARNATIONS)
    def lose_router(self, incarnation: str) -> None:
        """Drop a router with its tickets and slots."""
        self.scheduler.drop_router(Incarnation(incarnation), self.now)
        self.waiting = {key for key in self.waiting if key[0] != incarnation}
        self.running = {
            key: one for key, one in self.running.items() if key[0] != incarnation
        }

    @rule(present=st.sets(st.sampled_from(UPSTREAMS)))
    def change_upstreams(self, present: set[str]) -> None:
        """Take upstreams out of service and back."""
        self.slots = {UpstreamName(name): 2 for name in present}
        self.scheduler.set_upstreams(self.slots, self.now)

    @invariant()
    def books_balance(self) -> None:
        """Pending tickets, running requests and charged costs agree with the model."""
        assert set(self.scheduler.tickets) == self.waiting
        assert set(self.scheduler.held) == set(self.running)
        for account, spent in self.spent.items():
            share = self.scheduler.fair.share_of(AccountName(account))
            assert abs(share.service - spent) < 1e-6 * max(1, spent)
            assert share.pending >= 0

    @invariant()
    def no_upstream_is_over_its_slots(self) -> None:
        """Only urgent requests may exceed the slots, by at most the overcommit."""
        for name, most in self.slots.items():
            load = self.scheduler.capacity.loads[name]
            assert len(load.held) <= most + OVERCOMMIT
            expected = {
                key
                for key, slot in self.scheduler.held.items()
                if slot.upstream == name
            }
            assert load.held == expected


TestScheduler = SchedulerMachine.TestCase
