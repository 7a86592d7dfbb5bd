"""The schedulers that many connected boxes exclude, which a hub tells to all boxes."""

import math

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address
from hitchdeck_core.wire.spread_pb2 import HubFrame
from hitchdeck_edge.hub.connected_boxes import ConnectedBox, ConnectedBoxes
from hitchdeck_edge.links.scheduler_exclusions import (
    MIN_LEFT_SECONDS,
    encode_exclusions,
    merge_exclusions,
    tally_exclusions,
)
from hitchdeck_edge.model.mechanisms import Mechanisms

MAX_GAP_SECONDS = 1.5
"""Time without any frame after which this hub counts as frozen meanwhile: a box sends
one every second at least."""

SETTLE_SECONDS = 1.0
"""How long reports are ignored after a start or a freeze.  Most boxes connect within
this time, and old frames, whose time left is out of date, are read.  Boxes repeat
reports."""


class SchedulerAgreement:
    """Merges the exclusions that connected entry boxes report.

    Attributes
    ----------
    announced
        The scheduler that all boxes are to exclude, if any, and until when.  It is
        announced until then, so that boxes that start meanwhile exclude it too.  There
        is one at a time: if load made boxes lose one scheduler after the other, the
        fleet would go through all hubs.
    announcements
        How many times an exclusion was announced or extended.
    """

    def __init__(
        self, connected_boxes: ConnectedBoxes, now: Clock, mechanisms: Mechanisms
    ) -> None:
        self.connected_boxes = connected_boxes
        self.now = now
        self.mechanisms = mechanisms
        self.announced: dict[Address, float] = {}
        self.announcements = 0
        self.latest_until = -math.inf
        self.heard_at = -math.inf
        self.settled_at = -math.inf

    def take_report(self, connected_box: ConnectedBox) -> bool:
        """Merge a box's last frame; tell whether boxes must hear of it at once."""
        now = self.now()
        if now - self.heard_at > MAX_GAP_SECONDS:
            self.settled_at = now + SETTLE_SECONDS
        self.heard_at = now
        if not connected_box.excluded:
            return False
        if now < self.settled_at:
            connected_box.excluded = {}
            return False
        reported = connected_box.excluded
        self.latest_until = max(self.latest_until, *reported.values())
        may_be_news = any(self._is_news(one, reported[one], now) for one in reported)
        return may_be_news and self.mechanisms.agreed_exclusions and self._merge(now)

    def is_any_excluded(self) -> bool:
        """Tell whether some box has reported an exclusion that has not ended."""
        return self.now() < self.latest_until

    def add_agreed(self, frame: HubFrame, connected_box: ConnectedBox) -> None:
        """Add the agreed exclusion to a frame to an entry box."""
        if not self.announced or connected_box.hello.hub_address:
            return
        now = self.now()
        if self.mechanisms.agreed_exclusions:
            lasting = {
                address: until
                for address, until in self.announced.items()
                if until - now >= MIN_LEFT_SECONDS
            }
            frame.excluded_schedulers.extend(encode_exclusions(lasting, now))

    def _is_news(self, address: Address, until: float, now: float) -> bool:
        """Tell whether an exclusion is new, or longer by enough to matter."""
        known = max(now, self.announced.get(address, 0))
        return until - known >= MIN_LEFT_SECONDS

    def _merge(self, now: float) -> bool:
        """Merge all reports; return whether an exclusion is announced or extended."""
        self.announced = merge_exclusions(self.announced, {}, now)
        entries = self.connected_boxes.entry_boxes()
        fleet = max(len(entries), self.connected_boxes.box_count())
        reports = ((one.hello.domain, one.excluded) for one in entries)
        for address, tally in tally_exclusions(reports, now).items():
            if not tally.is_agreed(fleet) or self.announced.keys() - {address}:
                continue
            if self._is_news(address, tally.until, now):
                self.announcements += 1
                self.announced[address] = tally.until
                logs.info(
                    'boxes exclude a scheduler',
                    hub=address,
                    left=round(tally.until - now, 3),
                    boxes=tally.boxes,
                    of=fleet,
                    domains=sorted(tally.domains),
                )
                return True
        return False
