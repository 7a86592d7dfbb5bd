"""Which hubs a box knows, which of them it reaches, and which is nearest."""

from collections.abc import Iterable

from hitchdeck_core.clock import Clock
from hitchdeck_core.hashing import ranked
from hitchdeck_core.ids import Address, BoxName
from hitchdeck_core.signals import Signal

NAMED_SECONDS = 60.0
"""How long a hub is tried that no other hub names any more: longer than any
outage after which it may come back at its address."""


FIRST_DISTRUST_SECONDS = 1.0
"""After a first loss: about as long as the restart of a hub takes."""

DISTRUST_SECONDS = 8.0
"""After another loss soon after: links lose packets for some seconds."""


class HubBook:
    """Addresses of hubs: those from the settings and those learned.

    ``near`` holds the hubs of the box's own failure domain, as far as known,
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
        self.live: set[Address] = set()
        self.near: set[Address] = set()
        self.durable: set[Address] = set()
        self.distrusted: dict[Address, float] = {}
        self.changed = Signal()

    def addresses(self) -> list[Address]:
        """Return every hub to attend, without this process itself."""
        return sorted((self.seeds | set(self.learned)) - {self.own})

    def is_live(self, address: Address) -> bool:
        """Tell whether a hub answers."""
        return address in self.live

    def is_near(self, address: Address) -> bool:
        """Tell whether a hub is of the box's own failure domain, as far as known."""
        return address in self.near

    def introduce(self, address: Address, domain: str, *, durable: bool) -> None:
        """Note a hub's failure domain, and whether it has a disk."""
        if domain == self.domain:
            self.near.add(address)
        if durable:
            self.durable.add(address)

    def scheduler(self) -> Address | None:
        """Return the hub that schedules: the same for all who reach the same.

        Hubs with a disk go first: theirs are the larger boxes.
        """
        trusted = {one for one in self.live if not self._is_distrusted(one)}
        candidates = trusted & self.durable or trusted or self.live
        if not candidates:
            return None
        return Address(ranked('scheduler', candidates)[0])

    def distrust(self, address: Address) -> None:
        """Let another hub schedule for a while, after this one was lost.

        The first loss may be its restart; over a link that loses packets it
        would be lost again and again, so each further one counts for longer.
        """
        until = self.distrusted.get(address, 0)
        again = self.now() - until < DISTRUST_SECONDS
        pause = DISTRUST_SECONDS if again else FIRST_DISTRUST_SECONDS
        self.distrusted[address] = self.now() + pause

    def reach(self, address: Address) -> None:
        """Note that a hub answers."""
        self.live.add(address)
        self.changed.notify()

    def lose(self, address: Address) -> None:
        """Note that a hub does not answer.

        When it does again it is as good as new: boxes that had lost it once
        and those that had lost it twice must agree on one scheduler.
        """
        self.live.discard(address)
        self.distrusted.pop(address, None)

    def learn(self, addresses: Iterable[Address]) -> None:
        """Add hubs that another hub named, drop those not named for long."""
        known = set(self.learned)
        now = self.now()
        self.learned.update((address, now) for address in addresses)
        for address, named_at in list(self.learned.items()):
            if now - named_at > NAMED_SECONDS and address not in self.live:
                self.learned.pop(address)
        if known != set(self.learned):
            self.changed.notify()

    def reseed(self, seeds: Iterable[Address]) -> None:
        """Take new seeds from changed settings."""
        self.seeds = set(seeds)
        self.changed.notify()

    def home(self) -> Address | None:
        """Return the hub that gets this box's reports: near, then any.

        Boxes spread over the hubs of their domain by hash.
        """
        candidates = self.live & self.near or self.live
        if not candidates:
            return None
        return Address(ranked(self.box, candidates)[0])

    def _is_distrusted(self, address: Address) -> bool:
        return self.distrusted.get(address, 0) > self.now()
