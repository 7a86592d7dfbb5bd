"""``/healthz`` and ``/metrics``."""

import resource
from collections.abc import Iterator

from hitchdeck_router.context import RouterContext
from hitchdeck_router.serving.base import BaseHandler

_OK = 200
_UNAVAILABLE = 503
_CLASS_LABELS = ('account', 'class')


class HealthDoor(BaseHandler):
    """Handler of ``/healthz``: whether new callers should use this router."""

    def get(self) -> None:
        """Respond with 200 if the router admits requests and is not draining."""
        live = self.context.fleet.lease.is_live()
        healthy = live and not self.context.leaving
        self.set_status(_OK if healthy else _UNAVAILABLE)
        self.finish(
            {
                'box': self.context.box,
                'configuration_lease': live,
                'leaving': self.context.leaving,
                'version': self.context.fleet.view.version,
                'active': self.context.active,
            },
        )


class MetricsDoor(BaseHandler):
    """Handler of ``/metrics``, in the Prometheus text format."""

    def get(self) -> None:
        """Return all metrics of this process."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish('\n'.join([*metric_lines(self.context), '']))


def metric_lines(context: RouterContext) -> Iterator[str]:
    """Yield the lines of the metrics."""
    yield from _histogram_lines(context)
    for (door, ran), count in sorted(context.outcomes.items()):
        yield _line('requests_total', count, door=door, outcome=ran)
    for link, count in sorted(context.fleet.traffic.messages.items()):
        yield _line('control_messages_total', count, link=link)
    for link, octets in sorted(context.fleet.traffic.octets.items()):
        yield _line('control_bytes_total', octets, link=link)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield _line('cpu_seconds_total', usage.ru_utime + usage.ru_stime)
    yield _line('resident_kilobytes_max', usage.ru_maxrss)
    yield _line('configuration_version', context.fleet.view.version)
    yield _line('configuration_lease', int(context.fleet.lease.is_live()))
    yield _line('active_requests', context.active)
    yield from _shard_lines(context)


def _histogram_lines(context: RouterContext) -> Iterator[str]:
    for summary in context.histograms.summaries():
        labels = dict(zip(_CLASS_LABELS, summary.labels, strict=True))
        for quantile, measured in summary.quantiles.items():
            yield _line(summary.name, measured, quantile=str(quantile), **labels)
        yield _line(f'{summary.name}_count', summary.count, **labels)
        yield _line(f'{summary.name}_sum', summary.total, **labels)


def _shard_lines(context: RouterContext) -> Iterator[str]:
    for shard, hosted in sorted(context.host.shards.items()):
        scheduler = hosted.scheduler
        counters = scheduler.counters
        yield _line('shard_service_gap', scheduler.service_gap(), shard=shard)
        yield _line('shard_gap_bound', scheduler.gap_bound(), shard=shard)
        yield _line('shard_free_slots', scheduler.capacity.free_slots(), shard=shard)
        yield _line('shard_held_slots', len(scheduler.held), shard=shard)
        yield _line('shard_waiting', len(scheduler.tickets), shard=shard)
        yield _line('shard_granted_total', counters.granted, shard=shard)
        yield _line('shard_refused_total', counters.refused, shard=shard)
        yield _line('shard_waiting_seconds_total', counters.waiting, shard=shard)
        yield _line(
            'shard_idle_while_waiting_seconds_total',
            counters.idle_while_waiting,
            shard=shard,
        )


def _line(name: str, amount: float, **labels: str) -> str:
    inside = ','.join(f'{key}="{text}"' for key, text in labels.items())
    braces = f'{{{inside}}}' if inside else ''
    return f'hitchdeck_{name}{braces} {amount}'
