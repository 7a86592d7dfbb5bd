"""Shards scheduled by this router: assignment, grants and expiry."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from hitchdeck_core import logs
from hitchdeck_core.channels import Outbox
from hitchdeck_core.errors import LinkError
from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import (
    AccountName,
    Incarnation,
    ShardId,
    TicketId,
    UpstreamName,
    pool_of,
)
from hitchdeck_core.resources import Pool, Upstream
from hitchdeck_core.wire.hitchdeck_pb2 import (
    Grant,
    Refusal,
    SchedulerFrame,
    ShardEntry,
    UsageSum,
)
from hitchdeck_router.fleet.link import Fleet
from hitchdeck_router.scheduling.policy import Rank, ShardPolicy, least_served
from hitchdeck_router.scheduling.shard import ShardScheduler

REBUILD_SECONDS = 0.5
"""Time for which a new scheduler rebuilds its state before it grants slots.  Routers
re-send their held slots after a directory update and a connection."""

SLOT_LEASE_SECONDS = 3.0
"""Time after a router's last frame for which its slots count as held."""

_MAINTENANCE_PERIOD_SECONDS = 0.1
_IDLE_PERIOD_SECONDS = 1.0
_ADVERTISE_PERIOD_SECONDS = 1.0

QUEUE_FULL = 'queue-full'
DEADLINE_PASSED = 'deadline-passed'


@dataclass(slots=True)
class RouterPeer:
    """A router incarnation that is connected to a shard.

    Attributes
    ----------
    heard_at
        Time of the last frame, in seconds on this box's clock.
    outbox
        Frames to send, ``None`` while there is no usable stream.
    sums
        Cost counted so far from the router's reports, by account.
    has_baseline
        Whether ``sums`` covers the router's history before its first frame.
    """

    incarnation: Incarnation
    heard_at: float
    outbox: Outbox[SchedulerFrame] | None = None
    sums: dict[AccountName, float] = field(default_factory=dict)
    has_baseline: bool = False


@dataclass(slots=True)
class HostedShard:
    """A shard that is assigned to this router, under one epoch.

    Attributes
    ----------
    grants_from
        Time at which the rebuild ends and granting starts.
    advertised
        Whether the shard has free slots, waiting tickets and upstreams, as
        routers were last notified.
    remote_usage
        Cost served in other shards by account, as summed by the leader of term
        ``remote_usage_term``.
    """

    shard: ShardId
    epoch: int
    grants_from: float
    scheduler: ShardScheduler
    peers: dict[Incarnation, RouterPeer] = field(default_factory=dict)
    advertised: tuple[bool, bool, bool] | None = None
    advertised_at: float = 0.0
    remote_usage: dict[AccountName, float] = field(default_factory=dict)
    remote_usage_term: int = 0
    measured_at: float = 0.0


