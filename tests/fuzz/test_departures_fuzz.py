"""Acknowledged departures survive any loss that the platform allows.

Hubs in one process with a virtual clock; the store, the journal and the registries are
the production code.  Guards against departures that are lost with the hub that
acknowledged them, or with the power of all machines.
"""

import asyncio
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

from grpclib.exceptions import StreamTerminatedError
from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, BoxName, InstanceName, PoolName, UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import StoreReply, StoreRequest
from hitchdeck_edge.errors import UnavailableError
from hitchdeck_edge.hub import departures
from hitchdeck_edge.hub.departure_journal import DepartureJournal
from hitchdeck_edge.hub.departures import DepartureStore, store_on_disk
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.links.records import decode_upstreams, encode_upstream
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.state.registry import Registry
from tests.common.virtual_time import run_virtually

FRAME_SECONDS = 0.04
LATENCY_SECONDS = 0.002
DRAIN_SECONDS = 2.0
ANSWER_SECONDS = 1.0
FOREVER = 1000.0


@dataclass
class SimulatedHub:
    """A hub, with a disk if it has a folder."""

    address: Address
    folder: Path | None
    store: DepartureStore
    frozen: bool = False
    sent: dict[int, int] = field(default_factory=dict)

    @property
    def registry(self) -> Registry:
        """Return its registry."""
        return self.store.registry


class DepartingFleet:
    """Hubs, and the registry of one box that reaches them all."""

    def __init__(self, folder: Path, disks: int, diskless: int, lost: int) -> None:
        self.folder = folder
        self.lost = lost
        self.disks = [Address(f'10.0.0.{number}:1') for number in range(disks)]
        self.others = [Address(f'10.0.1.{number}:1') for number in range(diskless)]
        self.hubs: dict[Address, SimulatedHub] = {}
        self.box = new_registry()
        for address in (*self.disks, *self.others):
            self.start(address)

    def start(self, address: Address) -> None:
        """Start a hub on its disk; the box and the other hubs reach it at once."""
        registry = new_registry()
        journal, folder = None, None
        if address in self.disks:
            folder = self.folder / address
            folder.mkdir(exist_ok=True)
            journal = DepartureJournal(folder / 'departures', registry)
            journal.restore()
        known = KnownHubs(BoxName(address), 'a', (), boot_seconds)
        known.own = address
        known.reachable = set(self.disks) | set(self.others)
        known.durable = set(self.disks)
        store = DepartureStore(registry, journal, known, self.lost + 1, 'token')
        self.hubs[address] = SimulatedHub(address, folder, store)

    def kill(self, address: Address) -> None:
        """End a hub at once."""
        hub = self.hubs.pop(address)
        for task in hub.store.tasks.tasks.values():
            task.cancel()
        if hub.store.journal is not None:
            hub.store.journal.close()

    async def answer(self, address: Address, request: StoreRequest) -> StoreReply:
        """Answer a call to a hub as its service does."""
        await asyncio.sleep(LATENCY_SECONDS)
        hub = self.hubs.get(address)
        if hub is None:
            raise StreamTerminatedError('down')
        if hub.frozen:
            await asyncio.sleep(FOREVER)
        for upstream in decode_upstreams(request.upstreams):
            hub.registry.merge(upstream, 'test')
        return StoreReply(stored=await store_on_disk(hub.store.journal))

    async def exchange(self) -> None:
        """Pass records on to the other hubs and to the box; runs until cancelled."""
        while True:
            await asyncio.sleep(FRAME_SECONDS)
            for hub in self.hubs.values():
                peers = [one.registry for one in self.hubs.values() if not one.frozen]
                for registry in () if hub.frozen else (*peers, self.box):
                    self._deliver(hub, registry)

    def _deliver(self, hub: SimulatedHub, registry: Registry) -> None:
        if registry is hub.registry:
            return
        since = hub.sent.get(id(registry), 0)
        hub.sent[id(registry)] = hub.registry.changes
        fresh = map(encode_upstream, hub.registry.since(since))
        for record in decode_upstreams(fresh):
            registry.merge(record, 'test')


def new_registry() -> Registry:
    """Return an empty registry."""
    return Registry(boot_seconds, Signal())


def ready(name: str) -> Upstream:
    """Return the record of an upstream that serves."""
    address = Address('10.0.2.1:80')
    return Upstream(
        UpstreamName(name), PoolName('llm'), address, 'a', 4, Phase.serving, 1
    )


