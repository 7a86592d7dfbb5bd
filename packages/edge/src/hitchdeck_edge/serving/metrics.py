"""Counters and latency histograms of an entry box."""

from collections import Counter

from hitchdeck_core.clock import Clock
from hitchdeck_core.histograms import Histograms
from hitchdeck_core.loop_load import PERCENT, loop_utilization
from hitchdeck_edge.model.document import RouteName
from hitchdeck_edge.model.request_context import THIS_BOX, RequestContext

MS_PER_SECOND = 1000.0
MAX_HISTOGRAMS = 60
"""Most histograms kept: a few for each account and route in use."""


DURATION_DECAY = 0.997
"""What each further request leaves of the longest duration: some hundreds of
requests, a minute or more of a busy box, halve it."""

DEFAULT_DURATION_SECONDS = 5.0
"""Taken for the longest duration of a route of which too little is known."""

MIN_OBSERVED_SECONDS = 10.0
"""How long a route must be in use here before those that ended tell of the others:
longer than a grace.  Two streams that a stopping box took by what had ended within a
second outlasted its grace of 8 s."""


class EntryMetrics:
    """What is served on the metrics address.

    ``longest_turn`` is the longest time without a look at any socket, of late,
    in seconds; ``placed_locally`` counts what this box placed by itself;
    ``unwilling_upstreams`` is how many upstreams want nothing from it;
    ``upstream_changes``
    counts the changes of their records, ``handed_off`` the connections that another
    box took.
    """

    def __init__(self, now: Clock) -> None:
        self.histograms = Histograms(now, MAX_HISTOGRAMS)
        self.outcomes: Counter[str] = Counter()
        self.accounts: Counter[tuple[str, str]] = Counter()
        self.now = now
        self.durations: dict[RouteName, float] = {}
        self.first_opened: dict[RouteName, float] = {}
        self.placed_locally = 0
        self.longest_turn = 0.0
        self.unwilling_upstreams = 0
        self.upstream_changes = 0
        self.handed_off = 0

    def record_served(
        self, context: RequestContext, outcome: str, seconds: float
    ) -> None:
        """Count a request that was dispatched."""
        self.record_duration(context.route.name, seconds)
        self.outcomes[outcome] += 1
        account = context.account or ''
        self.accounts[(account, outcome)] += 1
        self.placed_locally += context.decided_by == THIS_BOX
        kind = 'stream' if context.route.streams else 'call'
        self.histograms.record('request_ms', (kind,), seconds * MS_PER_SECOND)

    def longest_seconds(self, route: RouteName) -> float:
        """Return how long requests of a route took at the longest of late."""
        recent = self.durations.get(route, 0)
        observed_seconds = self.now() - self.first_opened.get(route, self.now())
        return (
            recent
            if observed_seconds > MIN_OBSERVED_SECONDS
            else max(recent, DEFAULT_DURATION_SECONDS)
        )

    def record_admitted(self, route: RouteName) -> None:
        """Note a request that was taken."""
        self.first_opened.setdefault(route, self.now())

    def record_duration(self, route: RouteName, seconds: float) -> None:
        """Note how long a request of a route took."""
        longest = self.durations.get(route, 0) * DURATION_DECAY
        self.durations[route] = max(longest, seconds)

    def record_undispatched(self, outcome: str) -> None:
        """Count a request that ended without being dispatched."""
        self.outcomes[outcome] += 1

    def render(self) -> str:
        """Return all figures in the Prometheus text form."""
        lines = [
            f'hitchdeck_busy_percent {PERCENT * loop_utilization():.0f}',
            f'hitchdeck_longest_turn_ms {MS_PER_SECOND * self.longest_turn:.0f}',
            f'hitchdeck_placed_alone_total {self.placed_locally}',
            f'hitchdeck_upstreams_unwilling {self.unwilling_upstreams}',
            f'hitchdeck_upstream_changes_total {self.upstream_changes}',
            f'hitchdeck_handed_on_total {self.handed_off}',
        ]
        lines.extend(
            f'hitchdeck_requests_total{{outcome="{name}"}} {count}'
            for name, count in sorted(self.outcomes.items())
        )
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
