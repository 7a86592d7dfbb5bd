"""View of a scheduler while other hubs schedule too.

Load that this answers: for some seconds after a hub was frozen or cut off, or while its
failure domain loses packets, several hubs schedule, and accounts send ten times their
usual traffic.  Each scheduler knew only the requests of its own boxes: one refused
accounts within their share because of queues of 0.3 to 0.5 s, another one saw no queue
at the same engines and admitted accounts at four times their share.

Schedulers report to one another in the frames between hubs, and only while some box
excludes a scheduler or another scheduler reports.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

from hitchdeck_core import logs
from hitchdeck_core.ids import AccountName, Address, UpstreamName
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.spread_pb2 import BoxFrame
from hitchdeck_edge.hub.connected_boxes import ConnectedBox, ConnectedBoxes
from hitchdeck_edge.hub.placing import PlacingService
from hitchdeck_edge.hub.scheduler_agreement import SchedulerAgreement
from hitchdeck_edge.model.placing import Choice, PlacementQuery
from hitchdeck_edge.scheduling.scheduler import BoxTicket, Unplaced
from hitchdeck_edge.state.tallies import MAX_UINT32, Tally, total_of

REPORT_TTL_SECONDS = 2.0
"""Age up to which a report is used: four frames between hubs.  The boxes of a hub that
went silent have found another scheduler by then."""

REFRESH_SECONDS = 0.1
"""Interval at which decisions take new reports into account."""


def view_of_others(
    reported: Tally,
    attending: int,
    boxes_elsewhere: int,
    own_asked: Mapping[AccountName, float],
    fleet_asked: Mapping[AccountName, float],
) -> Tally:
    """Return the work and demand of the boxes that use other schedulers.

    A box that has just moved here has brought its open requests and its demand with it,
    and the last report of its former scheduler still holds them.

    Parameters
    ----------
    reported
        Work and demand that other schedulers reported.
    attending
        Number of boxes that use them, by these reports.
    boxes_elsewhere
        Number of boxes of the fleet that do not use this scheduler.
    own_asked, fleet_asked
        Tokens demanded by account, from this scheduler and in the fleet.  A scheduler
        counts the demand of boxes that left it until the window has passed.
    """
    fraction = min(1, max(0, boxes_elsewhere) / max(1, attending))
    asked: Counter[AccountName] = Counter()
    for account, tokens in reported.asked.items():
        at_others = fleet_asked.get(account, 0) - own_asked.get(account, 0)
        asked[account] = int(min(tokens, max(0, at_others)))
    return Tally(
        _scaled(reported.waiting, fraction), _scaled(reported.running, fraction), asked
    )


def _scaled(
    counts: Mapping[UpstreamName, int], fraction: float
) -> Counter[UpstreamName]:
    return Counter({name: round(count * fraction) for name, count in counts.items()})


class SharedView:
    """Adds what other schedulers report to the view of this hub's scheduler.

    Attributes
    ----------
    schedulers
        Other hubs that schedule.
    shared
        How many times other hubs began to schedule beside this one.
    """

    def __init__(
        self,
        placing: PlacingService,
        connected_boxes: ConnectedBoxes,
        agreement: SchedulerAgreement,
        changed: Signal,
    ) -> None:
        self.placing = placing
        self.scheduler = placing.scheduler
        self.connected_boxes = connected_boxes
        self.agreement = agreement
        self.changed = changed
        self.schedulers: frozenset[Address] = frozenset()
        self.shared = 0
        self.refreshed_at = -math.inf
        self._attempt_place = placing.queue.attempt
        placing.queue.attempt = self.attempt

    def attempt(self, key: BoxTicket, query: PlacementQuery) -> Choice | Unplaced:
        """Attempt to place a request, by what other schedulers reported so far."""
        self.refresh()
        return self._attempt_place(key, query)

    def refresh(self) -> None:
        """Update the view of the scheduler, at most every ``REFRESH_SECONDS``."""
        now = self.scheduler.now()
        if now - self.refreshed_at < REFRESH_SECONDS:
            return
        self.refreshed_at = now
        reports = self._reports()
        if not reports and not self.schedulers:
            return
        self._note_schedulers(reports)
        shares = self.scheduler.shares
        attending = sum(one.attending for one in reports)
        shares.asked.expire()
        reported = total_of(one.placed for one in reports)
        view = view_of_others(
            reported,
            attending,
            self.placing.fleet.largest() - self.placing.connected,
            shares.asked.tokens,
            self.connected_boxes.fleet_total().asked,
        )
        shares.others = view
        # Grants go with the demand that they are part of.
        counted = view.asked.total() / max(1, reported.asked.total())
        granted = int(sum(one.granted for one in reports) * counted)
        shares.others_granted = granted if reports else None
        self.scheduler.placement.open_work.others = view

    def add_report(self, frame: BoxFrame, hub: Address) -> None:
        """Add to a frame to another hub what that hub's scheduler lacks, if any."""
        connected = self.placing.connected
        if not connected or not self.scheduler.mechanisms.shared_view:
            return
        reports = self._reports()
        if not reports and not self.agreement.is_any_excluded():
            return
        frame.attending_boxes = connected
        if any(one.hello.hub_address == hub for one in reports):
            frame.placed_loads.extend(self.scheduler.placement.open_work.own.loads())
            shares = self.scheduler.shares
            frame.placed_demands.extend(shares.demands())
            frame.granted_tokens = min(MAX_UINT32, shares.granted.total)

    def _reports(self) -> list[ConnectedBox]:
        """Return the hubs that schedule, by their last reports."""
        if not self.scheduler.mechanisms.shared_view:
            return []
        oldest = self.scheduler.now() - REPORT_TTL_SECONDS
        return [
            one
            for one in self.connected_boxes.hub_boxes.values()
            if one.attending and one.last_frame >= oldest
        ]

    def _note_schedulers(self, reports: Sequence[ConnectedBox]) -> None:
        found = frozenset(Address(one.hello.hub_address) for one in reports)
        if found == self.schedulers:
            return
        logs.info(
            'other hubs schedule too' if found else 'no other hub schedules',
            hubs=sorted(found),
            attending=sum(one.attending for one in reports),
            own_attending=self.placing.connected,
            fleet=self.placing.fleet.largest(),
        )
        if found - self.schedulers:
            self.shared += 1
            # The others get this hub's report at once.
            self.changed.notify()
        self.schedulers = found
