"""Finding out whether an upstream ended, where a request's answer broke off.

A broken answer alone says little: links are reset, answers get lost.  Whoever can't
be connected to right after it has ended, together with all that was open there.
"""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hitchdeck_core.ids import LifeId
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.supervisor import Supervisor

Reaches = Callable[[], Awaitable[bool]]
"""Tells whether an upstream takes connections."""

UNSURE_SECONDS = 10.0
"""How long a life stays in doubt that took a connection: it may be the next one that
did, started at once at the same address, and that is told within some seconds."""


@dataclass(frozen=True, slots=True)
class Doubt:
    """What was open at a life that may have ended, and when that was."""

    there: frozenset[Fingerprint]
    since: float


class Endings:
    """Asks an upstream once, however many answers break off there at once."""

    def __init__(
        self,
        quarantine: Quarantine,
        on_end: Callable[[LifeId], object],
    ) -> None:
        self.quarantine = quarantine
        self.on_end = on_end
        self.suspects: dict[LifeId, set[Fingerprint]] = defaultdict(set)
        self.unsure: dict[LifeId, Doubt] = {}
        self.tasks = Supervisor('endings')

    def note(self, life: LifeId, content: Fingerprint, reaches: Reaches) -> None:
        """Note that no whole answer to a content came from an upstream."""
        asked = life in self.suspects
        self.suspects[life].add(content)
        if not asked:
            self.tasks.temporary(life, self._ask(life, reaches))

    def confirm(self, life: LifeId) -> None:
        """Note that a life has surely ended, as its next one is known."""
        self._forget_old()
        doubt = self.unsure.pop(life, None)
        if doubt is not None:
            self.quarantine.note_end(life, doubt.there)

    async def _ask(self, life: LifeId, reaches: Reaches) -> None:
        try:
            alive = await reaches()
        finally:
            there = self.suspects.pop(life)
        if alive:
            self._doubt(life, there)
            return
        self.on_end(life)
        self.quarantine.note_end(life, there)

    def _doubt(self, life: LifeId, there: set[Fingerprint]) -> None:
        self._forget_old()
        before = self.unsure.pop(life, None)
        known = before.there if before else frozenset()
        self.unsure[life] = Doubt(known | there, self.quarantine.now())

    def _forget_old(self) -> None:
        horizon = self.quarantine.now() - UNSURE_SECONDS
        for life, doubt in list(self.unsure.items()):
            if doubt.since < horizon:
                self.unsure.pop(life)
