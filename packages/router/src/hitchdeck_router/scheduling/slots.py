"""Getting a slot in a pool: which shard to ask, and when to ask another."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import Incarnation, PoolName, RequestId, ShardId, shard_id
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.wire.hitchdeck_pb2 import Ticket, UsageSum
from hitchdeck_router.errors import NotRunError
from hitchdeck_router.fleet.link import Fleet
from hitchdeck_router.scheduling.client import PendingTicket, ShardClient, Slot

_ATTENDED_SHARDS = 4
"""How many shards of a pool one router deals with: enough choice to find a
free slot, few enough that connections grow with routers, not with their
product with shards."""

_MOVE_PERIOD = 0.1
_UNAVAILABLE = 503
_NO_SCHEDULER_PATIENCE = 5.0
_RETRY_AFTER = 1.0


@dataclass(slots=True)
class HeldGrant:
    """A slot with the client that gives it back."""

    client: ShardClient
    slot: Slot

    def release(self, *, failed: bool = False) -> None:
        """Give the slot back; more than once does no harm."""
        self.client.release(self.slot, failed=failed)

    def spend(self, cost: float) -> None:
        """Note the cost so far."""
        self.client.spend(self.slot, cost)

    def note_gap(self, seconds: float) -> None:
        """Note a time between tokens."""
        self.slot.worst_gap = max(self.slot.worst_gap, seconds)


class SlotFinder:
    """All shard clients of a router."""

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
        self.told: dict[tuple[ShardId, str], float] = {}

    async def acquire(self, pool: PoolName, ticket: Ticket) -> HeldGrant:
        """Wait for a slot in a pool.

        Cancelling the wait withdraws the ticket.

        Raises
        ------
        NotRunError
            The queue is full, the deadline has passed, or no scheduler of
            the pool can be reached.
        """
        request = RequestId(ticket.id)
        client = self._best_client(pool, ticket)
        pending = client.submit(ticket)
        try:
            while not pending.granted.done():
                await asyncio.wait([pending.granted], timeout=_MOVE_PERIOD)
                if pending.granted.done():
                    break
                self._check_reachable(pool, pending)
                better = self._idle_client(pool, client)
                if better is not None:
                    client, pending = _move(client, better, pending)
            await pending.granted
        except BaseException:
            # Also on cancellation, when the grant may just have arrived.
            client.withdraw(request)
            if request in client.held:
                client.release(client.held[request])
            raise
        return HeldGrant(client, client.held[request])

    def usage_to_tell(self) -> list[UsageSum]:
        """Return the sums that have grown since they were last told."""
        grown = []
        for shard, client in self.clients.items():
            for account, cost in client.sums.items():
                if self.told.get((shard, account), 0.0) < cost:
                    self.told[shard, account] = cost
                    grown.append(UsageSum(shard=shard, account=account, cost=cost))
        return grown

    def forget_told(self) -> None:
        """Tell everything again: a new leader knows none of it."""
        self.told.clear()

    def _best_client(self, pool: PoolName, ticket: Ticket) -> ShardClient:
        clients = list(self._clients_of(pool))
        assert clients, 'a pool has at least one shard'
        if ticket.session:
            # Sessions keep to one shard, so that its cache record knows them.
            shards = {client.shard: client for client in clients}
            return shards[ShardId(ranked(ticket.session, shards)[0])]
        return min(
            clients,
            key=lambda one: (not one.connected, not one.idle, len(one.waiting)),
        )

    def _idle_client(self, pool: PoolName, present: ShardClient) -> ShardClient | None:
        """Return another shard's client if work could start there at once."""
        if present.connected and not present.busy:
            return None
        return next(
            (
                client
                for client in self._clients_of(pool)
                if client is not present and client.idle
            ),
            None,
        )

    def _clients_of(self, pool: PoolName) -> Iterator[ShardClient]:
        definition = self.fleet.view.pools.get(pool)
        count = definition.shards if definition else 1
        shards = [shard_id(pool, number) for number in range(count)]
        for shard in ranked(self.box, shards)[:_ATTENDED_SHARDS]:
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

    def _check_reachable(self, pool: PoolName, pending: PendingTicket) -> None:
        if any(client.connected for client in self._clients_of(pool)):
            return
        if self.fleet.now() - pending.since < _NO_SCHEDULER_PATIENCE:
            return
        raise NotRunError(
            _UNAVAILABLE,
            'no-scheduler',
            f'no scheduler of pool {pool} can be reached',
            _RETRY_AFTER,
        )


def _move(
    client: ShardClient,
    better: ShardClient,
    pending: PendingTicket,
) -> tuple[ShardClient, PendingTicket]:
    client.withdraw(RequestId(pending.ticket.id))
    better.idle = False
    since = pending.since
    moved = better.submit(pending.ticket)
    moved.since = since
    return better, moved
