"""HDR histograms per label set, with a bounded number of series.

Two significant digits over 1..10**7 take about 2,800 buckets, or 22 KB.  Three
digits would take ten times that, too much for hundreds of accounts in 32 MB.
"""

from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram

from hitchdeck_core.lazy_dataclasses import dataclass

_LOWEST = 1
_HIGHEST = 10_000_000
_DIGITS = 2
_QUANTILES = (50.0, 95.0, 99.0)
_PERCENT = 100


@dataclass(slots=True)
class _Series:
    histogram: HdrHistogram
    total: float
    last_used: float


@dataclass(frozen=True, slots=True)
class Summary:
    """Quantiles of a series, in the unit of the recorded amounts."""

    name: str
    labels: tuple[str, ...]
    count: int
    total: float
    quantiles: dict[float, int]


class Histograms:
    """All histograms of a process; the least recently used series is evicted."""

    def __init__(self, now: Callable[[], float], max_series: int = 400) -> None:
        self.now = now
        self.max_series = max_series
        self.series: dict[tuple[str, ...], _Series] = {}

    def record(self, name: str, labels: tuple[str, ...], amount: float) -> None:
        """Add a measurement to the series with this name and these label values."""
        series = self.series.get((name, *labels))
        if series is None:
            series = self._add_series((name, *labels))
        bounded = min(_HIGHEST, max(_LOWEST, round(amount)))
        series.histogram.record_value(bounded)
        series.total += amount
        series.last_used = self.now()

    def summaries(self) -> Iterator[Summary]:
        """Yield a summary of every series, ordered by name and labels."""
        for key in sorted(self.series):
            series = self.series[key]
            yield Summary(
                name=key[0],
                labels=key[1:],
                count=series.histogram.get_total_count(),
                total=series.total,
                quantiles={
                    quantile / _PERCENT: series.histogram.get_value_at_percentile(
                        quantile,
                    )
                    for quantile in _QUANTILES
                },
            )

    def _add_series(self, key: tuple[str, ...]) -> _Series:
        if len(self.series) >= self.max_series:
            idle = min(self.series, key=lambda one: self.series[one].last_used)
            self.series.pop(idle)
        series = _Series(HdrHistogram(_LOWEST, _HIGHEST, _DIGITS), 0, self.now())
        self.series[key] = series
        return series
