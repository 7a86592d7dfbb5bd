"""Boxes that take connections from one that is short of processor time."""

import math
import random
from collections.abc import Iterable

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address

TARGETS_TTL_SECONDS = 2.5
"""Time after which boxes that no hub names any more are not used."""

UNREACHABLE_SECONDS = 2.0
"""Time for which a box is not used that could not be reached."""


class ReliefTargets:
    """The boxes that hubs have named of late."""

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.addresses: tuple[Address, ...] = ()
        self.named_at = -math.inf
        self.unreachable_until: dict[Address, float] = {}

    def offer(self, addresses: Iterable[str]) -> None:
        """Take the boxes that a hub names; none changes nothing."""
        named = tuple(Address(one) for one in addresses)
        if named:
            self.addresses = named
            self.named_at = self.now()

    def choose(self) -> Address | None:
        """Return a box at random, ``None`` where none is known."""
        now = self.now()
        if now - self.named_at > TARGETS_TTL_SECONDS:
            return None
        trusted = [
            one for one in self.addresses if self.unreachable_until.get(one, 0) < now
        ]
        return random.choice(trusted) if trusted else None

    def mark_unreachable(self, address: Address) -> None:
        """Use a box no more for a while."""
        now = self.now()
        kept = {
            one: until for one, until in self.unreachable_until.items() if until > now
        }
        self.unreachable_until = {**kept, address: now + UNREACHABLE_SECONDS}
