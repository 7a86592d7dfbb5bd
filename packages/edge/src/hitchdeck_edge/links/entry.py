"""Frames that an entry box exchanges with the hubs."""

import math
import secrets

from hitchdeck_core.ids import Address
from hitchdeck_core.loop_load import PERCENT, loop_utilization
from hitchdeck_core.quarantine.messages import encode_update
from hitchdeck_core.quarantine.quarantine import SYNC_START, SyncPosition
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Hello, HubFrame
from hitchdeck_edge.dispatch.budget import RetryBudget
from hitchdeck_edge.links.hub_frames import apply_hub_frame
from hitchdeck_edge.links.hub_streams import (
    StreamHandlers,
    box_idle_interval,
    box_send_interval,
)
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.links.origin_messages import decode_origins, encode_origins
from hitchdeck_edge.links.records import encode_suspicion
from hitchdeck_edge.links.scheduler_exclusions import (
    decode_exclusions,
    encode_exclusions,
)
from hitchdeck_edge.model.stream_origins import StreamKey
from hitchdeck_edge.settings import EntrySettings
from hitchdeck_edge.state.fleet_state import FleetState
from hitchdeck_edge.state.headroom import capacity_percent
from hitchdeck_edge.state.relief import ReliefTargets
from hitchdeck_edge.state.tallies import Tally, tally_of

DIGEST_TTL_SECONDS = 5.0
"""How long a box uses the last totals of the other boxes if no hub relays new ones.

Afterwards it assumes that the others have the same load as itself.  With that
assumption from the start, the only reachable box of an overloaded domain estimated 24
times its own queue and rejected 74 of 100 requests while engines were free.
"""


MS_PER_SECOND = 1000


