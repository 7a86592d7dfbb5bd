"""What an entry box says to hubs, and does with what they say."""

import math
import secrets

from hitchdeck_core.busyness import PERCENT, busy_part
from hitchdeck_core.ids import Address
from hitchdeck_core.quarantine.messages import encode_update
from hitchdeck_core.quarantine.quarantine import SYNC_START, SyncPosition
from hitchdeck_core.wire.spread_pb2 import BoxFrame, Hello, HubFrame
from hitchdeck_edge.dispatch.budget import RepeatBudget
from hitchdeck_edge.links.attend import Attendance, box_idle, box_pause
from hitchdeck_edge.links.hubs import HubBook
from hitchdeck_edge.links.intake import take_news
from hitchdeck_edge.links.records import encode_suspicion
from hitchdeck_edge.settings import EntrySettings
from hitchdeck_edge.state.fleet_state import FleetState
from hitchdeck_edge.state.relief import ReliefTargets
from hitchdeck_edge.state.tallies import Tally, tally_of

DIGEST_SECONDS = 5.0
"""How long a box goes by the last sum of what the others have open, when no hub
passes it on.  Taking the others to do as itself, the only box in reach of a
flooded domain expected 24 times its own queue and refused 74 of 100 requests
while engines were free."""


class EntryLink:
    """An entry box, as the hubs see it."""

    def __init__(
        self,
        settings: EntrySettings,
        known: FleetState,
        budget: RepeatBudget,
        targets: ReliefTargets,
    ) -> None:
        self.settings = settings
        self.known = known
        self.budget = budget
        self.targets = targets
        self.ready = False
        self.urgent = known.quarantine.changed
        self.told: dict[Address, SyncPosition] = {}
        self.told_changes: dict[Address, int] = {}
        self.incarnation = secrets.token_hex(4)
        self.home: Address | None = None
        self.heard = -math.inf
        self._count_alone()

    def attendance(self, book: HubBook) -> Attendance:
        """Return how this box attends the hubs."""

        def accept(address: Address, frame: HubFrame) -> None:
            self._accept(address, frame, is_home=book.home() == address)

        return Attendance(
            self.compose, accept, self.lose, self.urgent, box_idle, box_pause
        )

    def compose(self, hub: Address, home: bool, first: bool) -> BoxFrame:
        """Return the next frame for a hub."""
        self._forget_others()
        frame = BoxFrame(
            version=self.known.documents.version,
            evacuations=self.known.evacuations.edition,
            ready=self.ready,
            wants_reports=home,
            busy_percent=round(PERCENT * busy_part()),
        )
        if first:
            frame.hello.CopyFrom(self._hello())
            self.told.pop(hub, None)
            self.told_changes.pop(hub, None)
        if home:
            self._report(frame)
        self._tell_news(hub, frame)
        self._tell_suspicions(hub, frame)
        return frame

    def lose(self, hub: Address) -> None:
        """Go by what was last heard for a while, then by this box's own books."""
        if hub == self.home:
            self.home = None
        self._forget_others()

    def announce(self, *, ready: bool) -> None:
        """Tell every hub at once whether callers may be sent here."""
        if ready != self.ready:
            self.ready = ready
            self.urgent.notify()

    def _accept(self, hub: Address, frame: HubFrame, *, is_home: bool) -> None:
        known = self.known
        take_news(hub, frame, known)
        self.targets.offer(frame.relief)
        if not is_home:
            return
        self.home = hub
        self.heard = self.known.open_work.now()
        if frame.boxes:
            self.budget.boxes = int(frame.boxes)
        self._count_others(tally_of(frame), assumed_boxes=1)

    def _forget_others(self) -> None:
        """Stop to count on what the others had open too long ago."""
        if self.known.open_work.now() - self.heard > DIGEST_SECONDS:
            self._count_alone()

    def _count_alone(self) -> None:
        """Take the other boxes to do as this one, while nothing tells.

        Otherwise each box would take all engines for its own: after a restart
        a quarter of what boxes placed by themselves began late.
        """
        self._count_others(Tally(), assumed_boxes=max(1, self.budget.boxes))

    def _count_others(self, tally: Tally, *, assumed_boxes: int) -> None:
        open_work = self.known.open_work
        shares = self.known.scheduler.shares
        open_work.others = tally
        shares.others = tally
        open_work.assumed_boxes = assumed_boxes
        shares.assumed_boxes = assumed_boxes

    def _tell_news(self, hub: Address, frame: BoxFrame) -> None:
        """Add what a hub lacks of the ends and verdicts that this box knows."""
        quarantine = self.known.quarantine
        told = self.told.get(hub, SYNC_START)
        news, self.told[hub] = quarantine.update_since(told)
        if news.crashes or news.verdicts:
            frame.quarantine.CopyFrom(encode_update(news, quarantine.now()))

    def _tell_suspicions(self, hub: Address, frame: BoxFrame) -> None:
        """Add the suspected crashes that a hub may be able to clear.

        The hub that raised one may be cut off from the one that gets the reports.
        """
        registry = self.known.registry
        told = self.told_changes.get(hub, 0)
        if registry.changes == told:
            return
        self.told_changes[hub] = registry.changes
        fresh = registry.suspicions_since(told)
        frame.suspicions.extend(encode_suspicion(one) for one in fresh)

    def _report(self, frame: BoxFrame) -> None:
        frame.loads.extend(self.known.open_work.own.loads())
        frame.demands.extend(self.known.scheduler.shares.demands())

    def _hello(self) -> Hello:
        return Hello(
            box=self.settings.box,
            incarnation=self.incarnation,
            domain=self.settings.domain,
            entry_address=self.settings.listen,
            relief_address=self.settings.relief_listen or '',
        )
