"""Crashes at one moment, which may have one cause, such as the failure of a rack."""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.fingerprints import Fingerprint

MOMENT_SECONDS = 0.1
"""Time within which crashes count as simultaneous."""

CRASHES_PER_CONTENT = 2
"""Crashes that count against a part of a prompt for each request with it: what a single
request brings that is retried is charged to the request."""

MAX_OTHERS = 1
"""Upstreams without a request that may crash at the same moment as one with it, so that
the crash still counts against the request."""

Crash = tuple[float, Fingerprint]
"""The time of a crash, and the content of a request in flight."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """Crashes that count against a part, and at how many moments they happened."""

    crashes: int
    moments: int


def weigh_crashes(crashes: Iterable[Crash], others: Sequence[float]) -> Evidence:
    """Return the evidence of crashes against a part.

    Where others crash at the same moment without the part, its crashes count once.  A
    request that is retried at once is in flight on one upstream after the other, so its
    crashes are not simultaneous.

    Parameters
    ----------
    others
        Times of the crashes at which the part was not in flight, in order.
    """
    count, moments = 0, 0
    for moment in _moments(sorted(crashes)):
        if _count_between(others, moment[0][0], moment[-1][0]):
            count += 1
            moments += 1
            continue
        repeated = max(Counter(content for _, content in moment).values())
        count += len(moment)
        moments += min(repeated, CRASHES_PER_CONTENT)
    return Evidence(count, moments)


def count_apart(times: Iterable[float], others: Sequence[float]) -> int:
    """Return how many crashes happened apart from a failure of several upstreams."""
    return len([at for at in times if _count_between(others, at, at) <= MAX_OTHERS])


def _moments(crashes: Iterable[Crash]) -> Iterator[list[Crash]]:
    moment: list[Crash] = []
    for crash in crashes:
        if moment and crash[0] - moment[0][0] > MOMENT_SECONDS:
            yield moment
            moment = []
        moment.append(crash)
    if moment:
        yield moment


def _count_between(others: Sequence[float], first: float, last: float) -> int:
    start = bisect_left(others, first - MOMENT_SECONDS)
    return bisect_right(others, last + MOMENT_SECONDS) - start
