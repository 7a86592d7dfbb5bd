"""Streams from a box to every hub, with one permanent task per hub.

A hub that is partitioned from the others may be the only one that a box reaches, and a
box must learn that an upstream drains from whichever hub was notified.
"""

import asyncio
from collections.abc import Callable

from grpclib.client import Channel, Stream

from hitchdeck_core import logs
from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.signals import Signal
from hitchdeck_core.supervisor import Supervisor, TaskFunction
from hitchdeck_core.ticks import until_tick
from hitchdeck_core.wire.spread_grpc import SpreadStub
from hitchdeck_core.wire.spread_pb2 import BoxFrame, HubFrame
from hitchdeck_edge.links.known_hubs import KnownHubs

MAX_MISSED_FRAMES = 3
"""Idle intervals without a frame after which a peer counts as lost."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout of a connect: a reachable hub responds within some milliseconds."""

MIN_RETRY_DELAY_SECONDS = 0.05
"""Initial reconnect delay, doubled with each further attempt.

It is short as boxes that start together with the hubs can't serve before they have the
document.
"""

MAX_RETRY_DELAY_SECONDS = 0.25
"""Maximum reconnect delay: a hub may be back within a second."""

REPORT_INTERVAL_SECONDS = 0.5
"""Interval of frames to the hub that relays a box's reports.

Reports are needed only by boxes without a scheduler, so the interval limits their cost
in bytes and processor time.
"""

RELAY_INTERVAL_SECONDS = 0.5
"""Interval of frames between hubs: these cross failure domains."""

IDLE_INTERVAL_SECONDS = 0.5
"""Interval of idle frames between a box and a hub of its domain, and between hubs."""

OTHER_DOMAIN_IDLE_INTERVAL_SECONDS = 1.0
"""Interval of idle frames between a box and a hub of another domain.

Of a box's frames only idle ones wait for it: updates are sent at once.
"""

LINK_ERRORS = (LinkError, *TRANSPORT_ERRORS)

HubStream = Stream[BoxFrame, HubFrame]


@dataclass(frozen=True, slots=True)
class StreamHandlers:
    """Functions that compose and process the frames of a box's streams.

    Attributes
    ----------
    next_frame
        Returns the next frame, given the hub's address, whether the hub relays this
        box's reports, and whether the frame is the first on its stream.
    on_frame
        Processes a frame from a hub.
    on_loss
        Called when a hub is lost or can't be reached.
    wake
        Sends the next frame at once when notified.
    idle_interval
        Returns the interval of idle frames on either side, in seconds, given whether
        the hub is in the box's failure domain.
    send_interval
        Returns the interval of the box's own frames, in seconds, given the same and
        whether the hub relays this box's reports.
    """

    next_frame: Callable[[Address, bool, bool], BoxFrame]
    on_frame: Callable[[Address, HubFrame], None]
    on_loss: Callable[[Address], None]
    wake: Signal
    idle_interval: Callable[[bool], float]
    send_interval: Callable[[bool, bool], float]


class HubStreams:
    """Keeps a stream to every known hub; frames to all of them are due together."""

    def __init__(
        self,
        known_hubs: KnownHubs,
        stream_handlers: StreamHandlers,
        token: str,
    ) -> None:
        self.known_hubs = known_hubs
        self.stream_handlers = stream_handlers
        self.token = token
        self.tasks = Supervisor('hubs')

    async def run(self) -> None:
        """Keep one task per known hub; runs forever."""
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
        """Record a failure; return the reconnect delay, 0 to keep the current one."""
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
            await self.stream_handlers.wake.wait(until_tick(send_interval))
            frame = self.stream_handlers.next_frame(address, is_report_hub, False)
            await stream.send_message(frame)


def box_idle_interval(same_domain: bool) -> float:
    """Return the interval of idle frames between an entry box and a hub, in seconds."""
    return IDLE_INTERVAL_SECONDS if same_domain else OTHER_DOMAIN_IDLE_INTERVAL_SECONDS


def box_send_interval(same_domain: bool, is_report_hub: bool) -> float:
    """Return the interval of an entry box's frames to a hub, in seconds."""
    return REPORT_INTERVAL_SECONDS if is_report_hub else box_idle_interval(same_domain)


def hub_idle_interval(same_domain: bool) -> float:
    """Return the interval of idle frames between two hubs, in seconds."""
    return IDLE_INTERVAL_SECONDS


def hub_send_interval(same_domain: bool, is_report_hub: bool) -> float:
    """Return the interval at which a hub relays reports to another, in seconds."""
    return RELAY_INTERVAL_SECONDS
