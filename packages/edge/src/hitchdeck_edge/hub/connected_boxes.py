"""The boxes with a stream to this hub, and the last report of each."""

import math
from collections.abc import Mapping
from dataclasses import field
from operator import attrgetter

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.loop_load import PERCENT
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Hello, HubFrame
from hitchdeck_edge.links.hub_streams import (
    MAX_MISSED_FRAMES,
    box_idle_interval,
    hub_idle_interval,
)
from hitchdeck_edge.links.scheduler_exclusions import Exclusions, decode_exclusions
from hitchdeck_edge.model.stream_origins import StreamKey
from hitchdeck_edge.state.headroom import capacity_percent, headroom
from hitchdeck_edge.state.tallies import Tally, tally_of, total_of

TOTAL_CACHE_SECONDS = 0.1
"""How long the total over the fleet is cached, a fraction of the report interval.

Computing it for each box's frame took a sixth of a hub's processor time (profile of
ten seconds, 88 boxes and 90 engines).
"""

MISSING_SECONDS = 60.0
"""How long a box that went silent is taken to be cut off.  It is the time for which
records of streams are kept at most."""

TOGETHER_SECONDS = 2.0
"""Time between the losses of a box and of its scheduler within which the box may not
have told another hub of a stream: the interval of frames, and the time to notice."""


@dataclass(slots=True)
class ConnectedBox:
    """One box on one stream.

    Attributes
    ----------
    hello
        First message of the stream: the identity and addresses of the box.
    last_frame
        When the last frame arrived, in seconds.
    max_silence
        Time without a frame after which the box counts as lost, in seconds.
    version
        Version of the document that the box has.
    evacuations
        Edition of the evacuation orders that the box has.
    ready
        Whether callers may be sent to the box.
    reports_to_this_hub
        Whether the box sends its load and demand to this hub.
    reported_boxes
        Number of entry boxes that report to this peer, if it is a hub.
    utilization
        Fraction of its time for which the box is busy, from 0 to 1.
    tally
        Load and demand that it last reported.
    excluded
        Schedulers that it excludes because it lost them itself.
    attending
        Number of boxes that use its scheduler, if it is a hub and says so.
    placed
        Work and demand of these boxes, as its scheduler knows them.
    granted
        Tokens that its scheduler granted of this demand.
    wanted_origins
        Streams whose origin it asked for and was not told yet.
    arrived
        Notified when a frame of the box has arrived.
    """

    hello: Hello
    last_frame: float
    max_silence: float
    version: int = 0
    evacuations: int = 0
    ready: bool = False
    reports_to_this_hub: bool = False
    reported_boxes: int = 0
    utilization: float = 0
    tally: Tally = field(default_factory=Tally)
    excluded: Exclusions = field(default_factory=dict)
    attending: int = 0
    placed: Tally = field(default_factory=Tally)
    granted: int = 0
    wanted_origins: list[StreamKey] = field(default_factory=list)
    arrived: Signal = field(default_factory=Signal)

    @property
    def capacity(self) -> float:
        """Return its processor time in reference cores, 0 if it states none."""
        return self.hello.capacity_percent / PERCENT

    @property
    def relief_headroom(self) -> float:
        """Return the processor time that it has for connections handed off to it."""
        return headroom(self.capacity, self.utilization, RELIEF_TARGET_UTILIZATION)


RELIEF_UTILIZATION = 0.5
"""A box above this utilization gets addresses of less busy boxes of its domain."""

EARLY_RELIEF_UTILIZATION = 0.25
"""The same for a box that states its capacity.  A flood fills a box within a second,
and frames are up to a second apart: it needs the addresses when handoff begins."""

RELIEF_TARGET_UTILIZATION = 0.35
"""A box below this utilization accepts connections handed off by other boxes."""

MAX_RELIEF_TARGETS = 8
"""Largest number of such addresses sent to one box."""

BoxKey = tuple[str, bool]
"""Name of the machine, and whether the process is its hub (or its entry box)."""