class SchedulerHost:
    """All shards that are scheduled by one router."""

    def __init__(
        self,
        fleet: Fleet,
        incarnation: Incarnation,
        rank: Rank = least_served,
    ) -> None:
        self.fleet = fleet
        self.incarnation = incarnation
        self.rank = rank
        self.shards: dict[ShardId, HostedShard] = {}
        self.applied_version = -1

    async def maintain(self) -> None:
        """Apply updates, expire silent routers and grant slots; never returns."""
        while True:
            period = (
                _MAINTENANCE_PERIOD_SECONDS if self.shards else _IDLE_PERIOD_SECONDS
            )
            await self.fleet.directory.changed.wait(period)
            self.apply_directory()
            self.apply_configuration()
            for hosted in list(self.shards.values()):
                self._drop_silent_routers(hosted)
                self._refuse_expired(hosted)
                hosted.scheduler.capacity.refresh_all(self.fleet.now())
                self.grant_and_advertise(hosted)

    def apply_directory(self) -> None:
        """Start and stop shards according to the leader's assignment."""
        mine = {
            shard: entry
            for shard, entry in self.fleet.directory.shards.items()
            if entry.incarnation == self.incarnation
        }
        for shard, hosted in list(self.shards.items()):
            entry = mine.get(shard)
            if entry is None or entry.epoch != hosted.epoch:
                self._stop_shard(hosted)
        for shard, entry in mine.items():
            if shard not in self.shards and pool_of(shard) in self.fleet.view.pools:
                self._start_shard(shard, entry)

    def apply_configuration(self) -> None:
        """Apply the upstreams, slots and limits of a new configuration version."""
        if self.applied_version == self.fleet.view.version:
            return
        self.applied_version = self.fleet.view.version
        for hosted in list(self.shards.values()):
            pool = self.fleet.view.pools.get(pool_of(hosted.shard))
            if pool is None:
                self._stop_shard(hosted)
                continue
            hosted.scheduler.policy = self._policy(pool)
            slots = self._slots_of(hosted.shard, pool)
            hosted.scheduler.set_upstreams(slots, self.fleet.now())

    def grant_and_advertise(self, hosted: HostedShard) -> None:
        """Grant slots where possible and notify routers of the shard's state.

        Granting requires a live configuration lease: without it, this router
        may be partitioned and the shard assigned to another router.
        """
        now = self.fleet.now()
        if now >= hosted.grants_from and self.fleet.lease.is_live():
            for placed in hosted.scheduler.grants(now):
                peer = hosted.peers.get(placed.ticket.incarnation)
                grant = Grant(
                    id=placed.ticket.key[1],
                    upstream=placed.upstream,
                    moved_from=placed.moved_from,
                )
                self._send_frame(hosted, peer, SchedulerFrame(grants=[grant]))
        self._update_counters(hosted, now)
        self._advertise(hosted, now)

    def refuse(
        self,
        hosted: HostedShard,
        peer: RouterPeer | None,
        ticket: TicketId,
        reason: str,
        retry_after: float,
    ) -> None:
        """Notify a router that a ticket is refused."""
        refusal = Refusal(
            id=ticket,
            reason=reason,
            retry_after_ms=int(retry_after * 1000),
        )
        self._send_frame(hosted, peer, SchedulerFrame(refusals=[refusal]))

    def apply_remote_usage(self, sums: Iterable[UsageSum], term: int) -> None:
        """Add the service of other shards, from the leader's sums.

        The sums of a new leader lack reports that only the previous one
        received, so its first sum for each account is taken as the baseline.
        """
        for one in sums:
            hosted = self.shards.get(ShardId(one.shard))
            if hosted is None:
                continue
            if hosted.remote_usage_term != term:
                hosted.remote_usage_term = term
                hosted.remote_usage.clear()
            account = AccountName(one.account)
            known = hosted.remote_usage.get(account)
            hosted.remote_usage[account] = one.cost
            if known is not None and one.cost > known:
                hosted.scheduler.fair.add_service(account, one.cost - known)

    def reconcile_usage(
        self,
        hosted: HostedShard,
        peer: RouterPeer,
        sums: Iterable[UsageSum],
    ) -> None:
        """Reconcile a router's cost sums with the reports that arrived.

        The difference is the reports that were lost with a broken connection.
        On the first connection of a router to this scheduler incarnation, the
        sums include cost that earlier schedulers have counted; they are taken
        as the baseline.
        """
        for one in sums:
            account = AccountName(one.account)
            missed = one.cost - peer.sums.get(account, 0.0)
            if peer.has_baseline and missed > 0:
                hosted.scheduler.fair.add_service(account, missed)
            peer.sums[account] = float(one.cost)
        peer.has_baseline = True

    def _start_shard(self, shard: ShardId, entry: ShardEntry) -> None:
        pool = self.fleet.view.pools[pool_of(shard)]
        scheduler = ShardScheduler(self._policy(pool))
        now = self.fleet.now()
        scheduler.set_upstreams(self._slots_of(shard, pool), now)
        self.shards[shard] = HostedShard(
            shard=shard,
            epoch=int(entry.epoch),
            grants_from=now + REBUILD_SECONDS,
            scheduler=scheduler,
            measured_at=now,
        )
        logs.info('scheduler started', shard=shard, epoch=entry.epoch)

    def _stop_shard(self, hosted: HostedShard) -> None:
        self.shards.pop(hosted.shard)
        frame = SchedulerFrame(not_owner=True, epoch=hosted.epoch)
        for peer in hosted.peers.values():
            self._send_frame(hosted, peer, frame)
        logs.info('scheduler stopped', shard=hosted.shard, epoch=hosted.epoch)

    def _policy(self, pool: Pool) -> ShardPolicy:
        accounts = self.fleet.view.accounts

        def weight_of(account: AccountName) -> float:
            known = accounts.get(account)
            return known.weight if known else 1.0

        return ShardPolicy(
            pool.queue_limit,
            pool.urgent_overcommit,
            weight_of,
            self.rank,
        )

    def _slots_of(self, shard: ShardId, pool: Pool) -> dict[UpstreamName, int]:
        in_service = self.fleet.view.in_service(pool_of(shard))
        return {
            UpstreamName(one.name): one.slots
            for one in in_service
            if belongs_to(one, shard, pool)
        }

    def _drop_silent_routers(self, hosted: HostedShard) -> None:
        now = self.fleet.now()
        for incarnation, peer in list(hosted.peers.items()):
            if now - peer.heard_at > SLOT_LEASE_SECONDS:
                hosted.peers.pop(incarnation)
                hosted.scheduler.drop_router(incarnation, now)
                logs.warning(
                    'slots of a silent router expired',
                    shard=hosted.shard,
                    incarnation=incarnation,
                )

    def _refuse_expired(self, hosted: HostedShard) -> None:
        for ticket in hosted.scheduler.pop_expired(self.fleet.now()):
            peer = hosted.peers.get(ticket.incarnation)
            self.refuse(hosted, peer, ticket.key[1], DEADLINE_PASSED, 0)

    def _send_frame(
        self,
        hosted: HostedShard,
        peer: RouterPeer | None,
        frame: SchedulerFrame,
    ) -> None:
        if peer is None or peer.outbox is None:
            return
        try:
            peer.outbox.put(frame)
        except LinkError as error:
            peer.outbox = None
            logs.warning(
                'router does not keep up with the scheduler',
                shard=hosted.shard,
                reason=str(error),
            )

    def _update_counters(self, hosted: HostedShard, now: float) -> None:
        elapsed, hosted.measured_at = now - hosted.measured_at, now
        if not hosted.scheduler.tickets:
            return
        counters = hosted.scheduler.counters
        counters.waiting += elapsed
        if hosted.scheduler.capacity.free:
            counters.idle_while_waiting += elapsed

    def _advertise(self, hosted: HostedShard, now: float) -> None:
        """Notify routers when the shard becomes idle or busy.

        Only changes of state are sent, not of counts: a count would be stale
        on arrival, and routers only need to know where a request could start
        at once.  The state is repeated periodically as a heartbeat.
        """
        free = hosted.scheduler.capacity.free_slots()
        waiting = len(hosted.scheduler.tickets)
        serves = bool(hosted.scheduler.capacity.loads)
        state = (free > 0, waiting > 0, serves)
        overdue = now - hosted.advertised_at > _ADVERTISE_PERIOD_SECONDS
        if state == hosted.advertised and not overdue:
            return
        hosted.advertised = state
        hosted.advertised_at = now
        frame = SchedulerFrame(
            free_slots=free,
            waiting=waiting,
            serves=serves,
        )
        for peer in hosted.peers.values():
            self._send_frame(hosted, peer, frame)


def belongs_to(upstream: Upstream, shard: ShardId, pool: Pool) -> bool:
    """Return whether an upstream of the pool is hashed to a shard."""
    if pool.shards == 1:
        return True
    numbers = (str(number) for number in range(pool.shards))
    return ranked(upstream.name, numbers)[0] == shard.rpartition('/')[2]
