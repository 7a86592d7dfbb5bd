"""Scheduler of one shard: chooses the next ticket and its upstream.

A shard is assigned to one router at a time, under an epoch.  The scheduler's
own count of held slots is authoritative; all state is rebuilt from what
routers re-send when they connect.
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
"""Weighted cost by which an account's counter may exceed the least served one."""

STARVATION_SECONDS = 20.0
"""Waiting time after which a ticket may be served out of turn."""

_GRANTS_PER_STARVED_TICKET = 8
"""At most one in this many grants goes out of turn."""

_MIN_RETRY_AFTER_SECONDS = 0.5


@dataclass(slots=True)
class HeldSlot:
    """A granted slot; ``pending`` is the estimated cost not yet reported."""

    account: AccountName
    upstream: UpstreamName
    pending: float
    spent: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacedTicket:
    """A ticket that was granted a slot.

    ``moved_from`` is the upstream on which its session ran last, if that is
    another one.
    """

    ticket: WaitingTicket
    upstream: UpstreamName
    moved_from: str = ''


@dataclass(frozen=True, slots=True)
class QueueFull:
    """An account's queue is full; ``retry_after`` is in seconds."""

    retry_after: float


@dataclass(slots=True)
class Counters:
    """Counters since this scheduler started; times in seconds."""

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
        """Set the upstreams that accept new requests, with their slots."""
        held: dict[UpstreamName, set[TicketKey]] = defaultdict(set)
        for key, slot in self.held.items():
            held[slot.upstream].add(key)
        self.capacity.set_upstreams(slots, held, now)

    def submit(self, ticket: WaitingTicket) -> QueueFull | None:
        """Queue a ticket, or return ``QueueFull``.

        A ticket that is already known was re-sent after a broken connection.
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
        """Remove a waiting ticket."""
        ticket = self.tickets.pop(key, None)
        if ticket is not None:
            self.queues[ticket.account].remove(ticket)

    def pop_expired(self, now: float) -> list[WaitingTicket]:
        """Remove and return the tickets whose deadline has passed."""
        late = [one for one in self.tickets.values() if one.deadline <= now]
        for ticket in late:
            self.cancel(ticket.key)
        return late

    def adopt(self, key: TicketKey, slot: HeldSlot, now: float) -> None:
        """Take over a slot that was granted in an earlier epoch."""
        if key in self.held:
            return
        self.cancel(key)
        share = self.fair.share_of(slot.account)
        share.weight = self.policy.weight_of(slot.account)
        share.pending += slot.pending
        self._hold(key, slot, now)

    def report(self, key: TicketKey, cost: float, gap: float, now: float) -> float:
        """Record the cost of a request so far and its time between tokens.

        Returns
        -------
        float
            Increase of the cost since the last report.
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
        """Release a slot; ``failed`` penalizes its upstream."""
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
        """Cancel all tickets and release all slots of a router incarnation."""
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
        """Drop the state of a reconnected router that it did not re-send."""
        for waiting in _keys_of(self.tickets, incarnation):
            self.cancel(waiting)
        for key in _keys_of(self.held, incarnation):
            if key not in held:
                self.release(key, failed=False, now=now)

    def grants(self, now: float) -> Iterator[PlacedTicket]:
        """Grant slots while there are tickets and free slots for them."""
        while self.tickets:
            placed = self._next_grant(now)
            if placed is None:
                return
            yield placed

    def backlogged(self) -> list[AccountName]:
        """Return the accounts with waiting tickets."""
        return [name for name, queue in self.queues.items() if queue.length]

    def service_gap(self) -> float:
        """Return the largest gap in weighted service between backlogged accounts."""
        virtual_service = [
            self.fair.shares[one].virtual_service() for one in self.backlogged()
        ]
        return max(virtual_service) - min(virtual_service) if virtual_service else 0.0

    def gap_bound(self) -> float:
        """Return the bound on that gap: twice the cost in flight, plus the credit.

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
        """Return whether an urgent ticket waits that may exceed the slots."""
        return self.policy.urgent_overcommit > 0 and any(
            queue.heaps[Urgency.urgent] for queue in self.queues.values()
        )

    def _candidates(self, now: float) -> list[WaitingTicket]:
        """Return the next ticket of each backlogged account, in order of rank."""
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

        Fair shares alone do not prevent starvation: another shard may serve
        the whole share of the account.
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