class ConnectedBoxes:
    """All hubs and entry boxes with a stream to this hub.

    Attributes
    ----------
    missing
        Entry boxes that were silent when their streams ended.  They may be cut off and
        serve callers.
    box_lost_at, hub_lost_at
        When the stream of an entry box, and that of another hub, ended last, in
        seconds.
    untold_until
        Until when streams may have begun of which no hub was told, in seconds: a box
        was lost together with a hub, which may have placed them, or while it was cut
        off.
    leaving
        Replicas of the hubs that said that they stop, also after their streams ended;
        a new stream to a hub means that it has started again.
    """

    def __init__(self, now: Clock, domain: str) -> None:
        self.now = now
        self.domain = domain
        self.boxes: dict[BoxKey, ConnectedBox] = {}
        self.hub_boxes: dict[BoxKey, ConnectedBox] = {}
        self.leaving: set[str] = set()
        self.missing: dict[BoxKey, ConnectedBox] = {}
        self.box_lost_at = -math.inf
        self.hub_lost_at = -math.inf
        self.untold_until = -math.inf
        self.sum = Tally()
        self.summed_at = -math.inf
        self.count = 0
        self.counted_at = -math.inf

    def register(self, hello: Hello) -> ConnectedBox:
        """Add a box that opened a stream; replaces an earlier incarnation of it."""
        # Computed once: every list of boxes compares it, hundreds of times a second.
        max_silence = MAX_MISSED_FRAMES * self._idle_interval(hello)
        connected_box = ConnectedBox(hello, self.now(), max_silence)
        key = _box_key(hello)
        earlier = self.missing.pop(key, self.boxes.get(key))
        if earlier is not None and _is_new_entry_box(earlier.hello, hello):
            # Its connections did not end with it, so that it was cut off before.
            self.untold_until = self.now()
        self.boxes[key] = connected_box
        if hello.hub_address:
            self.hub_boxes[_box_key(hello)] = connected_box
            self.leaving.discard(hello.replica)
        logs.info('box connected', attendee=hello.box, entry=hello.entry_address)
        return connected_box

    def unregister(self, connected_box: ConnectedBox) -> None:
        """Remove a box whose stream ended, unless a newer stream has replaced it."""
        key = _box_key(connected_box.hello)
        if self.boxes.get(key) is connected_box:
            self.boxes.pop(key)
            self.hub_boxes.pop(key, None)
            self._record_loss(key, connected_box)
            logs.info('box disconnected', attendee=connected_box.hello.box)

    def record_frame(self, connected_box: ConnectedBox, frame: BoxFrame) -> None:
        """Store what a frame of a box reports."""
        connected_box.last_frame = self.now()
        connected_box.version = int(frame.version)
        connected_box.evacuations = int(frame.evacuations)
        connected_box.ready = frame.ready
        connected_box.reports_to_this_hub = frame.wants_reports
        connected_box.reported_boxes = int(frame.boxes)
        connected_box.utilization = frame.busy_percent / PERCENT
        if frame.leaving:
            self.leaving.add(connected_box.hello.replica)
        if frame.wants_reports or connected_box.hello.hub_address:
            connected_box.tally = tally_of(frame)
        if frame.attending_boxes or connected_box.attending:
            connected_box.attending = int(frame.attending_boxes)
            connected_box.granted = int(frame.granted_tokens)
            connected_box.placed = tally_of(
                BoxFrame(loads=frame.placed_loads, demands=frame.placed_demands)
            )
        if frame.excluded_schedulers or connected_box.excluded:
            connected_box.excluded = decode_exclusions(
                frame.excluded_schedulers, connected_box.last_frame
            )

    def gets_updates_at_once(self, connected_box: ConnectedBox) -> bool:
        """Tell whether updates go to a box at once, not with its next idle frame."""
        same_domain = connected_box.hello.domain == self.domain
        return (
            same_domain
            or connected_box.reports_to_this_hub
            or bool(connected_box.hello.hub_address)
        )

    def entry_boxes(self) -> list[ConnectedBox]:
        """Return the live entry boxes, ready for callers or not."""
        return [one for one in self._alive() if one.hello.entry_address]

    def ready_entries(self) -> list[ConnectedBox]:
        """Return the live entry boxes that are ready for callers."""
        return [one for one in self._alive() if one.hello.entry_address and one.ready]

    def misses_entry_boxes(self) -> bool:
        """Tell whether an entry box may begin streams of which this hub is not told.

        A process that ended closed its connections.  One that went silent may be cut
        off; once it returns, it tells of all the streams that it began.
        """
        until = self.now() - MISSING_SECONDS
        for key, one in list(self.missing.items()):
            if one.last_frame < until:
                self.missing.pop(key)
        entries = (one for one in self.boxes.values() if one.hello.entry_address)
        return bool(self.missing) or not all(map(self._is_alive, entries))

    def relief_targets_for(self, connected_box: ConnectedBox) -> list[Address]:
        """Return boxes to which an overloaded box may hand off connections."""
        return [
            Address(one.hello.relief_address) for one in self._relief_for(connected_box)
        ]

    def add_relief_targets(self, frame: HubFrame, connected_box: ConnectedBox) -> None:
        """Add these boxes to a frame, with headroom if the box states its capacity."""
        targets = self._relief_for(connected_box)
        frame.relief.extend(one.hello.relief_address for one in targets)
        if connected_box.capacity:
            frame.relief_headroom_percent.extend(
                capacity_percent(one.relief_headroom) for one in targets
            )

    def hubs(self) -> list[ConnectedBox]:
        """Return the live hubs."""
        # Called for every frame, so it must not iterate over all boxes.
        return self._alive(self.hub_boxes)

    def hub_addresses(self) -> set[Address]:
        """Return the addresses of the live hubs."""
        return {Address(one.hello.hub_address) for one in self.hubs()}

    def reporting_boxes(self) -> list[ConnectedBox]:
        """Return the live entry boxes that report to this hub."""
        return [one for one in self._alive() if one.reports_to_this_hub]

    def reporting_total(self) -> Tally:
        """Return the total load and demand of the boxes that report to this hub."""
        return total_of(one.tally for one in self.reporting_boxes())

    def fleet_total(self) -> Tally:
        """Return the total over the fleet: own boxes and those relayed by other hubs.

        The tally is cached for ``TOTAL_CACHE_SECONDS`` and must not be modified.
        """
        if self.now() - self.summed_at >= TOTAL_CACHE_SECONDS:
            reporting = self.reporting_boxes() + self.hubs()
            self.sum = total_of(one.tally for one in reporting)
            self.summed_at = self.now()
        return self.sum

    def box_count(self) -> int:
        """Return the known number of entry boxes in the fleet.

        The count is cached for ``TOTAL_CACHE_SECONDS``.
        """
        if self.now() - self.counted_at >= TOTAL_CACHE_SECONDS:
            reported = sum(one.reported_boxes for one in self.hubs())
            self.count = max(
                len(self.reporting_boxes()) + reported, len(self.ready_entries())
            )
            self.counted_at = self.now()
        return self.count

    def _idle_interval(self, hello: Hello) -> float:
        """Return the interval of idle frames between a box and this hub, in seconds."""
        same_domain = hello.domain == self.domain
        return (
            hub_idle_interval(same_domain)
            if hello.hub_address
            else box_idle_interval(same_domain)
        )

    def _relief_for(self, connected_box: ConnectedBox) -> list[ConnectedBox]:
        level = (
            EARLY_RELIEF_UTILIZATION if connected_box.capacity else RELIEF_UTILIZATION
        )
        if connected_box.utilization <= level or not connected_box.hello.relief_address:
            return []
        able = [
            one
            for one in self.ready_entries()
            if one.hello.relief_address
            and one.hello.domain == connected_box.hello.domain
            and one.utilization < RELIEF_TARGET_UTILIZATION
        ]
        able.sort(key=attrgetter('relief_headroom'), reverse=True)
        return able[:MAX_RELIEF_TARGETS]

    def _alive(
        self, boxes: Mapping[BoxKey, ConnectedBox] | None = None
    ) -> list[ConnectedBox]:
        known = self.boxes if boxes is None else boxes
        return [one for one in known.values() if self._is_alive(one)]

    def _record_loss(self, key: BoxKey, connected_box: ConnectedBox) -> None:
        now = self.now()
        if connected_box.hello.hub_address:
            self.hub_lost_at = now
        else:
            self.box_lost_at = now
            if not self._is_alive(connected_box):
                self.missing[key] = connected_box
        if abs(self.box_lost_at - self.hub_lost_at) < TOGETHER_SECONDS:
            self.untold_until = now

    def _is_alive(self, connected_box: ConnectedBox) -> bool:
        return self.now() - connected_box.last_frame <= connected_box.max_silence


def _is_new_entry_box(earlier: Hello, hello: Hello) -> bool:
    is_entry_box = bool(hello.entry_address)
    return is_entry_box and earlier.incarnation != hello.incarnation


def _box_key(hello: Hello) -> BoxKey:
    return (hello.box, bool(hello.hub_address))
