"""Counters and latency histograms of an entry box."""

from collections import Counter

from hitchdeck_core.busyness import PERCENT, busy_part
from hitchdeck_core.clock import Clock
from hitchdeck_core.histograms import Histograms
from hitchdeck_edge.model.document import RouteName
from hitchdeck_edge.model.request_context import THIS_BOX, RequestContext

MS = 1000.0
SERIES = 60
"""Most histograms kept: a few for each account and route in use."""


FADING = 0.997
"""What each further request leaves of the longest duration: some hundreds of
requests, a minute or more of a busy box, halve it."""

UNKNOWN_SECONDS = 5.0
"""Taken for the longest duration of a route of which too little is known."""

WATCHED_SECONDS = 10.0
"""How long a route must be in use here before those that ended tell of the others:
longer than a grace.  Two streams that a stopping box took by what had ended within a
second outlasted its grace of 8 s."""


class Gauges:
    """What is served on the metrics address.

    ``longest_turn`` is the longest time without a look at any socket, of late,
    in seconds; ``placed_alone`` counts what this box placed by itself;
    ``unwilling`` is how many upstreams want nothing from it; ``upstream_changes``
    counts the changes of their records, ``handed_on`` the connections that another
    box took.
    """

    def __init__(self, now: Clock) -> None:
        self.histograms = Histograms(now, SERIES)
        self.outcomes: Counter[str] = Counter()
        self.accounts: Counter[tuple[str, str]] = Counter()
        self.now = now
        self.durations: dict[RouteName, float] = {}
        self.first_opened: dict[RouteName, float] = {}
        self.placed_alone = 0
        self.longest_turn = 0.0
        self.unwilling = 0
        self.upstream_changes = 0
        self.handed_on = 0

    def served(self, context: RequestContext, outcome: str, seconds: float) -> None:
        """Count a request that was dispatched."""
        self.note_duration(context.route.name, seconds)
        self.outcomes[outcome] += 1
        account = context.account or ''
        self.accounts[(account, outcome)] += 1
        self.placed_alone += context.decided_by == THIS_BOX
        kind = 'stream' if context.route.streams else 'call'
        self.histograms.record('request_ms', (kind,), seconds * MS)

    def longest_seconds(self, route: RouteName) -> float:
        """Return how long requests of a route took at the longest of late."""
        known = self.durations.get(route, 0)
        watched = self.now() - self.first_opened.get(route, self.now())
        return known if watched > WATCHED_SECONDS else max(known, UNKNOWN_SECONDS)

    def opened(self, route: RouteName) -> None:
        """Note a request that was taken."""
        self.first_opened.setdefault(route, self.now())

    def note_duration(self, route: RouteName, seconds: float) -> None:
        """Note how long a request of a route took."""
        longest = self.durations.get(route, 0) * FADING
        self.durations[route] = max(longest, seconds)

    def ended(self, outcome: str) -> None:
        """Count a request that ended without being dispatched."""
        self.outcomes[outcome] += 1

    def text(self) -> str:
        """Return all figures in the Prometheus text form."""
        lines = [
            f'hitchdeck_busy_percent {PERCENT * busy_part():.0f}',
            f'hitchdeck_longest_turn_ms {MS * self.longest_turn:.0f}',
            f'hitchdeck_placed_alone_total {self.placed_alone}',
            f'hitchdeck_upstreams_unwilling {self.unwilling}',
            f'hitchdeck_upstream_changes_total {self.upstream_changes}',
            f'hitchdeck_handed_on_total {self.handed_on}',
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