class EntryLink:
    """Represents this entry box on its streams to the hubs.

    Attributes
    ----------
    ready
        Whether callers may be sent to this box.
    wake
        Sends the next frames at once when notified.
    sent_positions
        Position in the quarantine's updates up to which each hub has been sent them.
    sent_origins
        Number of this box's origins of streams that each hub has been sent.
    sent_changes
        Change number of the registry up to which each hub has been sent suspicions.
    report_hub
        Hub that last relayed the totals of the other boxes.
    digest_at
        When these totals last arrived, in seconds.
    """

    def __init__(
        self,
        settings: EntrySettings,
        known: FleetState,
        budget: RetryBudget,
        targets: ReliefTargets,
    ) -> None:
        self.settings = settings
        self.known = known
        self.budget = budget
        self.targets = targets
        self.ready = False
        self.wake = known.quarantine.changed
        self.sent_positions: dict[Address, SyncPosition] = {}
        self.sent_origins: dict[Address, int] = {}
        self.sent_changes: dict[Address, int] = {}
        self.incarnation = secrets.token_hex(4)
        self.report_hub: Address | None = None
        self.digest_at = -math.inf
        known.quarantine.parts.trials.box_count = lambda: budget.boxes
        self._assume_others_alike()

    def stream_handlers(self, known_hubs: KnownHubs) -> StreamHandlers:
        """Return the handlers for the streams to the hubs."""

        def on_frame(address: Address, frame: HubFrame) -> None:
            self._apply_frame(
                address, frame, is_report_hub=known_hubs.report_hub() == address
            )
            self._adopt_exclusions(address, frame, known_hubs)

        def next_frame(hub: Address, is_report_hub: bool, first: bool) -> BoxFrame:
            frame = self.next_frame(hub, is_report_hub, first)
            if self.settings.scheduler_agreement and known_hubs.excluded_until:
                excluded = known_hubs.own_exclusions()
                frame.excluded_schedulers.extend(
                    encode_exclusions(excluded, known_hubs.now())
                )
            return frame

        self.known.origin_lookup.hubs = lambda: known_hubs.reachable
        if self.settings.scheduler_agreement:
            # Hubs hear of a repeated loss at once, so that all boxes move together.
            known_hubs.excluded = self.wake
        return StreamHandlers(
            next_frame,
            on_frame,
            self.on_loss,
            self.wake,
            box_idle_interval,
            box_send_interval,
        )

    def next_frame(self, hub: Address, is_report_hub: bool, first: bool) -> BoxFrame:
        """Return the next frame for a hub."""
        self._expire_digest()
        frame = BoxFrame(
            version=self.known.documents.version,
            evacuations=self.known.evacuations.edition,
            ready=self.ready,
            wants_reports=is_report_hub,
            busy_percent=round(PERCENT * loop_utilization()),
        )
        if first:
            frame.hello.CopyFrom(self._hello())
            self.sent_positions.pop(hub, None)
            self.sent_changes.pop(hub, None)
            self.sent_origins.pop(hub, None)
        if is_report_hub:
            self._add_report(frame)
        self._add_quarantine(hub, frame)
        self._add_suspicions(hub, frame)
        self._add_origins(hub, frame)
        return frame

    def on_loss(self, hub: Address) -> None:
        """Handle the loss of a hub: the last totals are used until they expire."""
        self.known.origin_lookup.forget_hub(hub)
        if hub == self.report_hub:
            self.report_hub = None
        self._expire_digest()

    def announce(self, *, ready: bool) -> None:
        """Notify every hub at once whether callers may be sent to this box."""
        if ready != self.ready:
            self.ready = ready
            self.wake.notify()

    def _apply_frame(
        self, hub: Address, frame: HubFrame, *, is_report_hub: bool
    ) -> None:
        known = self.known
        apply_hub_frame(hub, frame, known)
        self.targets.offer(frame.relief, frame.relief_headroom_percent)
        if frame.origins or frame.unknown_origins:
            unknown = (StreamKey(int(key)) for key in frame.unknown_origins)
            complete_seconds = frame.origins_complete_ms / MS_PER_SECOND
            found = decode_origins(frame.origins)
            known.origin_lookup.apply(hub, found, unknown, complete_seconds)
        if not is_report_hub:
            return
        self.report_hub = hub
        self.digest_at = self.known.open_work.now()
        if frame.boxes:
            self.budget.boxes = int(frame.boxes)
        self._set_others(tally_of(frame), assumed_boxes=1)

    def _adopt_exclusions(
        self, hub: Address, frame: HubFrame, known_hubs: KnownHubs
    ) -> None:
        settings = self.settings
        if not (settings.scheduler_agreement and settings.mechanisms.agreed_exclusions):
            return
        if frame.excluded_schedulers:
            heard = decode_exclusions(frame.excluded_schedulers, known_hubs.now())
            known_hubs.adopt_exclusions(heard, hub)

    def _expire_digest(self) -> None:
        """Drop the totals of the other boxes once they are too old."""
        if self.known.open_work.now() - self.digest_at > DIGEST_TTL_SECONDS:
            self._assume_others_alike()

    def _assume_others_alike(self) -> None:
        """Assume the same load on the other boxes as on this one.

        Otherwise each box would count all engines as its own: after a restart, a
        quarter of the requests that boxes placed by themselves started late.
        """
        self._set_others(Tally(), assumed_boxes=max(1, self.budget.boxes))

    def _set_others(self, tally: Tally, *, assumed_boxes: int) -> None:
        open_work = self.known.open_work
        shares = self.known.scheduler.shares
        open_work.others = tally
        shares.others = tally
        open_work.assumed_boxes = assumed_boxes
        shares.assumed_boxes = assumed_boxes

    def _add_quarantine(self, hub: Address, frame: BoxFrame) -> None:
        """Add the crashes and verdicts that a hub has not been sent yet."""
        quarantine = self.known.quarantine
        position = self.sent_positions.get(hub, SYNC_START)
        update, self.sent_positions[hub] = quarantine.update_since(position)
        if update.has_news:
            frame.quarantine.CopyFrom(encode_update(update, quarantine.now()))

    def _add_suspicions(self, hub: Address, frame: BoxFrame) -> None:
        """Add suspected crashes, for the hub that gets the reports to clear them.

        The hub that raised a suspicion may be partitioned from that hub.
        """
        registry = self.known.registry
        last_change = self.sent_changes.get(hub, 0)
        if registry.changes == last_change:
            return
        self.sent_changes[hub] = registry.changes
        fresh = registry.suspicions_since(last_change)
        frame.suspicions.extend(encode_suspicion(one) for one in fresh)

    def _add_origins(self, hub: Address, frame: BoxFrame) -> None:
        """Add the streams that began since the last frame, and those to look up."""
        lookup = self.known.origin_lookup
        sent = self.sent_origins.get(hub, 0)
        fresh, self.sent_origins[hub] = lookup.origins.own_since(sent)
        frame.origins.extend(encode_origins(fresh))
        frame.wanted_origins.extend(lookup.take_wanted(hub))

    def _add_report(self, frame: BoxFrame) -> None:
        frame.loads.extend(self.known.open_work.own.loads())
        frame.demands.extend(self.known.scheduler.shares.demands())

    def _hello(self) -> Hello:
        return Hello(
            box=self.settings.box,
            incarnation=self.incarnation,
            domain=self.settings.domain,
            entry_address=self.settings.listen,
            relief_address=self.settings.relief_listen or '',
            capacity_percent=capacity_percent(self.settings.capacity),
        )
