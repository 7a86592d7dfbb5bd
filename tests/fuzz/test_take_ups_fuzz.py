"""Streams are resumed only at their version, whatever is killed, cut off or dropped."""

import asyncio
from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_core.ids import Address, PoolName, SoftwareVersion
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import Hello
from hitchdeck_edge.hub.connected_boxes import ConnectedBox, ConnectedBoxes
from hitchdeck_edge.hub.spread import _complete_seconds
from hitchdeck_edge.model.stream_origins import StreamKey, StreamOrigin
from hitchdeck_edge.state.origin_lookup import OriginLookup
from hitchdeck_edge.state.stream_origins import StreamOrigins
from tests.common.scheduling import FakeClock
from tests.common.virtual_time import run_virtually

VERSIONS = ('v1', 'v2')
KEYS = (StreamKey(9), StreamKey(11))
MAX_AGE = 6.0
BOXES = 2
HUBS = tuple(Address(f'10.0.0.{number}:1') for number in range(2))
TELL_SECONDS = 0.2
SILENCE_SECONDS = 3.0
"""Time after which a hub takes a box in another domain for lost."""


@dataclass
class Box:
    """A box, with the streams that it began and has not told."""

    name: str
    incarnation: str
    lookup: OriginLookup
    told: dict[Address, int] = field(default_factory=dict)
    is_cut_off: bool = False


@dataclass
class HubModel:
    """The state of a hub that answers lookups."""

    origins: StreamOrigins
    connected_boxes: ConnectedBoxes
    stream_versions: 'SeveralVersions'
    streams: dict[str, ConnectedBox] = field(default_factory=dict)


class SeveralVersions:
    """Versions serve beside each other all the time."""

    def are_several(self) -> bool:
        return True


@dataclass
class Stream:
    """A stream that its caller may resume.

    ``noticed_at`` is when hubs notice at the latest that its box is cut off.
    """

    content: StreamKey
    origin: StreamOrigin
    began_at: float
    noticed_at: float


