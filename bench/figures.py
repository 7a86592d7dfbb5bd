"""From what callers saw and engines recorded to figures."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass

from bench.load import Sample, Seen

_QUANTILES = (0.5, 0.95, 0.99)
_MILLISECONDS = 1000


@dataclass
class Figures:
    """One run."""

    requests: int
    gap_max: float
    gap_final: float
    utilisation: float
    waits: dict[str, list[float]]
    statuses: dict[str, int]

    def as_row(self) -> dict[str, object]:
        """Return the figures as one row."""
        return asdict(self)


def service_gap(
    seen: Seen,
    accounts: Iterable[str],
    window: tuple[float, float],
) -> list[tuple[float, float]]:
    """Return over time the gap in service since the window began.

    Only for accounts that were backlogged throughout.
    """
    totals = dict.fromkeys(accounts, 0.0)
    gaps = []
    for at, account, cost in sorted(seen.service):
        if not window[0] <= at <= window[1] or account not in totals:
            continue
        totals[account] += cost
        gaps.append((at, max(totals.values()) - min(totals.values())))
    return gaps


def utilisation(
    records: Iterable[list[dict[str, object]]],
    slots: int,
    window: tuple[float, float],
) -> float:
    """Return the share of slot time that engines were running requests."""
    busy = 0.0
    engines = 0
    for lines in records:
        engines += 1
        busy += _busy_seconds(lines, slots, window)
    return busy / (engines * slots * (window[1] - window[0]))


def waits(
    samples: Iterable[Sample], window: tuple[float, float]
) -> dict[str, list[float]]:
    """Return p50, p95, p99 of the time to the first token, in ms, by class."""
    by_class: dict[str, list[float]] = defaultdict(list)
    for sample in samples:
        if sample.first_at and window[0] <= sample.sent_at <= window[1]:
            name = 'urgent' if sample.urgent else 'other'
            by_class[name].append(sample.first_at - sample.sent_at)
    return {
        name: [
            round(_quantile(sorted(times), one) * _MILLISECONDS) for one in _QUANTILES
        ]
        for name, times in by_class.items()
    }


def _busy_seconds(
    lines: list[dict[str, object]],
    slots: int,
    window: tuple[float, float],
) -> float:
    """Integrate the running requests, no more than the slots."""
    changes: list[tuple[float, int]] = []
    begun = set()
    for line in lines:
        if line['event'] == 'begin':
            begun.add(line['request'])
            changes.append((float(str(line['at'])), 1))
        elif line['event'] == 'end' and line['request'] in begun:
            changes.append((float(str(line['at'])), -1))
    changes.sort()
    busy, running, last = 0.0, 0, window[0]
    changes.append((window[1], 0))
    for at, step in changes:
        moment = min(max(at, window[0]), window[1])
        busy += min(running, slots) * (moment - last)
        last = moment
        running += step
    return busy


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def at_time(gaps: list[tuple[float, float]], moment: float) -> float:
    """Return the gap at a moment."""
    position = bisect_left(gaps, (moment, 0.0))
    return gaps[min(position, len(gaps) - 1)][1]
