"""What the configuration costs a router: memory, and time for a change.

``python -m bench.view_cost``: resident memory and seconds by the number of
upstreams, with 440 accounts, 8 pools and 50 rules.
"""

import time
from pathlib import Path

import fire

from bench.common import append_row
from bench.connections import spent_by
from hitchdeck_core.ids import Address
from hitchdeck_core.resources import (
    Account,
    Effect,
    Pool,
    Resource,
    Rule,
    Upstream,
    encode_resource,
)
from hitchdeck_core.wire.hitchdeck_pb2 import Delta, ResourceChange
from hitchdeck_router.fleet.view import FleetView

_MODELS = 8
_ACCOUNTS = 440
_RULES = 50


def upstream(number: int) -> Upstream:
    """Return one upstream with typical labels."""
    return Upstream(
        name=f'engine-{number:05}',
        address=Address(f'10.0.{number % 250}.{number // 250}:8000'),
        labels={'model': f'm{number % _MODELS}', 'rack': f'r{number // 40}'},
    )


def resources(upstreams: int) -> list[Resource]:
    """Return a whole configuration."""
    listed: list[Resource] = []
    for model in range(_MODELS):
        selector = f'model=m{model}'
        listed.append(Pool(name=f'p{model}', model=f'm{model}', upstreams=selector))
    for number in range(_ACCOUNTS):
        listed.append(Account(name=f'account-{number}', key_hashes=(f'{number:064}',)))
    for number in range(_RULES):
        selector = f'rack=r{number}'
        listed.append(
            Rule(name=f'rule-{number}', effect=Effect.leaving, upstreams=selector),
        )
    return [*listed, *(upstream(number) for number in range(upstreams))]


def written(resource: Resource) -> ResourceChange:
    """Return the change that writes a resource."""
    return ResourceChange(
        kind=resource.kind,
        name=resource.name,
        body=encode_resource(resource),
    )


def encoded_delta(upstreams: int) -> bytes:
    """Return the whole configuration as a router receives it."""
    changes = [written(one) for one in resources(upstreams)]
    return Delta(full=True, version=1, changes=changes).SerializeToString()


def measure(upstreams: int) -> dict[str, float]:
    """Build a view and change it."""
    encoded = encoded_delta(upstreams)
    own = int(Path('/proc/self/stat').read_text().split()[0])
    before = spent_by(own).memory
    started = time.perf_counter()
    view = FleetView()
    view.apply(Delta.FromString(encoded))
    whole = time.perf_counter() - started
    memory = spent_by(own).memory - before
    one_upstream = _change(view, upstream(0))
    rule = Rule(name='rule-0', effect=Effect.leaving, upstreams='rack=r1')
    one_rule = _change(view, rule)
    return {
        'upstreams': upstreams,
        'full_delta_mb': round(len(encoded) / 2**20, 2),
        'view_mb': round(memory, 1),
        'full_seconds': round(whole, 2),
        'upstream_change_ms': round(1000 * one_upstream, 3),
        'rule_change_ms': round(1000 * one_rule, 2),
    }


def _change(view: FleetView, resource: Resource) -> float:
    delta = Delta(
        from_version=view.version,
        version=view.version + 1,
        changes=[written(resource)],
    )
    started = time.perf_counter()
    view.apply(delta)
    return time.perf_counter() - started


def main(upstreams: int = 12_000, output: str = 'bench/results/view.jsonl') -> None:
    """Measure one size in this process, and append a line of JSON."""
    append_row(output, measure(upstreams))


if __name__ == '__main__':
    fire.Fire(main)
