"""Boxes to which a box that is short of processor time hands off connections."""

import math
import random
from collections.abc import Iterable, Sequence

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address

TARGETS_TTL_SECONDS = 2.5
"""Time for which boxes are used after a hub last listed them."""

UNREACHABLE_SECONDS = 2.0
"""Time for which a box is not used after it could not be reached."""


class ReliefTargets:
    """The boxes that a hub listed last as targets for handed-off connections.

    Attributes
    ----------
    weights
        Headroom of each of the boxes; empty if it is not known.
    named_at
        Time of that list on the local clock.
    unreachable_until
        Boxes that are not used, with the time until which they are not.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.addresses: tuple[Address, ...] = ()
        self.weights: dict[Address, int] = {}
        self.named_at = -math.inf
        self.unreachable_until: dict[Address, float] = {}

    def offer(self, addresses: Iterable[str], headroom: Sequence[int] = ()) -> None:
        """Replace the targets by those that a hub lists, unless the list is empty.

        Parameters
        ----------
        headroom
            Processor time that each target has left; empty if it is not known.
        """
        named = tuple(Address(one) for one in addresses)
        if named:
            self.addresses = named
            known = len(headroom) == len(named)
            self.weights = dict(zip(named, headroom, strict=True)) if known else {}
            self.named_at = self.now()

    def choose(self) -> Address | None:
        """Return a random usable box, or ``None`` if there is none.

        Boxes are chosen in proportion to their headroom if it is known.
        """
        now = self.now()
        if now - self.named_at > TARGETS_TTL_SECONDS:
            return None
        trusted = [
            one for one in self.addresses if self.unreachable_until.get(one, 0) < now
        ]
        if not trusted:
            return None
        weights = [self.weights.get(one, 1) for one in trusted]
        return random.choices(trusted, weights)[0]

    def mark_unreachable(self, address: Address) -> None:
        """Do not use a box for ``UNREACHABLE_SECONDS``."""
        now = self.now()
        kept = {
            one: until for one, until in self.unreachable_until.items() if until > now
        }
        self.unreachable_until = {**kept, address: now + UNREACHABLE_SECONDS}
