"""The scheduler of one shard: who is served next, and where.

One router holds this duty at a time, under an epoch.  Its own count of held
slots is the truth; all state here is rebuilt from what the routers re-send.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from hitchdeck_core.ids import AccountName, RequestId, UpstreamName
from hitchdeck_core.resources import Urgency
from hitchdeck_router.scheduling.fairness import FairShare
from hitchdeck_router.scheduling.loads import Loads, UpstreamLoad
from hitchdeck_router.scheduling.placement import CacheRecord, choose_upstream
from hitchdeck_router.scheduling.queueing import AccountQueue, WaitingTicket

DEBT_CAP = 20_000.0
URGENT_CREDIT = 4_000.0
"""Weighted cost by which urgent work may go before other accounts' work."""

PATIENCE = 20.0
"""Seconds after which a waiting ticket may be served out of turn."""

_PATIENT_TURN = 8
"""At most one grant in this many goes out of turn."""

_FIRST_RETRY_AFTER = 0.5


@dataclass(slots=True)
class HeldSlot:
    """A granted slot; ``pending`` is the estimate not yet used up."""

    account: AccountName
    upstream: UpstreamName
    attendant: str
    pending: float
    spent: float = 0.0


@dataclass(frozen=True, slots=True)
class Placed:
    """A ticket that has got a slot."""

    ticket: WaitingTicket
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class QueueFull:
    """An account's queue has no room; ``retry_after`` is in seconds."""

    retry_after: float


@dataclass(slots=True)
class ShardPolicy:
    """What the pool's definition says about scheduling."""

    queue_limit: int
    urgent_overcommit: int
    weight_of: Callable[[AccountName], float]


@dataclass(slots=True)
class Counters:
    """Sums since this life began; seconds for times."""

    granted: int = 0
    refused: int = 0
    idle_while_waiting: float = 0.0
    waiting: float = 0.0
    by_class: dict[Urgency, int] = field(
        default_factory=lambda: dict.fromkeys(Urgency, 0),
    )


