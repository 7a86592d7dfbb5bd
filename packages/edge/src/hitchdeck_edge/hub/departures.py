"""Departures of upstreams, stored on several disks before they are acknowledged.

An upstream whose departure is acknowledged does not report it again, so the
acknowledgement must not depend on the hub that gives it.  The records of departures
merge to the same state in any order and therefore need no leader: they are stored on
the disks of ``disks_lost + 1`` hubs, of which one remains after any tolerated loss, and
after a loss of power of all machines.  The hubs that store them pass them on to boxes.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import field

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from hitchdeck_core import logs
from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import Address, UpstreamName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.wire.spread_grpc import DeparturesBase, DeparturesStub
from hitchdeck_core.wire.spread_pb2 import StoreReply, StoreRequest
from hitchdeck_edge.errors import UnavailableError
from hitchdeck_edge.hub.departure_journal import DepartureJournal
from hitchdeck_edge.hub.replica import group_folder
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.links.records import decode_upstreams, encode_upstream
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.settings import HubSettings
from hitchdeck_edge.state.registry import Registry

STORE_TIMEOUT_SECONDS = 0.8
"""Timeout of a whole operation: an upstream asks another hub after a second."""

MORE_HUBS_SECONDS = 0.15
"""Time without enough confirmations after which all hubs with disks are asked."""

RETRY_DELAY_SECONDS = 0.05

ORIGIN = 'departure'
"""Origin that log lines give for records that a hub was asked to store."""


@dataclass(slots=True)
class PendingDeparture:
    """A departure that is being stored.

    Attributes
    ----------
    holders
        Hubs that have confirmed it.
    enough
        Resolved once enough hubs have.
    """

    record: Upstream
    holders: set[Address] = field(default_factory=set)
    enough: asyncio.Event = field(default_factory=asyncio.Event)


class DepartureStore:
    """Stores departures that were reported to this hub.

    Departures that arrive while a hub is being asked go to it together, in its next
    call.

    Attributes
    ----------
    needed
        Number of disks that a departure has to be on.
    journal
        Journal of the departures on this hub's own disk, if it has one.
    pending
        Departures that wait for confirmations.
    busy
        Hubs that are being asked.
    confirmed
        Change number of each record that is known to be stored.
    """

    def __init__(
        self,
        registry: Registry,
        journal: DepartureJournal | None,
        known_hubs: KnownHubs,
        needed: int,
        token: str,
    ) -> None:
        self.registry = registry
        self.journal = journal
        self.known_hubs = known_hubs
        self.needed = needed
        self.token = token
        self.tasks = Supervisor('departures')
        self.channels: dict[Address, Channel] = {}
        self.pending: list[PendingDeparture] = []
        self.busy: set[Address] = set()
        self.confirmed: dict[UpstreamName, int] = {}

    async def store(self, name: UpstreamName) -> None:
        """Return once the departure of an upstream survives any tolerated loss.

        Raises
        ------
        UnavailableError
            Too few hubs have confirmed it in time.
        """
        record = self.registry.records.get(name)
        if record is None or record.phase is Phase.serving or self._is_confirmed(name):
            return
        number = self.registry.change_numbers[name]
        departure = PendingDeparture(record)
        self.pending.append(departure)
        try:
            await self._wait_for_holders(departure)
        finally:
            self.pending.remove(departure)
        self._remember(name, number)

    async def close(self) -> None:
        """Give up what is pending, and close all channels."""
        await self.tasks.stop()
        if self.journal is not None:
            self.journal.close()
        for channel in self.channels.values():
            channel.close()

    async def _wait_for_holders(self, departure: PendingDeparture) -> None:
        """Wait until enough hubs have a departure; ask few of them first."""
        few = (self.needed + 1, MORE_HUBS_SECONDS)
        everyone = (None, STORE_TIMEOUT_SECONDS - MORE_HUBS_SECONDS)
        for count, seconds in (few, everyone):
            for holder in self._holders()[:count]:
                self._ask(holder)
            if await _is_set_within(departure.enough, seconds):
                return
            logs.info(
                'departure waits for disks',
                upstream=departure.record.name,
                stored=sorted(departure.holders),
                needed=self.needed,
            )
        raise UnavailableError(
            f'departure is on {len(departure.holders)} of {self.needed} disks'
        )

    def _holders(self) -> list[Address]:
        """Return the hubs with disks in reach, this one first if it has a disk."""
        known = self.known_hubs
        # A connection from before a loss of power would hang.
        for lost in set(self.channels) - known.reachable:
            self._drop_channel(lost)
        others = ranked(known.box, known.durable & known.reachable)
        own = [known.own] if self.journal is not None and known.own else []
        return own + [Address(one) for one in others]

    def _ask(self, holder: Address) -> None:
        if holder not in self.busy:
            self.busy.add(holder)
            self.tasks.temporary(holder, self._ask_while_pending(holder))

    async def _ask_while_pending(self, holder: Address) -> None:
        """Ask a hub to store what it has not confirmed, until there is nothing left."""
        try:
            while missing := self._missing_at(holder):
                if await self._store_at(holder, [one.record for one in missing]):
                    self._confirm(holder, missing)
                else:
                    await asyncio.sleep(RETRY_DELAY_SECONDS)
        finally:
            self.busy.discard(holder)

    def _missing_at(self, holder: Address) -> list[PendingDeparture]:
        return [one for one in self.pending if holder not in one.holders]

    def _confirm(self, holder: Address, stored: Iterable[PendingDeparture]) -> None:
        for departure in stored:
            departure.holders.add(holder)
            if len(departure.holders) >= self.needed:
                departure.enough.set()

    async def _store_at(self, holder: Address, records: list[Upstream]) -> bool:
        if holder == self.known_hubs.own:
            return await store_on_disk(self.journal)
        request = StoreRequest(upstreams=[encode_upstream(one) for one in records])
        if holder not in self.channels:
            self.channels[holder] = open_channel(holder, self.token)
        try:
            async with asyncio.timeout(STORE_TIMEOUT_SECONDS):
                reply = await DeparturesStub(self.channels[holder]).Store(request)
        except TRANSPORT_ERRORS as error:
            self._drop_channel(holder)
            logs.info('departures not stored', hub=holder, reason=repr(error))
            # A hub of earlier software learns of departures from its streams only.
            return isinstance(error, GRPCError) and error.status is Status.UNIMPLEMENTED
        return bool(reply.stored)

    def _drop_channel(self, holder: Address) -> None:
        channel = self.channels.pop(holder, None)
        if channel is not None:
            channel.close()

    def _is_confirmed(self, name: UpstreamName) -> bool:
        return self.confirmed.get(name) == self.registry.change_numbers[name]

    def _remember(self, name: UpstreamName, number: int) -> None:
        known = self.registry.records
        self.confirmed = {
            one: change for one, change in self.confirmed.items() if one in known
        }
        self.confirmed[name] = number


class DeparturesService(DeparturesBase):
    """Stores departures that were reported to other hubs."""

    def __init__(self, registry: Registry, journal: DepartureJournal | None) -> None:
        self.registry = registry
        self.journal = journal

    async def Store(self, stream: Stream[StoreRequest, StoreReply]) -> None:
        """Merge departures, and reply once they are on this hub's disk."""
        request = await stream.recv_message()
        assert request is not None
        for upstream in decode_upstreams(request.upstreams):
            self.registry.merge(upstream, ORIGIN)
        stored = await store_on_disk(self.journal)
        await stream.send_message(StoreReply(stored=stored))


async def _is_set_within(event: asyncio.Event, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            return await event.wait()
    except TimeoutError:
        return False


def departure_store(
    settings: HubSettings, registry: Registry, known_hubs: KnownHubs
) -> DepartureStore:
    """Return the store of a hub, and restore the departures on its disk."""
    journal = None
    if settings.data_folder is not None:
        path = group_folder(settings.data_folder) / 'departures'
        journal = DepartureJournal(path, registry)
        journal.restore()
    needed = settings.disks_lost + 1
    return DepartureStore(registry, journal, known_hubs, needed, settings.fleet_token)


async def store_on_disk(journal: DepartureJournal | None) -> bool:
    """Write all departures that this hub knows; tell whether they are on its disk."""
    return journal is not None and await journal.store()
