"""The boxes that attend this hub, and what each last reported."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from operator import attrgetter

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address
from hitchdeck_core.loop_load import PERCENT
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Hello
from hitchdeck_edge.links.attend import SILENT_FRAMES, box_idle, hub_idle
from hitchdeck_edge.state.tallies import Tally, tally_of, total_of

SUM_SECONDS = 0.1
"""How long the sum over the fleet is kept: a third of the time between reports.
Made anew for each box's frame it took a sixth of a hub's processor time (profile
of ten seconds, 88 boxes and 90 engines)."""


@dataclass(slots=True)
class Attendee:
    """One box on one stream; ``busy`` is the part of its time that it works."""

    hello: Hello
    last_frame: float
    version: int = 0
    evacuations: int = 0
    ready: bool = False
    reports_here: bool = False
    boxes: int = 0
    busy: float = 0
    tally: Tally = field(default_factory=Tally)


RELIEF_FROM = 0.5
"""Utilization from which a box is sent addresses of idle boxes of its domain."""

RELIEF_UP_TO = 0.35
"""Utilization up to which a box takes connections from others."""

MOST_RELIEF = 8
"""Addresses that it is sent."""

Place = tuple[str, bool]
"""A machine's name, and whether its hub or its entry box is meant."""


class Attendees:
    """All hubs and entry boxes that attend this hub."""

    def __init__(self, now: Clock, domain: str) -> None:
        self.now = now
        self.domain = domain
        self.boxes: dict[Place, Attendee] = {}
        self.hub_boxes: dict[Place, Attendee] = {}
        self.sum = Tally()
        self.summed_at = -math.inf
        self.count = 0
        self.counted_at = -math.inf

    def enter(self, hello: Hello) -> Attendee:
        """Start the record of a box; it replaces that of an earlier life."""
        attendee = Attendee(hello, self.now())
        self.boxes[_place(hello)] = attendee
        if hello.hub_address:
            self.hub_boxes[_place(hello)] = attendee
        logs.info('box attends', attendee=hello.box, entry=hello.entry_address)
        return attendee

    def leave(self, attendee: Attendee) -> None:
        """End the record of a box, unless a newer stream has replaced it."""
        place = _place(attendee.hello)
        if self.boxes.get(place) is attendee:
            self.boxes.pop(place)
            self.hub_boxes.pop(place, None)
            logs.info('box left', attendee=attendee.hello.box)

    def note(self, attendee: Attendee, frame: BoxFrame) -> None:
        """Take what a box reports."""
        attendee.last_frame = self.now()
        attendee.version = int(frame.version)
        attendee.evacuations = int(frame.evacuations)
        attendee.ready = frame.ready
        attendee.reports_here = frame.wants_reports
        attendee.boxes = int(frame.boxes)
        attendee.busy = frame.busy_percent / PERCENT
        if frame.wants_reports or attendee.hello.hub_address:
            attendee.tally = tally_of(frame)

    def idle(self, attendee: Attendee) -> float:
        """Return the seconds between idle frames of a box or hub and this hub."""
        near = attendee.hello.domain == self.domain
        return hub_idle(near) if attendee.hello.hub_address else box_idle(near)

    def hears_at_once(self, attendee: Attendee) -> bool:
        """Tell whether a box or hub is sent news when it comes."""
        near = attendee.hello.domain == self.domain
        return near or attendee.reports_here or bool(attendee.hello.hub_address)

    def entries(self) -> list[Attendee]:
        """Return the entry boxes that are alive and ready."""
        return [one for one in self._alive() if one.hello.entry_address and one.ready]

    def relief_for(self, attendee: Attendee) -> list[Address]:
        """Return boxes that take connections from one that is short of time."""
        if attendee.busy <= RELIEF_FROM or not attendee.hello.relief_address:
            return []
        able = [
            one
            for one in self.entries()
            if one.hello.relief_address
            and one.hello.domain == attendee.hello.domain
            and one.busy < RELIEF_UP_TO
        ]
        able.sort(key=attrgetter('busy'))
        return [Address(one.hello.relief_address) for one in able[:MOST_RELIEF]]

    def hubs(self) -> list[Attendee]:
        """Return the hubs that are alive."""
        # Asked for with every frame: it must not look at every box.
        return self._alive(self.hub_boxes)

    def hub_addresses(self) -> set[Address]:
        """Return the addresses of the hubs that are alive."""
        return {Address(one.hello.hub_address) for one in self.hubs()}

    def own_boxes(self) -> list[Attendee]:
        """Return the entry boxes that report to this hub."""
        return [one for one in self._alive() if one.reports_here]

    def own_total(self) -> Tally:
        """Return the sum over the boxes that report to this hub."""
        return total_of(one.tally for one in self.own_boxes())

    def total(self) -> Tally:
        """Return the sum over the fleet: own boxes and what hubs passed on.

        Nobody may change it, and it is up to ``SUM_SECONDS`` old.
        """
        if self.now() - self.summed_at >= SUM_SECONDS:
            reporting = self.own_boxes() + self.hubs()
            self.sum = total_of(one.tally for one in reporting)
            self.summed_at = self.now()
        return self.sum

    def box_count(self) -> int:
        """Return how many entry boxes the fleet has, as far as known.

        It is up to ``SUM_SECONDS`` old.
        """
        if self.now() - self.counted_at >= SUM_SECONDS:
            reported = sum(one.boxes for one in self.hubs())
            self.count = max(len(self.own_boxes()) + reported, len(self.entries()))
            self.counted_at = self.now()
        return self.count

    def _alive(self, boxes: Mapping[Place, Attendee] | None = None) -> list[Attendee]:
        now = self.now()
        known = self.boxes if boxes is None else boxes
        return [
            one
            for one in known.values()
            if now - one.last_frame <= SILENT_FRAMES * self.idle(one)
        ]


def _place(hello: Hello) -> Place:
    return (hello.box, bool(hello.hub_address))