class ShardScheduler:
    """State of one shard under one epoch."""

    def __init__(self, policy: ShardPolicy) -> None:
        self.policy = policy
        self.fair = FairShare(DEBT_CAP)
        self.queues: dict[AccountName, AccountQueue] = {}
        self.tickets: dict[RequestId, WaitingTicket] = {}
        self.held: dict[RequestId, HeldSlot] = {}
        self.loads: Loads = {}
        self.cache = CacheRecord()
        self.counters = Counters()
        self.since_patient = 0

    def set_upstreams(self, slots: dict[UpstreamName, int]) -> None:
        """Say which upstreams may get new work, and their slots."""
        for gone in set(self.loads) - set(slots):
            self.loads.pop(gone)
        for name, most in slots.items():
            load = self.loads.get(name)
            if load is None:
                held = {
                    request
                    for request, slot in self.held.items()
                    if slot.upstream == name
                }
                self.loads[name] = UpstreamLoad(most, float(most), held)
            elif load.slots != most:
                load.slots = most
                load.limit = float(most)

    def submit(self, ticket: WaitingTicket) -> QueueFull | None:
        """Queue a ticket, or say that its account has too many waiting.

        A ticket that is known already was re-sent after a broken link.
        """
        if ticket.id in self.tickets or ticket.id in self.held:
            return None
        queue = self.queues.setdefault(ticket.account, AccountQueue())
        if queue.length >= self.policy.queue_limit:
            self.counters.refused += 1
            return QueueFull(self._retry_after(queue))
        if not queue.length:
            weight = self.policy.weight_of(ticket.account)
            self.fair.enter(ticket.account, weight, self.backlogged())
        queue.push(ticket)
        self.tickets[ticket.id] = ticket
        return None

    def cancel(self, request: RequestId) -> None:
        """Forget a waiting ticket."""
        ticket = self.tickets.pop(request, None)
        if ticket is not None:
            self.queues[ticket.account].remove(ticket)

    def expired(self, now: float) -> list[WaitingTicket]:
        """Take out and return the tickets whose deadline has passed."""
        late = [one for one in self.tickets.values() if one.deadline <= now]
        for ticket in late:
            self.cancel(ticket.id)
        return late

    def adopt(self, request: RequestId, slot: HeldSlot) -> None:
        """Take over a slot that a router holds from an earlier epoch."""
        if request in self.held:
            self.held[request].attendant = slot.attendant
            return
        self.cancel(request)
        share = self.fair.share_of(slot.account)
        share.weight = self.policy.weight_of(slot.account)
        share.pending += slot.pending
        self._hold(request, slot)

    def report(self, request: RequestId, cost: float, gap: float, now: float) -> None:
        """Note cost so far and the time between tokens, both of one request.

        The cost itself is counted from the router's sums, which outlive
        both the request and this scheduler; here it only uses up the
        estimate.
        """
        slot = self.held.get(request)
        if slot is None:
            return
        self._spend(slot, cost)
        load = self.loads.get(slot.upstream)
        if load is not None:
            load.observe_gap(gap, now)

    def release(self, request: RequestId, *, failed: bool, now: float) -> None:
        """Free a slot."""
        slot = self.held.pop(request, None)
        if slot is None:
            return
        self.fair.settle_estimate(slot.account, slot.pending)
        load = self.loads.get(slot.upstream)
        if load is not None:
            load.held.discard(request)
            if failed:
                load.note_failure(now)
            else:
                load.note_success()
        if not failed and slot.spent:
            self.fair.learn(slot.account, slot.spent)

    def drop_attendant(self, attendant: str, now: float) -> None:
        """Free all that a router life held or waited for."""
        for request, ticket in list(self.tickets.items()):
            if ticket.attendant == attendant:
                self.cancel(request)
        for request, slot in list(self.held.items()):
            if slot.attendant == attendant:
                self.release(request, failed=False, now=now)

    def grants(self, now: float) -> Iterator[Placed]:
        """Grant slots while there are tickets and room for them."""
        while True:
            placed = self._next_grant(now)
            if placed is None:
                return
            yield placed

    def backlogged(self) -> list[AccountName]:
        """Return the accounts with waiting tickets."""
        return [name for name, queue in self.queues.items() if queue.length]

    def free_slots(self, now: float) -> int:
        """Return how many more requests the shard could run."""
        return sum(max(0, load.room(now)) for load in self.loads.values())

    def service_gap(self) -> float:
        """Return the widest gap in weighted service among the backlogged."""
        virtual = [self.fair.shares[one].virtual() for one in self.backlogged()]
        return max(virtual) - min(virtual) if virtual else 0.0

    def gap_bound(self) -> float:
        """Return the bound on that gap: twice what can be in flight, plus debt.

        See docs/design/fairness.md for the derivation.
        """
        slots = sum(load.slots for load in self.loads.values())
        shares = [self.fair.shares[one] for one in self.backlogged()]
        largest = max(
            ((one.mean_cost or 0.0) / one.weight for one in shares),
            default=0.0,
        )
        return 2 * slots * largest + URGENT_CREDIT

    def _next_grant(self, now: float) -> Placed | None:
        for ticket in self._candidates(now):
            upstream = self._place(ticket, now)
            if upstream is None:
                continue
            self._grant(ticket, upstream)
            return Placed(ticket, upstream)
        return None

    def _candidates(self, now: float) -> Iterable[WaitingTicket]:
        """Return each backlogged account's head, in the order of service."""
        heads = [
            head
            for name in self.backlogged()
            if (head := self.queues[name].head(now)) is not None
        ]
        heads.sort(key=lambda head: self._rank(head, now))
        patient = self._patient_ticket(now)
        return [patient, *heads] if patient else heads

    def _rank(self, head: WaitingTicket, now: float) -> float:
        virtual = self.fair.shares[head.account].virtual()
        if head.urgency_at(now) is Urgency.urgent:
            return virtual - URGENT_CREDIT
        return virtual

    def _patient_ticket(self, now: float) -> WaitingTicket | None:
        """Return a ticket that has waited too long, once every few grants.

        Fair shares alone do not keep a ticket from waiting: its account may
        be served all it is due by another shard.
        """
        if self.since_patient < _PATIENT_TURN:
            return None
        queue = min(
            (self.queues[name] for name in self.backlogged()),
            key=lambda one: one.longest_waiting(),
            default=None,
        )
        if queue is None or now - queue.longest_waiting() < PATIENCE:
            return None
        return queue.head(now)

    def _place(self, ticket: WaitingTicket, now: float) -> UpstreamName | None:
        extra = 0
        if ticket.urgency_at(now) is Urgency.urgent:
            extra = self.policy.urgent_overcommit
        rooms = {
            name: load.room(now)
            for name, load in self.loads.items()
            if name not in ticket.avoid
        }
        preferred = self.cache.holder(ticket.prefix, ticket.session)
        chosen = choose_upstream(rooms, preferred)
        if chosen is None and extra:
            rooms = {name: self.loads[name].room(now, extra) for name in rooms}
            chosen = choose_upstream(rooms, preferred)
        return chosen

    def _grant(self, ticket: WaitingTicket, upstream: UpstreamName) -> None:
        self.cancel(ticket.id)
        estimate = self.fair.estimate(ticket.account, ticket.hint)
        self.fair.charge(ticket.account, estimate)
        slot = HeldSlot(ticket.account, upstream, ticket.attendant, estimate)
        self._hold(ticket.id, slot)
        self.cache.note(upstream, ticket.prefix, ticket.session)
        self.since_patient += 1
        if self.since_patient > _PATIENT_TURN:
            self.since_patient = 0
        self.counters.granted += 1
        self.counters.by_class[ticket.urgency] += 1

    def _hold(self, request: RequestId, slot: HeldSlot) -> None:
        self.held[request] = slot
        load = self.loads.get(slot.upstream)
        if load is not None:
            load.held.add(request)

    def _spend(self, slot: HeldSlot, cost: float) -> None:
        grown = max(0.0, cost - slot.spent)
        used = min(slot.pending, grown)
        self.fair.settle_estimate(slot.account, used)
        slot.pending -= used
        slot.spent += grown

    def _retry_after(self, queue: AccountQueue) -> float:
        running = max(1, len(self.held))
        return max(_FIRST_RETRY_AFTER, queue.length / running)
