"""Plots for the docs, from the results of ``bench.fairness``."""

import json
from pathlib import Path
from typing import Any

from matplotlib import pyplot as plt

_ROWS = Path('bench/results/fairness.jsonl')
_FOLDER = Path('docs/plots')
_POLICIES = ('fair', 'fifo', 'round-robin')
_WIDTH = 0.27

Row = dict[str, Any]


def read_rows() -> list[Row]:
    """Return the results."""
    return [json.loads(line) for line in _ROWS.read_text().splitlines()]


def bars(rows: list[Row], groups: list[str], field: str, path: Path) -> None:
    """Draw one bar for each policy in each group."""
    figure, axes = plt.subplots(figsize=(7, 3.5))
    for offset, policy in enumerate(_POLICIES):
        heights = [_find(rows, group, policy).get(field, 0) for group in groups]
        places = [index + offset * _WIDTH for index in range(len(groups))]
        axes.bar(places, heights, _WIDTH, label=policy)
    axes.set_xticks([index + _WIDTH for index in range(len(groups))], groups)
    axes.set_ylabel(field.replace('_', ' '))
    if field == 'gap_max':
        axes.set_yscale('log')
        axes.set_ylim(bottom=10)
        axes.set_ylabel('widest service gap, cost units (log)')
    axes.legend(loc='lower center', bbox_to_anchor=(0.5, 1), ncols=3)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    plt.close(figure)


def _find(rows: list[Row], group: str, policy: str) -> Row:
    for row in rows:
        if _group(row) == group and row['policy'] == policy:
            return row
    return {}


def _group(row: Row) -> str:
    fault = '' if row['fault'] == 'none' else f', {row["fault"]}'
    return f'{row["routers"]} routers{fault}'


def main() -> None:
    """Draw everything."""
    rows = read_rows()
    groups = list(dict.fromkeys(_group(row) for row in rows))
    calm = [group for group in groups if ',' not in group]
    hurt = [group for group in groups if ',' in group]
    _FOLDER.mkdir(exist_ok=True)
    for field in ('gap_max', 'utilisation'):
        bars(rows, calm, field, _FOLDER / f'{field}.png')
        if hurt:
            bars(rows, hurt, field, _FOLDER / f'{field}-faults.png')


if __name__ == '__main__':
    main()
