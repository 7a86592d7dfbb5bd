"""Acquires slots in a pool: chooses a shard, and moves tickets between shards."""

import asyncio
from collections.abc import Iterator

from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import (
    Incarnation,
    PoolName,
    ShardId,
    TicketId,
    pool_of,
    shard_id,
)
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.wire.hitchdeck_pb2 import Ticket, UsageSum
from hitchdeck_router.errors import NotRunError
from hitchdeck_router.fleet.link import Fleet
from hitchdeck_router.scheduling.client import ShardClient
from hitchdeck_router.scheduling.client_state import PendingTicket, Slot

_SHARDS_PER_ROUTER = 4
"""Maximum number of shards of a pool to which a router connects: enough to find a
free slot, and few enough that the number of connections grows with the routers and
not with the product of routers and shards."""

_REBALANCE_PERIOD_SECONDS = 0.1
_IDLE_PERIOD_SECONDS = 1.0
_UNAVAILABLE = 503
_NO_SCHEDULER_TIMEOUT_SECONDS = 10.0
"""Time without a reachable scheduler after which tickets are refused.  A frozen
scheduler is replaced once its lease of 3 s has expired, so that a shorter timeout
would refuse tickets that are about to be served."""
_RETRY_AFTER_SECONDS = 1.0


class SlotFinder:
    """Acquires slots through the shard clients of a router.

    Attributes
    ----------
    reported_sums
        Cost sums by shard and account, as last reported to the leader.
    """

    def __init__(
        self,
        fleet: Fleet,
        box: str,
        incarnation: Incarnation,
        fleet_token: str,
        supervisor: Supervisor,
    ) -> None:
        self.fleet = fleet
        self.box = box
        self.incarnation = incarnation
        self.fleet_token = fleet_token
        self.supervisor = supervisor
        self.clients: dict[ShardId, ShardClient] = {}
        self.reported_sums: dict[tuple[ShardId, str], int] = {}
        self.last_ticket = 0

    async def acquire(self, pool: PoolName, ticket: Ticket) -> Slot:
        """Wait for a slot in a pool.

        Cancelling this call cancels the ticket.

        Raises
        ------
        NotRunError
            The queue is full, the deadline has passed, or no scheduler of
            the pool can be reached.
        """
        self.last_ticket += 1
        ticket.id = self.last_ticket
        pending = PendingTicket(
            ticket,
            asyncio.get_running_loop().create_future(),
            self.fleet.now(),
        )
        self._best_client(pool, ticket).submit(pending)
        try:
            return await pending.granted
        except BaseException:
            self._cancel(pending)
            raise

    async def rebalance(self) -> None:
        """Move waiting tickets to idle shards; never returns."""
        while True:
            several = len(self.clients) > 1
            await asyncio.sleep(
                _REBALANCE_PERIOD_SECONDS if several else _IDLE_PERIOD_SECONDS
            )
            for client in list(self.clients.values()):
                if client.waiting:
                    self._move_waiting(client)

    def unreported_usage(self) -> list[UsageSum]:
        """Return the cost sums that have grown since the last report."""
        unreported = []
        for shard, client in self.clients.items():
            for account, cost in client.sums.items():
                if self.reported_sums.get((shard, account), 0) < cost:
                    self.reported_sums[shard, account] = cost
                    unreported.append(UsageSum(shard=shard, account=account, cost=cost))
        return unreported

    def reset_reported_usage(self) -> None:
        """Report all sums again, as a new leader has none of them."""
        self.reported_sums.clear()

    def _best_client(self, pool: PoolName, ticket: Ticket) -> ShardClient:
        clients = list(self._clients_of(pool))
        assert clients, 'a pool has at least one shard'
        if ticket.session:
            # A session stays on one shard, whose cache index contains it.
            shards = {client.shard: client for client in clients}
            return shards[ShardId(ranked(ticket.session, shards)[0])]
        return min(
            clients,
            key=lambda one: (
                not one.connected,
                not one.serves,
                not one.idle,
                len(one.waiting),
            ),
        )

    def _cancel(self, pending: PendingTicket) -> None:
        """Cancel a ticket, and release the slot if it was granted meanwhile."""
        assert pending.client is not None
        number = TicketId(pending.ticket.id)
        pending.client.withdraw(number)
        slot = pending.client.held.get(number)
        if slot is not None:
            slot.release()

    def _move_waiting(self, client: ShardClient) -> None:
        """Move a waiting ticket from a busy or unreachable shard, if possible.

        One ticket per target shard, as its idle state may be stale.
        """
        pool = pool_of(client.shard)
        if not client.connected:
            self._refuse_unreachable(pool, client)
        if client.connected and client.serves and not client.busy:
            return
        for other in self._clients_of(pool):
            if other is not client and client.waiting and _is_better(client, other):
                pending = next(iter(client.waiting.values()))
                client.withdraw(TicketId(pending.ticket.id))
                other.idle = False
                other.submit(pending)

    def _clients_of(self, pool: PoolName) -> Iterator[ShardClient]:
        definition = self.fleet.view.pools.get(pool)
        count = definition.shards if definition else 1
        shards = [shard_id(pool, number) for number in range(count)]
        for shard in ranked(self.box, shards)[:_SHARDS_PER_ROUTER]:
            yield self._client(ShardId(shard))

    def _client(self, shard: ShardId) -> ShardClient:
        if shard not in self.clients:
            client = ShardClient(
                self.fleet,
                shard,
                self.incarnation,
                self.fleet_token,
            )
            self.clients[shard] = client
            self.supervisor.permanent(f'shard-{shard}', client.run)
        return self.clients[shard]

    def _refuse_unreachable(self, pool: PoolName, client: ShardClient) -> None:
        if any(one.connected for one in self._clients_of(pool)):
            return
        now = self.fleet.now()
        for number, pending in list(client.waiting.items()):
            if now - pending.since < _NO_SCHEDULER_TIMEOUT_SECONDS:
                continue
            client.withdraw(number)
            if not pending.granted.done():
                pending.granted.set_exception(_no_scheduler(pool))


def _is_better(client: ShardClient, other: ShardClient) -> bool:
    """Return whether a ticket should move to another shard.

    A shard without upstreams (all are leaving, or there are fewer upstreams
    than shards) never serves it, so any shard with upstreams is better.
    """
    if not client.serves:
        return other.connected and other.serves
    return other.idle


def _no_scheduler(pool: PoolName) -> NotRunError:
    return NotRunError(
        _UNAVAILABLE,
        'no-scheduler',
        f'no scheduler of pool {pool} can be reached',
        _RETRY_AFTER_SECONDS,
    )
