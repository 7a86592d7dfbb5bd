"""Trials: single requests by which a quarantine of a part may end.

While nothing with a part is sent, no answer can show that it is sound.  So a box sends
one request with it after some time: its answer ends the quarantine everywhere, and a
crash renews it.
"""

import random
from collections.abc import Callable

from hitchdeck_core.clock import Clock
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.verdicts import Verdict

FIRST_TRIAL_SECONDS = 30.0
"""Time from a first verdict to the first trial: a wrong one ends after it."""

LATER_TRIAL_SECONDS = 600.0
"""Time to the next trial once one has failed."""

TRIAL_SPACING_SECONDS = 10.0
"""Mean time between the trials of two boxes; the outcome of one reaches all in it."""


class Trials:
    """Decides when this process may send a request with a quarantined part.

    Attributes
    ----------
    box_count
        Returns the number of boxes in the fleet, over which trials are spread.
    place
        Random number from 0 to 1 that orders the trials of different boxes.
    tried
        When this process last sent a request with a quarantined part.
    """

    def __init__(self, now: Clock, place: float | None = None) -> None:
        self.now = now
        self.box_count: Callable[[], float] = _alone
        self.place = random.random() if place is None else place
        self.tried: dict[Fingerprint, float] = {}

    def is_due(self, verdict: Verdict) -> bool:
        """Tell whether a request may be sent as a trial now."""
        wait = LATER_TRIAL_SECONDS if verdict.failed_trials else FIRST_TRIAL_SECONDS
        spread = TRIAL_SPACING_SECONDS * self.box_count()
        due_at = verdict.since + wait + self.place * spread
        last = self.tried.get(verdict.fingerprint)
        if last is not None:
            # The last one ended without an answer and without a crash.
            due_at = max(due_at, last + FIRST_TRIAL_SECONDS + spread)
        return self.now() >= due_at

    def begin(self, part: Fingerprint) -> None:
        """Record that a request with a quarantined part is sent."""
        self.tried[part] = self.now()

    def keep(self, parts: set[Fingerprint]) -> None:
        """Forget the trials of all other parts."""
        for part in self.tried.keys() - parts:
            self.tried.pop(part)


def _alone() -> float:
    return 1
