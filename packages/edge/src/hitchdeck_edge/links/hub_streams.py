"""A box's streams to the hubs: one task for each hub, for ever.

Every box attends every hub.  A hub that is cut off from the others may be
the only one that a box reaches, and a box must hear of a leaving upstream
from whichever hub was told.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from grpclib.client import Channel, Stream

from hitchdeck_core import logs
from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address
from hitchdeck_core.signals import Signal
from hitchdeck_core.supervisor import Supervisor, TaskFunction
from hitchdeck_core.wire.spread_grpc import SpreadStub
from hitchdeck_core.wire.spread_pb2 import BoxFrame, HubFrame
from hitchdeck_edge.links.known_hubs import KnownHubs

MAX_MISSED_FRAMES = 3
"""Idle frames that must be missing before a link counts as cut."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""A hub in reach answers within some milliseconds."""

MIN_RETRY_DELAY_SECONDS = 0.05
"""Pause before a hub is tried again that was just lost, or not yet reached;
doubled with each further try: boxes that start at once with the hubs need the
document before they can serve."""

MAX_RETRY_DELAY_SECONDS = 0.25
"""The longest such pause; a hub may be back within a second."""

REPORT_INTERVAL_SECONDS = 0.5
"""Between two frames to the hub that passes reports on.  They serve boxes that
no scheduler places for; their bytes and processor time are the price."""

RELAY_INTERVAL_SECONDS = 0.5
"""Between two frames from hub to hub: these cross failure domains."""

IDLE_INTERVAL_SECONDS = 0.5
"""Between two frames to any other hub of the domain, and between hubs."""

OTHER_DOMAIN_IDLE_INTERVAL_SECONDS = 1.0
"""Between two idle frames of a box and a hub of another domain.  Only frames
that say nothing wait for it: news goes out at once."""

LINK_ERRORS = (LinkError, *TRANSPORT_ERRORS)

HubStream = Stream[BoxFrame, HubFrame]


@dataclass(frozen=True, slots=True)
class StreamHandlers:
    """What a box says to hubs and does with what they say, as functions.

    ``next_frame`` gets whether the hub is the one that passes reports on, and
    whether the frame is the first on its stream.  ``idle_interval`` is the time in
    seconds between two frames that say nothing, on either side, given whether
    the hub is of the box's domain; ``send_interval`` that between the box's own, given
    the same and whether it reports there; ``wake`` cuts it short.
    """

    next_frame: Callable[[Address, bool, bool], BoxFrame]
    on_frame: Callable[[Address, HubFrame], None]
    on_loss: Callable[[Address], None]
    wake: Signal
    idle_interval: Callable[[bool], float]
    send_interval: Callable[[bool, bool], float]


class HubStreams:
    """Keeps a stream to every hub that is known."""

    def __init__(
        self, known_hubs: KnownHubs, stream_handlers: StreamHandlers, token: str
    ) -> None:
        self.known_hubs = known_hubs
        self.stream_handlers = stream_handlers
        self.token = token
        self.tasks = Supervisor('hubs')

    async def run(self) -> None:
        """Attend every hub in the book; for ever."""
        try:
            while True:
                self._update_tasks()
                await self.known_hubs.changed.wait(1)
        finally:
            await self.tasks.stop()

    def _update_tasks(self) -> None:
        wanted = set(self.known_hubs.addresses())
        for removed in set(self.tasks.tasks) - wanted:
            self.tasks.cancel(removed)
        for address in wanted - set(self.tasks.tasks):
            self.tasks.permanent(address, self._stream_task(address))

    def _stream_task(self, address: Address) -> TaskFunction:
        async def stream_task() -> None:
            delay = MIN_RETRY_DELAY_SECONDS
            while True:
                channel = open_channel(address, self.token)
                try:
                    await self._run_stream(address, channel)
                except LINK_ERRORS as error:
                    delay = self._record_loss(address, error) or delay
                finally:
                    channel.close()
                await asyncio.sleep(delay)
                delay = min(MAX_RETRY_DELAY_SECONDS, delay * 2)

        return stream_task

    def _record_loss(self, address: Address, error: Exception) -> float:
        """Note a failure; return the pause after it, 0 if it is not the first."""
        was_reachable = self.known_hubs.is_reachable(address)
        if was_reachable:
            logs.warning('hub lost', hub=address, reason=repr(error))
        self.known_hubs.mark_unreachable(address)
        self.stream_handlers.on_loss(address)
        return MIN_RETRY_DELAY_SECONDS if was_reachable else 0

    async def _run_stream(self, address: Address, channel: Channel) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            await channel.__connect__()
        async with SpreadStub(channel).Attend.open() as stream:
            await stream.send_message(
                self.stream_handlers.next_frame(address, False, True)
            )
            sender = asyncio.create_task(self._send(address, stream))
            try:
                await self._receive(address, stream)
            finally:
                sender.cancel()

    async def _receive(self, address: Address, stream: HubStream) -> None:
        while True:
            same_domain = self.known_hubs.is_same_domain(address)
            async with asyncio.timeout(
                MAX_MISSED_FRAMES * self.stream_handlers.idle_interval(same_domain)
            ):
                frame = await stream.recv_message()
            if frame is None:
                raise LinkError('the hub ended the stream')
            if frame.domain:
                self.known_hubs.set_properties(
                    address, frame.domain, durable=frame.durable
                )
            if not self.known_hubs.is_reachable(address):
                logs.info('hub reached', hub=address)
                self.known_hubs.mark_reachable(address)
            self.known_hubs.add_learned(Address(one) for one in frame.hubs)
            self.stream_handlers.on_frame(address, frame)

    async def _send(self, address: Address, stream: HubStream) -> None:
        while True:
            is_report_hub = self.known_hubs.report_hub() == address
            send_interval = self.stream_handlers.send_interval(
                self.known_hubs.is_same_domain(address), is_report_hub
            )
            await self.stream_handlers.wake.wait(send_interval)
            frame = self.stream_handlers.next_frame(address, is_report_hub, False)
            await stream.send_message(frame)


def box_idle_interval(same_domain: bool) -> float:
    """Return the time between idle frames of an entry box and a hub, in seconds."""
    return IDLE_INTERVAL_SECONDS if same_domain else OTHER_DOMAIN_IDLE_INTERVAL_SECONDS


def box_send_interval(same_domain: bool, is_report_hub: bool) -> float:
    """Return the pause of an entry box, in seconds."""
    return REPORT_INTERVAL_SECONDS if is_report_hub else box_idle_interval(same_domain)


def hub_idle_interval(same_domain: bool) -> float:
    """Return the time between idle frames of two hubs, in seconds."""
    return IDLE_INTERVAL_SECONDS


def hub_send_interval(same_domain: bool, is_report_hub: bool) -> float:
    """Return the pause of a hub, which passes reports on to every other."""
    return RELAY_INTERVAL_SECONDS
