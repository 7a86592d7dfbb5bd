"""Finding out whether an upstream ended, where a request's answer broke off.

A broken answer alone says little: links are reset, answers get lost.  A refused
connection after a broken response means that the upstream crashed, with all requests
in flight on it.
"""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hitchdeck_core import logs
from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.supervisor import Supervisor

Reaches = Callable[[], Awaitable[bool]]
"""Tells whether an upstream accepts connections and goes on running."""

SUSPICION_TTL_SECONDS = 10.0
"""Time for a new incarnation at the same address to confirm a suspected crash."""


@dataclass(frozen=True, slots=True)
class SuspectedCrash:
    """Requests in flight on an incarnation that may have crashed."""

    in_flight: frozenset[Fingerprint]
    since: float


class Endings:
    """Asks an upstream once, however many answers break off there at once.

    Attributes
    ----------
    probed
        Requests in flight on incarnations whose probe is running.
    suspected
        Incarnations that a probe found alive, and that may be the next ones.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        on_end: Callable[[UpstreamIncarnation], object],
    ) -> None:
        self.quarantine = quarantine
        self.on_end = on_end
        self.probed: dict[UpstreamIncarnation, set[Fingerprint]] = defaultdict(set)
        self.suspected: dict[UpstreamIncarnation, SuspectedCrash] = {}
        self.tasks = Supervisor('endings')

    def note(
        self, life: UpstreamIncarnation, content: Fingerprint, reaches: Reaches
    ) -> None:
        """Note that no whole answer to a content came from an upstream."""
        asked = life in self.probed
        self.probed[life].add(content)
        if not asked:
            self.tasks.temporary(life, self._ask(life, reaches))

    def confirm(self, life: UpstreamIncarnation) -> None:
        """Note that a life has surely ended, as its next one is known."""
        self._expire()
        crash = self.suspected.pop(life, None)
        in_flight = crash.in_flight if crash else frozenset()
        # A probe of this incarnation may still be running.
        in_flight |= self.probed.pop(life, set())
        if in_flight:
            self.quarantine.note_end(life, in_flight)

    async def _ask(self, life: UpstreamIncarnation, reaches: Reaches) -> None:
        try:
            alive = await reaches()
        finally:
            there = self.probed.pop(life, set())
        if not there:
            # Confirmed while the probe was running.
            return
        if alive:
            logs.info(
                'upstream accepts connections after a broken response',
                upstream=life,
                contents=[one.hex() for one in there],
            )
            self._suspect(life, there)
            return
        self.on_end(life)
        self.quarantine.note_end(life, there)

    def _suspect(self, life: UpstreamIncarnation, there: set[Fingerprint]) -> None:
        self._expire()
        before = self.suspected.pop(life, None)
        known = before.in_flight if before else frozenset()
        self.suspected[life] = SuspectedCrash(known | there, self.quarantine.now())

    def _expire(self) -> None:
        horizon = self.quarantine.now() - SUSPICION_TTL_SECONDS
        for life, crash in list(self.suspected.items()):
            if crash.since < horizon:
                self.suspected.pop(life)
