"""Merge of the schedulers that boxes exclude, so that all boxes use the same one.

Load that this answers: a hub that schedules is frozen or cut off, or its failure domain
loses packets, while accounts send ten times their usual traffic.  Boxes that lost the
scheduler used another one for 1 s or 8 s, each by its own clock, and the others went on
with it.  So two or three hubs scheduled for 15 s, each with its own view.

Exclusions are kept by the time of their end, and sent as the time left, since processes
have no common clock.  A box reports only the schedulers that it lost itself: if it also
reported what it heard from hubs, each exchange would extend an exclusion by the delay
of the messages, without end.
"""

from collections.abc import Iterable, Mapping
from dataclasses import field

from hitchdeck_core.ids import Address
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.wire.spread_pb2 import SchedulerExclusion

FIRST_EXCLUSION_SECONDS = 1.0
"""Exclusion after a first loss: about the time that a hub takes to restart.

It does not count for an agreement.  All boxes would move and move back within a second,
and requests that wait at the scheduler would be decided by their boxes alone.
"""

REPEAT_EXCLUSION_SECONDS = 8.0
"""Exclusion after a further loss soon after: packet loss lasts for some seconds.  It is
also the longest one that is accepted from another process."""

MIN_DOMAINS = 2
"""Failure domains whose boxes must have lost a scheduler before all boxes exclude it.
The trouble of one domain does not move the boxes of the others."""

MIN_BOXES_FRACTION = 0.125
"""Fraction of the entry boxes that must have lost it, for the same reason."""

MIN_LEFT_SECONDS = 0.5
"""Time left below which an exclusion is no longer announced.  Boxes look for another
scheduler every 0.5 s, and those that moved for less would only replace two streams."""

MAX_EXCLUSIONS = 32
"""Maximum number of exclusions read from one frame: more than there are hubs."""

_MILLISECONDS = 1000

Exclusions = Mapping[Address, float]
"""Until when each excluded scheduler is not used, in seconds."""


@dataclass(slots=True)
class ExclusionTally:
    """What the boxes report of one scheduler.

    Attributes
    ----------
    until
        Latest end of their exclusions.
    boxes
        Number of boxes that exclude it.
    domains
        Their failure domains.
    """

    until: float = 0
    boxes: int = 0
    domains: set[str] = field(default_factory=set)

    def is_agreed(self, entry_boxes: int) -> bool:
        """Tell whether all boxes of a fleet are to exclude the scheduler."""
        return (
            len(self.domains) >= MIN_DOMAINS
            and self.boxes >= MIN_BOXES_FRACTION * entry_boxes
        )


def tally_exclusions(
    reports: Iterable[tuple[str, Exclusions]], now: float
) -> dict[Address, ExclusionTally]:
    """Return the repeated losses that boxes report of each scheduler.

    Parameters
    ----------
    reports
        Failure domain and current exclusions of each box.
    """
    tallies: dict[Address, ExclusionTally] = {}
    for domain, excluded in reports:
        for address, until in excluded.items():
            if until - now > FIRST_EXCLUSION_SECONDS:
                tally = tallies.setdefault(address, ExclusionTally())
                tally.until = max(tally.until, until)
                tally.boxes += 1
                tally.domains.add(domain)
    return tallies


def merge_exclusions(
    known: Exclusions, heard: Exclusions, now: float
) -> dict[Address, float]:
    """Return the later end of each exclusion, without those that have ended."""
    latest = {
        address: max(known.get(address, 0), heard.get(address, 0))
        for address in known.keys() | heard.keys()
    }
    return {address: until for address, until in latest.items() if until > now}


def encode_exclusions(excluded: Exclusions, now: float) -> list[SchedulerExclusion]:
    """Return the messages of exclusions."""
    return [
        SchedulerExclusion(hub=address, left_ms=int((until - now) * _MILLISECONDS))
        for address, until in excluded.items()
        if until > now
    ]


def decode_exclusions(
    messages: Iterable[SchedulerExclusion], now: float
) -> dict[Address, float]:
    """Return the exclusions of messages, bounded in number and time."""
    first = list(messages)[:MAX_EXCLUSIONS]
    return {
        Address(one.hub): now
        + min(REPEAT_EXCLUSION_SECONDS, one.left_ms / _MILLISECONDS)
        for one in first
    }
