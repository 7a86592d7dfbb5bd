"""Finding out whether an upstream ended, where a request's answer broke off.

A broken answer alone says little: links are reset, answers get lost.  Whoever can't
be connected to right after it has ended, together with all that was open there.
"""

from collections import defaultdict
from collections.abc import Awaitable, Callable

from hitchdeck_core.ids import LifeId
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.supervisor import Supervisor

Reaches = Callable[[], Awaitable[bool]]
"""Tells whether an upstream takes connections."""


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
        self.tasks = Supervisor('endings')

    def note(self, life: LifeId, content: Fingerprint, reaches: Reaches) -> None:
        """Note that no whole answer to a content came from an upstream."""
        asked = life in self.suspects
        self.suspects[life].add(content)
        if not asked:
            self.tasks.temporary(life, self._ask(life, reaches))

    async def _ask(self, life: LifeId, reaches: Reaches) -> None:
        try:
            alive = await reaches()
        finally:
            there = self.suspects.pop(life)
        if not alive:
            self.on_end(life)
            self.quarantine.note_end(life, there)
