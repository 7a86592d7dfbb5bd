"""Counters and latency histograms of an entry box."""

from collections import Counter

from hitchdeck_core.clock import Clock
from hitchdeck_core.histograms import Histograms
from hitchdeck_edge.model.document import RouteName
from hitchdeck_edge.model.passage import Passage

MS = 1000.0
SERIES = 60
"""Most histograms kept: a few for each account and route in use."""


SMOOTHING = 0.05
"""Weight of the newest duration: some twenty of them make most of the mean."""

UNKNOWN_SECONDS = 1.0
"""Taken for the duration of a route that was not used yet."""


class Gauges:
    """What is served on the metrics address."""

    def __init__(self, now: Clock) -> None:
        self.histograms = Histograms(now, SERIES)
        self.outcomes: Counter[str] = Counter()
        self.accounts: Counter[tuple[str, str]] = Counter()
        self.durations: dict[RouteName, float] = {}

    def served(self, passage: Passage, outcome: str, seconds: float) -> None:
        """Count a request that was dispatched."""
        self._measure(passage.route.name, seconds)
        self.outcomes[outcome] += 1
        account = passage.account or ''
        self.accounts[(account, outcome)] += 1
        kind = 'stream' if passage.route.streams else 'call'
        self.histograms.record('request_ms', (kind,), seconds * MS)

    def usual_seconds(self, route: RouteName) -> float:
        """Return how long requests of a route take in the mean."""
        return self.durations.get(route, UNKNOWN_SECONDS)

    def ended(self, outcome: str) -> None:
        """Count a request that ended without being dispatched."""
        self.outcomes[outcome] += 1

    def text(self) -> str:
        """Return all figures in the Prometheus text form."""
        lines = [
            f'hitchdeck_requests_total{{outcome="{name}"}} {count}'
            for name, count in sorted(self.outcomes.items())
        ]
        lines.extend(
            f'hitchdeck_account_requests_total'
            f'{{account="{account}",outcome="{outcome}"}} {count}'
            for (account, outcome), count in sorted(self.accounts.items())
        )
        for summary in self.histograms.summaries():
            label = ','.join(summary.labels)
            lines.extend(
                f'hitchdeck_{summary.name}'
                f'{{kind="{label}",quantile="{quantile}"}} {level}'
                for quantile, level in summary.quantiles.items()
            )
            lines.append(
                f'hitchdeck_{summary.name}_count{{kind="{label}"}} {summary.count}',
            )
        return '\n'.join([*lines, ''])

    def _measure(self, route: RouteName, seconds: float) -> None:
        mean = self.durations.get(route, seconds)
        self.durations[route] = mean + SMOOTHING * (seconds - mean)
