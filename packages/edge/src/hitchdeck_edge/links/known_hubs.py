"""Which hubs a box knows, which of them it reaches, and which is nearest."""

from collections.abc import Iterable

from hitchdeck_core.clock import Clock
from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.signals import Signal

LEARNED_HUB_TTL_SECONDS = 60.0
"""How long a hub is tried that no other hub names any more: longer than any
outage after which it may come back at its address."""


FIRST_EXCLUSION_SECONDS = 1.0
"""After a first loss: about as long as the restart of a hub takes."""

REPEAT_EXCLUSION_SECONDS = 8.0
"""After another loss soon after: links lose packets for some seconds."""


class KnownHubs:
    """Addresses of hubs: those from the settings and those learned.

    ``same_domain`` holds the hubs of the box's own failure domain, as far as known,
    and ``own`` is this process's address if it is a hub itself.
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
        self.changed = Signal()

    def addresses(self) -> list[Address]:
        """Return every hub to attend, without this process itself."""
        return sorted((self.seeds | set(self.learned)) - {self.own})

    def is_reachable(self, address: Address) -> bool:
        """Tell whether a hub answers."""
        return address in self.reachable

    def is_same_domain(self, address: Address) -> bool:
        """Tell whether a hub is of the box's own failure domain, as far as known."""
        return address in self.same_domain

    def set_properties(self, address: Address, domain: str, *, durable: bool) -> None:
        """Note a hub's failure domain, and whether it has a disk."""
        if domain == self.domain:
            self.same_domain.add(address)
        if durable:
            self.durable.add(address)

    def scheduler(self) -> Address | None:
        """Return the hub that schedules: the same for all who reach the same.

        Hubs with a disk go first: theirs are the larger boxes.
        """
        eligible = {one for one in self.reachable if not self._is_excluded(one)}
        candidates = eligible & self.durable or eligible or self.reachable
        if not candidates:
            return None
        return Address(ranked('scheduler', candidates)[0])

    def exclude_scheduler(self, address: Address) -> None:
        """Let another hub schedule for a while, after this one was lost.

        The first loss may be its restart; over a link that loses packets it
        would be lost again and again, so each further one counts for longer.
        """
        until = self.excluded_until.get(address, 0)
        again = self.now() - until < REPEAT_EXCLUSION_SECONDS
        pause = REPEAT_EXCLUSION_SECONDS if again else FIRST_EXCLUSION_SECONDS
        self.excluded_until[address] = self.now() + pause

    def mark_reachable(self, address: Address) -> None:
        """Note that a hub answers."""
        self.reachable.add(address)
        self.changed.notify()

    def mark_unreachable(self, address: Address) -> None:
        """Note that a hub does not answer.

        When it does again it is as good as new: boxes that had lost it once
        and those that had lost it twice must agree on one scheduler.
        """
        self.reachable.discard(address)
        self.excluded_until.pop(address, None)

    def add_learned(self, addresses: Iterable[Address]) -> None:
        """Add hubs that another hub named, drop those not named for long."""
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
        """Take new seeds from changed settings."""
        self.seeds = set(seeds)
        self.changed.notify()

    def report_hub(self) -> Address | None:
        """Return the hub that gets this box's reports: near, then any.

        Boxes spread over the hubs of their domain by hash.
        """
        candidates = self.reachable & self.same_domain or self.reachable
        if not candidates:
            return None
        return Address(ranked(self.box, candidates)[0])

    def _is_excluded(self, address: Address) -> bool:
        return self.excluded_until.get(address, 0) > self.now()
