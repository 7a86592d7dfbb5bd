"""The schedulers that many connected boxes exclude, which a hub tells to all boxes."""

import math

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address
from hitchdeck_core.wire.spread_pb2 import HubFrame
from hitchdeck_edge.hub.connected_boxes import ConnectedBox, ConnectedBoxes
from hitchdeck_edge.links.scheduler_exclusions import (
    MIN_LEFT_SECONDS,
    Exclusions,
    encode_exclusions,
    tally_exclusions,
)
from hitchdeck_edge.model.mechanisms import Mechanisms

AGREED_CACHE_SECONDS = 0.1
"""How long the merge over all boxes is cached, a fraction of the frame interval."""


class SchedulerAgreement:
    """Merges the exclusions that connected entry boxes report.

    A hub of a minority partition may announce what its few boxes report.  At most these
    boxes then use another hub that they reach, for the time left.

    Attributes
    ----------
    announced
        Exclusions that boxes were told of so far, the latest end of each.
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
        self.merged: Exclusions = {}
        self.merged_at = -math.inf

    def take_report(self, connected_box: ConnectedBox) -> bool:
        """Merge a box's last report; tell whether boxes must hear of it at once."""
        if not connected_box.excluded:
            return False
        self.latest_until = max(self.latest_until, *connected_box.excluded.values())
        return self._merge()

    def is_any_excluded(self) -> bool:
        """Tell whether some box has reported an exclusion that has not ended."""
        return self.now() < self.latest_until

    def agreed(self) -> Exclusions:
        """Return the exclusions that all boxes are to apply."""
        if not self.is_any_excluded():
            return {}
        if self.now() - self.merged_at >= AGREED_CACHE_SECONDS:
            self._merge()
        return self.merged

    def add_agreed(self, frame: HubFrame, connected_box: ConnectedBox) -> None:
        """Add the agreed exclusions to a frame to an entry box."""
        agreed = self.agreed()
        if agreed and not connected_box.hello.hub_address:
            messages = encode_exclusions(agreed, self.now())
            frame.excluded_schedulers.extend(messages)

    def _merge(self) -> bool:
        """Merge all reports; return whether an exclusion is new or much longer."""
        now = self.now()
        self.merged_at = now
        self.merged = {}
        if not self.mechanisms.agreed_exclusions:
            return False
        entries = self.connected_boxes.entry_boxes()
        reports = ((one.hello.domain, one.excluded) for one in entries)
        is_news = False
        for address, tally in tally_exclusions(reports, now).items():
            if not tally.is_agreed(len(entries), now):
                continue
            self.merged[address] = tally.until
            known = max(now, self.announced.get(address, 0))
            if tally.until - known >= MIN_LEFT_SECONDS:
                is_news = True
                self.announcements += 1
                self.announced[address] = tally.until
                logs.info(
                    'boxes exclude a scheduler',
                    hub=address,
                    left=round(tally.until - now, 3),
                    boxes=tally.boxes,
                    of=len(entries),
                    domains=sorted(tally.domains),
                )
        return is_news
