"""Counters and latency histograms of an entry box."""

from collections import Counter
from collections.abc import Mapping

from hitchdeck_core.clock import Clock
from hitchdeck_core.histograms import Histograms
from hitchdeck_core.loop_load import PERCENT, loop_utilization
from hitchdeck_edge.model.document import RouteName
from hitchdeck_edge.model.request_context import THIS_BOX, RequestContext

MS_PER_SECOND = 1000.0
MAX_HISTOGRAMS = 60
"""Maximum number of histograms: a few for each account and route in use."""


DURATION_DECAY = 0.997
"""Factor by which each request decays the longest duration.  231 requests halve it: a
minute or more on a busy box."""

DEFAULT_DURATION_SECONDS = 5.0
"""Lower bound on the longest duration of a route that was observed too briefly."""

MIN_OBSERVED_SECONDS = 10.0
"""How long a route must be in use before its completed requests are representative:
longer than the grace period.  After one second only short requests have completed; two
streams that a stopping box admitted on that basis outlasted its grace period of 8 s."""


SERVICE_COUNTS = (
    'calls_unanswered',
    'silent_avoided',
    'silent_tried',
    'second_attempts',
    'calls_waited',
    'calls_refused_late',
)
"""Counts of calls to plain services: those without a response in time, those that
avoided upstreams which were silent for the fleet or tried one again, those that got a
second attempt before the first one ended, and those that waited for a place or were
refused as they would have been late."""


class EntryMetrics:
    """Values that are served on the metrics address.

    Attributes
    ----------
    placed_locally
        Requests that this box placed without a scheduler.
    longest_turn
        Longest recent turn of the event loop, in seconds.
    unwilling_upstreams
        Upstreams that accept no requests from this box at present.
    upstream_changes
        Changes of upstream records so far.
    handed_off
        Connections that were handed off to other boxes.
    held_bytes
        Bytes that this box holds for callers and upstreams.
    evicted
        Requests and responses that were broken off for lack of memory.
    upstream_counts
        Connections to upstreams that were opened for requests, requests that used a
        kept one, and responses that were given up for their size.
    exclusions_adopted
        Exclusions of schedulers that hubs told this box of.
    service_counts
        Counts of calls to plain services, by what happened to them.
    refused_beside_room
        Requests that this box refused without a scheduler while engines had room, by
        cause.
    cache_moves, cache_moves_dropped
        Requests that named a source of cached parts to their engine, and requests whose
        source this box knew to be of no use.
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
        self.held_bytes = 0
        self.evicted = 0
        self.upstream_counts: Mapping[str, int] = {}
        self.exclusions_adopted = 0
        self.service_counts = dict.fromkeys(SERVICE_COUNTS, 0)
        self.refused_beside_room: Mapping[str, int] = {}
        self.cache_moves = 0
        self.cache_moves_dropped = 0

    def record_served(
        self, context: RequestContext, outcome: str, seconds: float
    ) -> None:
        """Record a request that was dispatched."""
        self.record_duration(context.route.name, seconds)
        self.outcomes[outcome] += 1
        account = context.account or ''
        self.accounts[(account, outcome)] += 1
        self.placed_locally += context.decided_by == THIS_BOX
        kind = 'stream' if context.route.streams else 'call'
        self.histograms.record('request_ms', (kind,), seconds * MS_PER_SECOND)

    def longest_seconds(self, route: RouteName) -> float:
        """Return the longest recent duration of requests of a route, in seconds."""
        recent = self.durations.get(route, 0)
        observed_seconds = self.now() - self.first_opened.get(route, self.now())
        return (
            recent
            if observed_seconds > MIN_OBSERVED_SECONDS
            else max(recent, DEFAULT_DURATION_SECONDS)
        )

    def record_admitted(self, route: RouteName) -> None:
        """Record that a request of a route was admitted."""
        self.first_opened.setdefault(route, self.now())

    def record_duration(self, route: RouteName, seconds: float) -> None:
        """Record the duration of a request of a route."""
        longest = self.durations.get(route, 0) * DURATION_DECAY
        self.durations[route] = max(longest, seconds)

    def record_undispatched(self, outcome: str) -> None:
        """Record a request that ended without being dispatched."""
        self.outcomes[outcome] += 1

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f'hitchdeck_busy_percent {PERCENT * loop_utilization():.0f}',
            f'hitchdeck_longest_turn_ms {MS_PER_SECOND * self.longest_turn:.0f}',
            f'hitchdeck_placed_alone_total {self.placed_locally}',
            f'hitchdeck_upstreams_unwilling {self.unwilling_upstreams}',
            f'hitchdeck_upstream_changes_total {self.upstream_changes}',
            f'hitchdeck_handed_on_total {self.handed_off}',
            f'hitchdeck_held_bytes {self.held_bytes}',
            f'hitchdeck_evicted_total {self.evicted}',
            f'hitchdeck_scheduler_exclusions_adopted_total {self.exclusions_adopted}',
            f'hitchdeck_cache_moves_sent_total {self.cache_moves}',
            f'hitchdeck_cache_moves_dropped_total {self.cache_moves_dropped}',
        ]
        lines.extend(
            f'hitchdeck_upstream_{name}_total {count}'
            for name, count in self.upstream_counts.items()
        )
        lines.extend(
            f'hitchdeck_service_{name}_total {count}'
            for name, count in self.service_counts.items()
        )
        lines.extend(
            f'hitchdeck_refused_beside_room_total{{cause="{cause}"}} {count}'
            for cause, count in sorted(self.refused_beside_room.items())
        )
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