async def depart(fleet: DepartingFleet, name: str, told: Address) -> bool:
    """Report a departure to a hub; tell whether it was acknowledged."""
    hub = fleet.hubs[told]
    ended = hub.registry.end(InstanceName(name), 'report')
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            await hub.store.store(ended)
    except (UnavailableError, TimeoutError):
        return False
    return True


def may_serve(registry: Registry, name: str) -> bool:
    """Tell whether requests may be sent to an upstream."""
    record = registry.records.get(UpstreamName(name))
    return record is not None and record.phase is Phase.serving


async def play(folder: Path, shape: tuple[int, int, int], draw: st.DataObject) -> None:
    """Let upstreams leave at one hub, and lose it and others right after the answer."""
    disks, diskless, lost = shape
    fleet = DepartingFleet(folder, disks, diskless, lost)
    names = [f'e{number}' for number in range(draw.draw(st.integers(1, 40)))]
    for registry in (fleet.box, *(one.registry for one in fleet.hubs.values())):
        for name in names:
            registry.merge(ready(name), 'test')
    told = draw.draw(st.sampled_from([*fleet.disks, *fleet.others]))
    losses = draw.draw(
        st.lists(st.sampled_from(fleet.disks), max_size=lost, unique=True)
    )
    how = draw.draw(st.sampled_from(['power', 'disk', 'frozen', 'power of all']))
    if how == 'frozen':
        for address in set(losses) - {told}:
            fleet.hubs[address].frozen = True
    exchange = asyncio.create_task(fleet.exchange())
    answers = await asyncio.gather(*(depart(fleet, name, told) for name in names))
    acknowledged = [name for name, answer in zip(names, answers, strict=True) if answer]
    assert acknowledged == names
    lose(fleet, losses, how)
    if how == 'power of all':
        # What was written before the departures is read from disk, too.
        for registry in (fleet.box, *(one.registry for one in fleet.hubs.values())):
            for name in names:
                registry.merge(ready(name), 'test')
    await asyncio.sleep(DRAIN_SECONDS)
    exchange.cancel()
    assert [name for name in acknowledged if may_serve(fleet.box, name)] == []
    for address in list(fleet.hubs):
        fleet.kill(address)


def lose(fleet: DepartingFleet, losses: list[Address], how: str) -> None:
    """Lose machines: those without a disk, and as many with one as are tolerated."""
    gone = set(fleet.others) | set(losses)
    if how == 'power of all':
        gone = set(fleet.hubs)
        fleet.box = new_registry()
    for address in gone & set(fleet.hubs):
        folder = fleet.hubs[address].folder
        fleet.kill(address)
        if how == 'disk' and folder is not None:
            (folder / 'departures').unlink(missing_ok=True)
    if how == 'power of all':
        for address in fleet.disks:
            fleet.start(address)


@given(
    shape=st.sampled_from([(3, 3, 1), (4, 1, 1), (5, 4, 2), (8, 0, 2)]),
    draw=st.data(),
)
def test_acknowledged_departures_survive_any_allowed_loss(
    shape: tuple[int, int, int], draw: st.DataObject
) -> None:
    fleets: list[DepartingFleet] = []

    def stub(channel: mock.Mock) -> mock.Mock:
        async def store(request: StoreRequest) -> StoreReply:
            return await fleets[0].answer(channel.address, request)

        return mock.Mock(Store=store)

    def open_channel(address: Address, _token: str) -> mock.Mock:
        return mock.Mock(address=address)

    async def work(folder: Path) -> None:
        await play(folder, shape, draw)

    begin = DepartingFleet.__init__

    def remember(self: DepartingFleet, *arguments: object) -> None:
        fleets.insert(0, self)
        begin(self, *arguments)  # type: ignore[arg-type]

    with (
        mock.patch.object(departures, 'DeparturesStub', stub),
        mock.patch.object(departures, 'open_channel', open_channel),
        mock.patch.object(DepartingFleet, '__init__', remember),
        mock.patch('os.fsync'),
        mock.patch('os.fdatasync'),
        mock.patch('hitchdeck_core.logs.info'),
        mock.patch('asyncio.to_thread', in_line),
        tempfile.TemporaryDirectory() as folder,
    ):
        run_virtually(work(Path(folder)))


async def in_line(work, *arguments):  # type: ignore[no-untyped-def]
    """Do the work of a thread at once, in virtual time."""
    await asyncio.sleep(LATENCY_SECONDS)
    return work(*arguments)
