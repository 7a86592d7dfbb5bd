"""The scheduler of one shard: who is served next, and where.

One router holds this duty at a time, under an epoch.  Its own count of held
slots is the truth; all state here is rebuilt from what the routers re-send.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from hitchdeck_core.ids import AccountName, Incarnation, UpstreamName
from hitchdeck_core.resources import Urgency
from hitchdeck_router.scheduling.capacity import ShardCapacity
from hitchdeck_router.scheduling.fairness import FairShare
from hitchdeck_router.scheduling.placement import CacheIndex
from hitchdeck_router.scheduling.policy import URGENT_CREDIT, ShardPolicy
from hitchdeck_router.scheduling.queueing import (
    AccountQueue,
    TicketKey,
    WaitingTicket,
)

DEBT_CAP = 20_000.0
"""Weighted cost by which an account may stand above the least served."""

STARVATION_SECONDS = 20.0
"""Seconds after which a waiting ticket may be served out of turn."""

_GRANTS_PER_STARVED_TICKET = 8
"""At most one grant in this many goes out of turn."""

_MIN_RETRY_AFTER_SECONDS = 0.5


@dataclass(slots=True)
class HeldSlot:
    """A granted slot; ``pending`` is the estimate not yet used up."""

    account: AccountName
    upstream: UpstreamName
    pending: float
    spent: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacedTicket:
    """A ticket that has got a slot.

    ``moved_from`` is where its session ran last, if that is elsewhere.
    """

    ticket: WaitingTicket
    upstream: UpstreamName
    moved_from: str = ''


@dataclass(frozen=True, slots=True)
class QueueFull:
    """An account's queue has no room; ``retry_after`` is in seconds."""

    retry_after: float


@dataclass(slots=True)
class Counters:
    """Sums since this life began; seconds for times."""

    granted: int = 0
    refused: int = 0
    idle_while_waiting: float = 0.0
    waiting: float = 0.0


