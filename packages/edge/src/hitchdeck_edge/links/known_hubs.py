"""The hubs that a box knows: which are reachable, schedule, or relay its reports."""

from collections.abc import Iterable

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.signals import Signal
from hitchdeck_edge.links.scheduler_exclusions import (
    FIRST_EXCLUSION_SECONDS,
    MIN_LEFT_SECONDS,
    REPEAT_EXCLUSION_SECONDS,
    Exclusions,
    merge_exclusions,
)

LEARNED_HUB_TTL_SECONDS = 60.0
"""How long a learned hub is kept after other hubs last named it.

This is longer than any outage after which a hub may return at its address.
"""


class KnownHubs:
    """Addresses of hubs, from the settings and learned from other hubs.

    Attributes
    ----------
    own
        Address of this process if it is a hub itself.
    learned
        When each learned hub was last named by another hub, in seconds.
    reachable
        Hubs with an established stream.
    same_domain
        Hubs known to be in the box's own failure domain.
    durable
        Hubs known to have a disk.
    excluded_until
        Until when each lost scheduler is not used again, in seconds.
    agreed_until
        The same for schedulers that hubs report as lost by many boxes.
    adopted
        How many times such an exclusion was adopted or extended.
    excluded
        Notified when this box excludes a scheduler again that it still reaches.  A
        crash ends all streams of a hub, so that every box finds it by itself.
    changed
        Notified when hubs are added, removed or reached.
    """

    def __init__(
        self,
        box: BoxName,
        domain: str,
        seeds: Iterable[Address],
        now: Clock,
    ) -> None:
        self.box = box
        self.domain = domain
        self.now = now
        self.own: Address | None = None
        self.seeds = set(seeds)
        self.learned: dict[Address, float] = {}
        self.reachable: set[Address] = set()
        self.same_domain: set[Address] = set()
        self.durable: set[Address] = set()
        self.excluded_until: dict[Address, float] = {}
        self.agreed_until: dict[Address, float] = {}
        self.adopted = 0
        self.excluded = Signal()
        self.changed = Signal()

    def addresses(self) -> list[Address]:
        """Return every hub to connect to, without this process itself."""
        return sorted((self.seeds | set(self.learned)) - {self.own})

    def is_reachable(self, address: Address) -> bool:
        """Tell whether the stream to a hub is established."""
        return address in self.reachable

    def is_same_domain(self, address: Address) -> bool:
        """Tell whether a hub is known to be in the box's failure domain."""
        return address in self.same_domain

    def set_properties(self, address: Address, domain: str, *, durable: bool) -> None:
        """Record the failure domain of a hub and whether it has a disk."""
        if domain == self.domain:
            self.same_domain.add(address)
        if durable:
            self.durable.add(address)

    def scheduler(self) -> Address | None:
        """Return the hub that schedules; boxes that reach the same hubs agree on it.

        Hubs with a disk are preferred, as they run on larger boxes.
        """
        eligible = {one for one in self.reachable if not self._is_excluded(one)}
        candidates = eligible & self.durable or eligible or self.reachable
        if not candidates:
            return None
        return Address(ranked('scheduler', candidates)[0])

    def exclude_scheduler(self, address: Address) -> None:
        """Exclude a lost hub from scheduling for a while, so that another one is used.

        A first loss may be a restart of the hub.  A link with packet loss would lose
        it repeatedly, so a further loss excludes it for longer.
        """
        until = self.excluded_until.get(address, 0)
        is_new = until <= self.now()
        again = self.now() - until < REPEAT_EXCLUSION_SECONDS
        pause = REPEAT_EXCLUSION_SECONDS if again else FIRST_EXCLUSION_SECONDS
        self.excluded_until[address] = self.now() + pause
        if again and is_new and address in self.reachable:
            self.excluded.notify()

    def own_exclusions(self) -> Exclusions:
        """Return the exclusions of schedulers that this box lost itself."""
        return merge_exclusions(self.excluded_until, {}, self.now())

    def adopt_exclusions(self, heard: Exclusions, told_by: Address) -> None:
        """Exclude schedulers that many boxes lost, as a hub reports them.

        They are kept while their hub is unreachable, so that they end at all boxes at
        the same time.
        """
        now = self.now()
        for address, until in heard.items():
            known = max(now, self.agreed_until.get(address, 0))
            if until - known >= MIN_LEFT_SECONDS:
                self.adopted += 1
                logs.info(
                    'scheduler excluded with the other boxes',
                    hub=address,
                    told_by=told_by,
                    left=round(until - now, 3),
                    own_left=round(self.excluded_until.get(address, 0) - now, 3),
                )
        self.agreed_until = merge_exclusions(self.agreed_until, heard, now)

    def mark_reachable(self, address: Address) -> None:
        """Record that the stream to a hub is established."""
        self.reachable.add(address)
        self.changed.notify()

    def mark_unreachable(self, address: Address) -> None:
        """Record that a hub is unreachable.

        This also ends its exclusion: once it is reachable again, boxes that lost it
        once and boxes that lost it twice have to agree on one scheduler.
        """
        self.reachable.discard(address)
        self.excluded_until.pop(address, None)
        if not self.reachable:
            # Boxes and hubs that start anew do not know of these exclusions.
            self.agreed_until.clear()

    def add_learned(self, addresses: Iterable[Address]) -> None:
        """Add hubs named by another hub; drop unreachable ones not named recently."""
        known = set(self.learned)
        now = self.now()
        self.learned.update((address, now) for address in addresses)
        for address, named_at in list(self.learned.items()):
            if (
                now - named_at > LEARNED_HUB_TTL_SECONDS
                and address not in self.reachable
            ):
                self.learned.pop(address)
        if known != set(self.learned):
            self.changed.notify()

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds after a change of the settings."""
        self.seeds = set(seeds)
        self.changed.notify()

    def report_hub(self) -> Address | None:
        """Return the hub that relays this box's reports: in its domain if possible.

        Boxes are spread over the hubs of their domain by rendezvous hashing.
        """
        candidates = self.reachable & self.same_domain or self.reachable
        if not candidates:
            return None
        return Address(ranked(self.box, candidates)[0])

    def _is_excluded(self, address: Address) -> bool:
        own = self.excluded_until.get(address, 0)
        return max(own, self.agreed_until.get(address, 0)) > self.now()
