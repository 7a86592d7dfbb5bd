"""A router's stream to the leader of the control group."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from grpclib.client import Stream

from hitchdeck_core import logs
from hitchdeck_core.channels import TRANSPORT_ERRORS, open_channel
from hitchdeck_core.clock import Clock, boot_seconds
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Address
from hitchdeck_core.quarantine.messages import decode_update, encode_update
from hitchdeck_core.quarantine.quarantine import SYNC_START, Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.hitchdeck_grpc import ControlStub
from hitchdeck_core.wire.hitchdeck_pb2 import (
    ControlFrame,
    RouterBeat,
    RouterHello,
    UsageSum,
)
from hitchdeck_router.fleet.directory import FleetDirectory
from hitchdeck_router.fleet.lease import ConfigurationLease
from hitchdeck_router.fleet.traffic import Traffic
from hitchdeck_router.fleet.view import FleetView

_BEAT_PERIOD_SECONDS = 1.0
_MIN_RECONNECT_DELAY_SECONDS = 0.1
_MAX_RECONNECT_DELAY_SECONDS = 1.0
_RECEIVE_TIMEOUT_SECONDS = 2.5
"""Time without a frame after which the connection to the leader is closed."""

_LINK = 'control'

WatchStream = Stream[RouterBeat, ControlFrame]


@dataclass(slots=True)
class Fleet:
    """A router's state of the fleet: configuration, lease, directory, quarantine."""

    view: FleetView
    lease: ConfigurationLease
    directory: FleetDirectory
    traffic: Traffic
    now: Clock
    quarantine: Quarantine = field(
        default_factory=lambda: Quarantine(boot_seconds, Signal()),
    )


@dataclass(frozen=True, slots=True)
class UsageExchange:
    """Callbacks that exchange cost sums with the leader.

    ``unreported`` returns the sums that have grown since the last call;
    ``restart`` makes it return all sums again; ``apply`` receives the sums of
    other shards and the leader's term.
    """

    unreported: Callable[[], list[UsageSum]]
    restart: Callable[[], None]
    apply: Callable[[list[UsageSum], int], None]


class ControlLink:
    """Keeps a stream to the leader of the control group.

    Attributes
    ----------
    leader
        Leader's address as reported by another control box, blank if unknown.
    quarantine_position
        Position up to which quarantine updates were sent on this stream.
    """

    def __init__(
        self,
        fleet: Fleet,
        hello: RouterHello,
        addresses: tuple[Address, ...],
        fleet_token: str,
        usage: UsageExchange,
    ) -> None:
        self.fleet = fleet
        self.hello = hello
        self.addresses = addresses
        self.fleet_token = fleet_token
        self.usage = usage
        self.address_index = 0
        self.connected = False
        self.leader = Address('')
        self.leaving = False
        # Crashes that this router detects are sent without delay.
        self.beat_requested = fleet.quarantine.changed
        self.quarantine_position = SYNC_START

    async def run(self) -> None:
        """Stay connected to the leader; never returns."""
        delay = _MIN_RECONNECT_DELAY_SECONDS
        while True:
            address = self.leader or self._next_address()
            self.leader = Address('')
            try:
                await self._connect(address)
            except LinkError as error:
                logs.info('control link lost', address=address, reason=str(error))
            if self.connected:
                delay = _MIN_RECONNECT_DELAY_SECONDS
            if not self.leader:
                # Jitter prevents that all routers reconnect at the same moment
                # after the loss of a leader.
                await asyncio.sleep(delay * random.uniform(0.5, 1))
                delay = min(_MAX_RECONNECT_DELAY_SECONDS, 2 * delay)

    def announce_leaving(self) -> None:
        """Notify the leader without delay that this router is shutting down."""
        self.leaving = True
        self.beat_requested.notify()

    def is_leaving(self) -> bool:
        """Return whether this router shuts down or a rule drains its box."""
        if self.leaving:
            return True
        return self.fleet.view.box_is_leaving(self.hello.router, self.hello.domain)

    def _next_address(self) -> Address:
        self.address_index += 1
        return self.addresses[self.address_index % len(self.addresses)]

    async def _connect(self, address: Address) -> None:
        self.connected = False
        channel = open_channel(address, self.fleet_token)
        try:
            async with ControlStub(channel).Watch.open() as stream:
                await self._exchange_frames(stream)
        except TRANSPORT_ERRORS as error:
            raise LinkError(f'{type(error).__name__}: {error}') from error
        finally:
            channel.close()

    async def _exchange_frames(self, stream: WatchStream) -> None:
        # Reports to the previous leader may have been lost with it.
        self.usage.restart()
        self.quarantine_position = SYNC_START
        await self._send_beat(stream, self.hello)
        beating = asyncio.create_task(self._send_beats(stream))
        try:
            while True:
                async with asyncio.timeout(_RECEIVE_TIMEOUT_SECONDS):
                    frame = await stream.recv_message()
                if frame is None:
                    raise LinkError('the leader closed the stream')
                if frame.leader_address:
                    self.leader = Address(frame.leader_address)
                    raise LinkError(f'the leader is {frame.leader_address}')
                self._handle_frame(frame)
                if frame.HasField('delta'):
                    self.beat_requested.notify()
        finally:
            beating.cancel()

    async def _send_beats(self, stream: WatchStream) -> None:
        while True:
            await self.beat_requested.wait(_BEAT_PERIOD_SECONDS)
            await self._send_beat(stream)

    async def _send_beat(
        self,
        stream: WatchStream,
        hello: RouterHello | None = None,
    ) -> None:
        self.hello.version = self.fleet.view.version
        beat = RouterBeat(
            sequence=self.fleet.lease.next_beat(),
            version=self.fleet.view.version,
            leaving=self.is_leaving(),
            usage=self.usage.unreported(),
            hello=hello,
        )
        self._add_quarantine_news(beat)
        self.fleet.traffic.count(_LINK, beat)
        await stream.send_message(beat)

    def _add_quarantine_news(self, beat: RouterBeat) -> None:
        quarantine = self.fleet.quarantine
        update, self.quarantine_position = quarantine.update_since(
            self.quarantine_position
        )
        if update.has_news:
            beat.quarantine.CopyFrom(encode_update(update, quarantine.now()))

    def _handle_frame(self, frame: ControlFrame) -> None:
        self.connected = True
        self.fleet.traffic.count(_LINK, frame)
        if frame.HasField('delta') and not self.fleet.view.apply(frame.delta):
            raise LinkError(
                f'delta {frame.delta.from_version}..{frame.delta.version} does '
                f'not follow version {self.fleet.view.version}',
            )
        if frame.HasField('directory'):
            self.fleet.directory.update(frame.directory)
        if frame.usage:
            self.usage.apply(list(frame.usage), int(frame.term))
        if frame.HasField('quarantine'):
            quarantine = self.fleet.quarantine
            update = decode_update(frame.quarantine, quarantine.now())
            quarantine.merge(update, _LINK)
        lease = frame.lease
        if frame.HasField('lease') and self.fleet.view.version >= lease.version:
            self.fleet.lease.renew(int(lease.sequence), lease.duration_ms / 1000)