class ShardScheduler:
    """State of one shard under one epoch."""

    def __init__(self, policy: ShardPolicy) -> None:
        self.policy = policy
        self.fair = FairShare(DEBT_CAP)
        self.queues: dict[AccountName, AccountQueue] = {}
        self.tickets: dict[TicketKey, WaitingTicket] = {}
        self.held: dict[TicketKey, HeldSlot] = {}
        self.capacity = ShardCapacity()
        self.cache = CacheIndex()
        self.counters = Counters()
        self.grants_since_starved = 0

    def set_upstreams(self, slots: dict[UpstreamName, int], now: float) -> None:
        """Say which upstreams may get new work, and their slots."""
        held: dict[UpstreamName, set[TicketKey]] = defaultdict(set)
        for key, slot in self.held.items():
            held[slot.upstream].add(key)
        self.capacity.set_upstreams(slots, held, now)

    def submit(self, ticket: WaitingTicket) -> QueueFull | None:
        """Queue a ticket, or say that its account has too many waiting.

        A ticket that is known already was re-sent after a broken link.
        """
        if ticket.key in self.tickets or ticket.key in self.held:
            return None
        queue = self.queues.setdefault(ticket.account, AccountQueue())
        if queue.length >= self.policy.queue_limit:
            self.counters.refused += 1
            return QueueFull(self._retry_after(queue))
        if not queue.length:
            weight = self.policy.weight_of(ticket.account)
            self.fair.activate(ticket.account, weight, self.backlogged())
        queue.push(ticket)
        self.tickets[ticket.key] = ticket
        return None

    def cancel(self, key: TicketKey) -> None:
        """Forget a waiting ticket."""
        ticket = self.tickets.pop(key, None)
        if ticket is not None:
            self.queues[ticket.account].remove(ticket)

    def pop_expired(self, now: float) -> list[WaitingTicket]:
        """Take out and return the tickets whose deadline has passed."""
        late = [one for one in self.tickets.values() if one.deadline <= now]
        for ticket in late:
            self.cancel(ticket.key)
        return late

    def adopt(self, key: TicketKey, slot: HeldSlot, now: float) -> None:
        """Take over a slot that a router holds from an earlier epoch."""
        if key in self.held:
            return
        self.cancel(key)
        share = self.fair.share_of(slot.account)
        share.weight = self.policy.weight_of(slot.account)
        share.pending += slot.pending
        self._hold(key, slot, now)

    def report(self, key: TicketKey, cost: float, gap: float, now: float) -> float:
        """Note a request's cost so far and its time between tokens.

        Returns
        -------
        float
            By how much the cost has grown since the last report.
        """
        slot = self.held.get(key)
        if slot is None:
            return 0.0
        load = self.capacity.loads.get(slot.upstream)
        if load is not None:
            load.observe_gap(gap, now)
        increase = max(0.0, cost - slot.spent)
        used = min(slot.pending, increase)
        self.fair.settle_estimate(slot.account, used)
        self.fair.add_service(slot.account, increase)
        slot.pending -= used
        slot.spent += increase
        return increase

    def release(self, key: TicketKey, *, failed: bool, now: float) -> None:
        """Free a slot."""
        slot = self.held.pop(key, None)
        if slot is None:
            return
        self.fair.settle_estimate(slot.account, slot.pending)
        if not failed and slot.spent:
            self.fair.update_mean_cost(slot.account, slot.spent)
        load = self.capacity.loads.get(slot.upstream)
        if load is None:
            return
        load.held.discard(key)
        if failed:
            load.record_failure(now)
        else:
            load.record_success()
        self.capacity.refresh(slot.upstream, now)

    def drop_router(self, incarnation: Incarnation, now: float) -> None:
        """Free all that a router life held or waited for."""
        for waiting in _keys_of(self.tickets, incarnation):
            self.cancel(waiting)
        for key in _keys_of(self.held, incarnation):
            self.release(key, failed=False, now=now)

    def keep_only(
        self,
        incarnation: Incarnation,
        held: set[TicketKey],
        now: float,
    ) -> None:
        """Forget what a router life that connects anew does not re-send."""
        for waiting in _keys_of(self.tickets, incarnation):
            self.cancel(waiting)
        for key in _keys_of(self.held, incarnation):
            if key not in held:
                self.release(key, failed=False, now=now)

    def grants(self, now: float) -> Iterator[PlacedTicket]:
        """Grant slots while there are tickets and room for them."""
        while self.tickets:
            placed = self._next_grant(now)
            if placed is None:
                return
            yield placed

    def backlogged(self) -> list[AccountName]:
        """Return the accounts with waiting tickets."""
        return [name for name, queue in self.queues.items() if queue.length]

    def service_gap(self) -> float:
        """Return the widest gap in weighted service among the backlogged."""
        virtual_service = [
            self.fair.shares[one].virtual_service() for one in self.backlogged()
        ]
        return max(virtual_service) - min(virtual_service) if virtual_service else 0.0

    def gap_bound(self) -> float:
        """Return the bound on that gap: twice what can be in flight, plus credit.

        See docs/design/fairness.md for the derivation.
        """
        slots = sum(load.slots for load in self.capacity.loads.values())
        shares = [self.fair.shares[one] for one in self.backlogged()]
        largest = max(
            ((one.mean_cost or 0.0) / one.weight for one in shares),
            default=0.0,
        )
        return 2 * slots * largest + URGENT_CREDIT

    def _next_grant(self, now: float) -> PlacedTicket | None:
        if not self.capacity.free and not self._may_overcommit():
            return None
        for ticket in self._candidates(now):
            upstream = self._place(ticket, now)
            if upstream is not None:
                return self._grant(ticket, upstream, now)
        return None

    def _may_overcommit(self) -> bool:
        """Tell whether urgent work waits that may go beyond the slots."""
        return self.policy.urgent_overcommit > 0 and any(
            queue.heaps[Urgency.urgent] for queue in self.queues.values()
        )

    def _candidates(self, now: float) -> list[WaitingTicket]:
        """Return each backlogged account's head, in the order of service."""
        heads = [
            head
            for name in self.backlogged()
            if (head := self.queues[name].head(now)) is not None
        ]
        shares = self.fair.shares
        heads.sort(
            key=lambda head: self.policy.rank(shares[head.account], head, now),
        )
        starved = self._starved_ticket(now)
        return [starved, *heads] if starved else heads

    def _starved_ticket(self, now: float) -> WaitingTicket | None:
        """Return a ticket that has waited too long, once every few grants.

        Fair shares alone do not keep a ticket from waiting: its account may
        be served all it is due by another shard.
        """
        if self.grants_since_starved < _GRANTS_PER_STARVED_TICKET:
            return None
        queue = min(
            (self.queues[name] for name in self.backlogged()),
            key=lambda one: one.oldest_since(),
            default=None,
        )
        if queue is None or now - queue.oldest_since() < STARVATION_SECONDS:
            return None
        return queue.head(now)

    def _place(self, ticket: WaitingTicket, now: float) -> UpstreamName | None:
        preferred = self.cache.lookup(ticket.prefix, ticket.session)
        chosen = self.capacity.choose(preferred, ticket.avoid)
        extra = self.policy.urgent_overcommit
        if chosen is not None or not extra:
            return chosen
        if ticket.urgency_at(now) is not Urgency.urgent:
            return None
        return self.capacity.choose_overcommitted(preferred, ticket.avoid, extra, now)

    def _grant(
        self,
        ticket: WaitingTicket,
        upstream: UpstreamName,
        now: float,
    ) -> PlacedTicket:
        self.cancel(ticket.key)
        estimate = self.fair.estimate(ticket.account, ticket.hint)
        self.fair.charge_estimate(ticket.account, estimate)
        self._hold(ticket.key, HeldSlot(ticket.account, upstream, estimate), now)
        known = self.cache.sessions.get(ticket.session, upstream)
        self.cache.add(upstream, ticket.prefix, ticket.session)
        self.grants_since_starved += 1
        if self.grants_since_starved > _GRANTS_PER_STARVED_TICKET:
            self.grants_since_starved = 0
        self.counters.granted += 1
        return PlacedTicket(ticket, upstream, known if known != upstream else '')

    def _hold(self, key: TicketKey, slot: HeldSlot, now: float) -> None:
        self.held[key] = slot
        load = self.capacity.loads.get(slot.upstream)
        if load is not None:
            load.held.add(key)
            self.capacity.refresh(slot.upstream, now)

    def _retry_after(self, queue: AccountQueue) -> float:
        running = max(1, len(self.held))
        return max(_MIN_RETRY_AFTER_SECONDS, queue.length / running)


def _keys_of(
    keys: Iterable[TicketKey],
    incarnation: Incarnation,
) -> list[TicketKey]:
    return [key for key in keys if key[0] == incarnation]
