"""``hitchdeck top``: aggregated metrics of all routers."""

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from urllib.request import urlopen

from hitchdeck_cli.printing import Row, print_line, print_rows

_LINE = re.compile(r'hitchdeck_(\w+)(?:\{(.*)\})? (\S+)')
_LABEL = re.compile(r'(\w+)="([^"]*)"')
_SECONDS = 3.0
_SHOWN_QUANTILE = '0.95'

Sample = tuple[str, dict[str, str], float]


def parse_metrics(text: str) -> Iterator[Sample]:
    """Yield name, labels and value of each sample of a metrics page."""
    for line in text.splitlines():
        found = _LINE.fullmatch(line)
        if found:
            labels = dict(_LABEL.findall(found.group(2) or ''))
            yield found.group(1), labels, float(found.group(3))


def show_top(addresses: Iterable[str], *, as_json: bool) -> None:
    """Print a table per account and class, then one per shard."""
    samples = [sample for address in addresses for sample in _fetch(address)]
    print_rows(account_rows(samples), as_json=as_json)
    print_line('')
    print_rows(shard_rows(samples), as_json=as_json)


def account_rows(samples: Iterable[Sample]) -> list[Row]:
    """Return a row per account and class; quantiles are the maximum over routers."""
    rows: dict[tuple[str, str], Row] = defaultdict(
        lambda: {'requests': 0, 'wait_ms': 0, 'first_token_ms': 0, 'token_gap_ms': 0},
    )
    for name, labels, number in samples:
        if 'account' not in labels:
            continue
        row = rows[labels['account'], labels['class']]
        if name == 'wait_ms_count':
            row['requests'] += int(number)
        elif labels.get('quantile') == _SHOWN_QUANTILE and name in row:
            row[name] = max(row[name], number)
    return [
        {'account': account, 'class': class_name, **row}
        for (account, class_name), row in sorted(rows.items())
    ]


def shard_rows(samples: Iterable[Sample]) -> list[Row]:
    """Return a row per shard."""
    rows: dict[str, Row] = defaultdict(dict)
    for name, labels, number in samples:
        if 'shard' in labels:
            short = name.removeprefix('shard_').removesuffix('_total')
            rows[labels['shard']][short] = number
    return [{'shard': shard, **row} for shard, row in sorted(rows.items())]


def _fetch(address: str) -> list[Sample]:
    try:
        with urlopen(
            f'http://{address}/metrics',
            timeout=_SECONDS,
        ) as reply:
            return list(parse_metrics(reply.read().decode()))
    except OSError:
        return []