class Fleet:
    """Boxes and hubs in virtual time; messages arrive at once, where they arrive."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.clock.seconds = 1000
        self.starts = 0
        self.hubs = {hub: self.new_hub() for hub in HUBS}
        self.boxes = [self.new_box(number) for number in range(BOXES)]
        for hub in HUBS:
            self.hubs[hub].origins.complete_since -= 3600
        self.streams: list[Stream] = []
        self.pass_time(0)

    def new_hub(self) -> HubModel:
        return HubModel(
            StreamOrigins(self.clock),
            ConnectedBoxes(self.clock, 'a'),
            SeveralVersions(),
        )

    def new_box(self, number: int) -> Box:
        lookup = OriginLookup(StreamOrigins(self.clock), Signal(), lambda: HUBS)
        self.starts += 1
        return Box(f'box-{number}', str(self.starts), lookup)

    def pass_time(self, seconds: float) -> None:
        """Let idle frames pass once a second, and those of new streams sooner."""
        for _ in range(max(1, round(seconds / TELL_SECONDS))):
            self.clock.seconds += TELL_SECONDS if seconds else 0
            for box in self.boxes:
                self.tell(box)

    def tell(self, box: Box) -> None:
        """Send a frame to every hub that the box reaches."""
        if box.is_cut_off:
            return
        for address, hub in self.hubs.items():
            connected = hub.streams.get(box.name)
            if connected is None or connected.hello.incarnation != box.incarnation:
                hello = Hello(
                    box=box.name,
                    domain='a',
                    entry_address=box.name,
                    incarnation=box.incarnation,
                )
                connected = hub.connected_boxes.register(hello)
                hub.streams[box.name] = connected
                box.told.pop(address, None)
            connected.last_frame = self.clock.seconds
            told = box.told.get(address, 0)
            fresh, box.told[address] = box.lookup.origins.own_since(told)
            for key, origin in fresh:
                hub.origins.remember((key,), origin)

    def begin(self, number: int, content: StreamKey, version: str) -> None:
        """Have a stream begin and break; the first hub has placed it."""
        box = self.boxes[number]
        origin = StreamOrigin(PoolName('llm'), SoftwareVersion(version))
        if not box.is_cut_off:
            self.hubs[HUBS[0]].origins.remember((content,), origin)
        box.lookup.origins.begin((content,), origin)
        box.lookup.origins.end((content,))
        began = self.clock.seconds
        noticed_at = began + SILENCE_SECONDS if box.is_cut_off else began
        self.streams.append(Stream(content, origin, began, noticed_at))

    def kill_boxes(self, numbers: list[int]) -> None:
        """Kill boxes, and start them again."""
        for number in numbers:
            killed, self.boxes[number] = self.boxes[number], self.new_box(number)
            self.boxes[number].is_cut_off = killed.is_cut_off
            for hub in self.hubs.values():
                connected = hub.streams.get(killed.name)
                # The end of a connection does not arrive from where it is cut off.
                if connected is not None and not killed.is_cut_off:
                    hub.streams.pop(killed.name)
                    hub.connected_boxes.unregister(connected)

    def kill_hubs(self, addresses: list[Address]) -> None:
        """Kill hubs, and start them again; the others see their streams end."""
        for address in addresses:
            self.hubs[address] = self.new_hub()
        for address, hub in self.hubs.items():
            if address not in addresses and addresses:
                hub.connected_boxes.hub_lost_at = self.clock.seconds
                if self.clock.seconds - hub.connected_boxes.box_lost_at < 2:
                    hub.connected_boxes.untold_until = self.clock.seconds

    def lose_together(self, number: int, content: StreamKey, version: str) -> None:
        """Have a stream begin, and kill its box and the hub that placed it at once."""
        self.begin(number, content, version)
        self.kill_boxes([number])
        self.kill_hubs([HUBS[0]])

    async def check_take_ups(self, number: int) -> None:
        """Resume every stream that may still last, by its content alone."""
        box = self.boxes[number]
        for stream in self.streams:
            now = self.clock.seconds
            lasts = now - stream.began_at <= MAX_AGE
            if lasts and now >= stream.noticed_at and not box.is_cut_off:
                found = await self.look_up(box, stream.content)
                assert found in {None, stream.origin}

    async def look_up(self, box: Box, content: StreamKey) -> StreamOrigin | None:
        task = asyncio.ensure_future(box.lookup.find(content, MAX_AGE))
        await asyncio.sleep(0)
        for address, hub in self.hubs.items():
            known = hub.origins.find(content)
            found = [(content, known)] if known else []
            unknown = [] if known else [content]
            complete = _complete_seconds(hub)  # type: ignore[arg-type]
            box.lookup.apply(address, found, unknown, complete)
        return await task


BOX = st.integers(0, BOXES - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('begin'), BOX, st.sampled_from(KEYS), st.sampled_from(VERSIONS)
        ),
        st.tuples(
            st.just('lose together'),
            BOX,
            st.sampled_from(KEYS),
            st.sampled_from(VERSIONS),
        ),
        st.tuples(st.just('pass'), st.sampled_from((0.2, 1.0, 4.0, 7.0))),
        st.tuples(st.just('kill boxes'), st.lists(BOX, unique=True)),
        st.tuples(st.just('kill hubs'), st.lists(st.sampled_from(HUBS), unique=True)),
        st.tuples(st.just('kill all')),
        st.tuples(st.just('cut'), BOX),
        st.tuples(st.just('join'), BOX),
    ),
    min_size=3,
    max_size=25,
)


async def play(steps: list[tuple[object, ...]]) -> Fleet:
    fleet = Fleet()
    for name, *given_values in steps:
        await apply_step(fleet, str(name), *given_values)
        # A stream that breaks is told at once; its caller needs longer than that.
        for box in fleet.boxes:
            fleet.tell(box)
        for number in range(BOXES):
            await fleet.check_take_ups(number)
    return fleet


async def apply_step(fleet: Fleet, name: str, *given_values: object) -> None:
    actions = {
        'begin': fleet.begin,
        'lose together': fleet.lose_together,
        'pass': fleet.pass_time,
        'kill boxes': fleet.kill_boxes,
        'kill hubs': fleet.kill_hubs,
    }
    if name in actions:
        actions[name](*given_values)  # type: ignore[operator]
    elif name == 'kill all':
        fleet.kill_boxes(list(range(BOXES)))
        fleet.kill_hubs(list(HUBS))
    else:
        fleet.boxes[given_values[0]].is_cut_off = name == 'cut'  # type: ignore[index]


@given(STEPS)
def test_a_stream_goes_on_only_at_its_version(steps: list[tuple[object, ...]]) -> None:
    # The record of another stream was taken for it once its own was forgotten.
    run_virtually(play(steps))
