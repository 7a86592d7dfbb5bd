"""Frames that a hub exchanges with the other hubs."""

import asyncio
import secrets

from hitchdeck_control.raft.replica import Replica
from hitchdeck_core.ids import Address
from hitchdeck_core.ticks import until_tick
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Hello, HubFrame
from hitchdeck_edge.hub import formation
from hitchdeck_edge.hub.liveness import Liveness
from hitchdeck_edge.hub.shared_view import SharedView
from hitchdeck_edge.hub.spread import HubState
from hitchdeck_edge.links.hub_frames import apply_hub_frame
from hitchdeck_edge.links.hub_streams import (
    StreamHandlers,
    hub_idle_interval,
    hub_send_interval,
)
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.settings import HubSettings


class HubPeer:
    """Represents this process's hub on its streams to other hubs."""

    def __init__(
        self,
        state: HubState,
        liveness: Liveness,
        replica: Replica | None,
        settings: HubSettings,
        shared_view: SharedView | None = None,
    ) -> None:
        self.state = state
        self.liveness = liveness
        self.replica = replica
        self.settings = settings
        self.shared_view = shared_view
        self.incarnation = secrets.token_hex(4)

    def stream_handlers(self, known_hubs: KnownHubs) -> StreamHandlers:
        """Return the handlers for the streams to other hubs."""

        def on_frame(address: Address, frame: HubFrame) -> None:
            apply_hub_frame(address, frame, self.state)
            if frame.founder:
                self.state.founder = Address(frame.founder)
            if self.replica is not None:
                known_hubs.add_learned(
                    Address(one.address) for one in self.replica.members()
                )

        return StreamHandlers(
            self.next_frame,
            on_frame,
            self.on_loss,
            self.state.changed,
            hub_idle_interval,
            hub_send_interval,
        )

    def next_frame(self, hub: Address, is_report_hub: bool, first: bool) -> BoxFrame:
        """Return the next frame for another hub."""
        own = self.state.connected_boxes.reporting_total()
        frame = BoxFrame(
            version=self.state.documents.version,
            evacuations=self.state.evacuations.edition,
            loads=own.loads(),
            demands=own.demands(),
            boxes=len(self.state.connected_boxes.reporting_boxes()),
            heard=self.liveness.heard_since_last_frame(hub),
            leaving=self._is_leaving(),
        )
        if first:
            frame.hello.CopyFrom(self._hello())
        if self.shared_view is not None:
            self.shared_view.add_report(frame, hub)
        return frame

    def on_loss(self, hub: Address) -> None:
        """Forget what a lost hub was sent: a new stream starts with everything."""
        self.liveness.last_sent.pop(hub, None)

    async def found_when_named(self, replica: Replica) -> None:
        """Found the group once this hub is named as the founder; runs forever."""
        while True:
            named = self.state.founder == self.state.address
            fresh = self.settings.may_found and not replica.members()
            if named and fresh:
                await formation.found_group_alone(replica)
            await asyncio.sleep(until_tick(formation.GROUP_CHECK_SECONDS))

    def _is_leaving(self) -> bool:
        replica = self.replica
        leaving = self.state.connected_boxes.leaving
        return replica is not None and replica.identity.replica in leaving

    def _hello(self) -> Hello:
        replica = self.replica
        empty = replica is not None and not replica.members()
        return Hello(
            box=self.settings.box,
            incarnation=self.incarnation,
            domain=self.settings.domain,
            hub_address=self.settings.listen,
            replica=replica.identity.replica if replica else '',
            may_found=self.settings.may_found and empty,
        )
