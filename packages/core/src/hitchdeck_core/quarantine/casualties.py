"""Which contents were open at upstreams that ended, and which are to blame."""

from collections import defaultdict, deque
from dataclasses import dataclass

from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.fingerprints import Fingerprint

ENOUGH_LIVES = 3
"""Upstreams that must have ended under a content.  A wave of crashes takes a request
that is resumed along twice: of 60 that broke off beside a lethal one, four did so at
two ends and none at three (logs of eight ends in nine seconds)."""

REMEMBERED_SECONDS = 600.0
"""How long an end is remembered: a lethal request that comes every minute or two is
still told, one upstream lost every four minutes is not taken for its work."""

MOST_REMEMBERED = 4096
"""Pairs of content and life: 64 requests open at each of 64 ends."""


@dataclass(frozen=True, slots=True)
class Casualty:
    """An upstream's life that ended while a content was open there."""

    content: Fingerprint
    life: UpstreamIncarnation


class Casualties:
    """Pairs of a content and the life of an upstream that ended under it."""

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.by_content: dict[Fingerprint, set[UpstreamIncarnation]] = defaultdict(set)
        self.by_life: dict[UpstreamIncarnation, set[Fingerprint]] = defaultdict(set)
        self.order: deque[tuple[float, Casualty]] = deque()

    def add(self, casualty: Casualty) -> bool:
        """Note that a life ended under a content; tell whether that is news."""
        self._expire()
        if self.has(casualty):
            return False
        self.by_content[casualty.content].add(casualty.life)
        self.by_life[casualty.life].add(casualty.content)
        self.order.append((self.now(), casualty))
        return True

    def has(self, casualty: Casualty) -> bool:
        """Tell whether this is known, and neither too old nor forgotten."""
        return casualty.life in self.by_content.get(casualty.content, ())

    def blames(self, content: Fingerprint) -> bool:
        """Tell whether a content is what enough upstreams ended under.

        An end speaks against the content that was there at most ends, and not
        against those that happened to be open beside it.
        """
        lives = self.by_content.get(content, set())
        against = [life for life in lives if not self._is_explained(life, len(lives))]
        return len(against) >= ENOUGH_LIVES

    def forget(self, content: Fingerprint) -> None:
        """Forget what speaks against a content."""
        for life in list(self.by_content.get(content, ())):
            self._forget(Casualty(content, life))

    def _is_explained(self, life: UpstreamIncarnation, times: int) -> bool:
        """Tell whether another content of a life was at more ends than ``times``."""
        return any(len(self.by_content[one]) > times for one in self.by_life[life])

    def _expire(self) -> None:
        horizon = self.now() - REMEMBERED_SECONDS
        while self.order and (
            self.order[0][0] < horizon or len(self.order) >= MOST_REMEMBERED
        ):
            _, casualty = self.order.popleft()
            self._forget(casualty)

    def _forget(self, casualty: Casualty) -> None:
        """Drop a casualty, and what is empty without it."""
        lives = self.by_content[casualty.content]
        lives.discard(casualty.life)
        if not lives:
            self.by_content.pop(casualty.content)
        there = self.by_life[casualty.life]
        there.discard(casualty.content)
        if not there:
            self.by_life.pop(casualty.life)
