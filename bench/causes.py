"""Where worth goes in a play: ``python -m bench.causes LOG``.

LOG holds the JSON lines of a fleet's boxes, each behind its time in seconds
and the box's name, as a bench that gathers them prints them.  Requests that
came back after a refusal are told by account, size and last part of the
prompt.  Owed is what lies within an account's max-min share of each window,
by the sizes that callers expect; see ``bench.lab.judge``.
"""

import json
from bisect import bisect
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire

from bench.owed import Cell, cell_of, owed_parts
from hitchdeck_core.ids import AccountName
from hitchdeck_edge.scheduling.shares import OUTPUT_TOKEN_WEIGHT

LATE_PART = 0.5
"""What an answer that comes late is worth, of one in time."""

SHOWN_SECONDS = 2

WAIT_PARTS = (0.25, 0.5)
WAIT_NAMES = ('short', 'fair', 'long')
"""Names of expected waits by their part of the goal."""


@dataclass(slots=True)
class Wish:
    """What one caller wanted, over all its tries.

    ``cause`` tells why it was not served in time; blank if it was.
    """

    account: AccountName
    route: str
    at: float
    tokens: int
    cause: str
    earned: float


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the log's lines, each with its moment in ``at``."""
    for line in path.read_text(errors='replace').splitlines():
        head, brace, rest = line.partition('{"time"')
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
            fields['at'] = float(head.split()[0])
        except (ValueError, IndexError):
            # A line that a kill cut off.
            continue
        yield fields


def cause_of(tries: list[dict[str, Any]], reasons: dict[str, str]) -> str:
    """Return why a request was not served in time, blank if it was."""
    last = tries[-1]
    refused = [one for one in tries if one['outcome'] != 'streamed']
    if last['outcome'] == 'streamed':
        if refused:
            return f'late: {_refusal(refused[0], reasons)}, back'
        if last['first_event'] > last['goal']:
            return 'late: by the queue'
        return ''
    return f'lost: {_refusal(last, reasons)}'


def _refusal(line: dict[str, Any], reasons: dict[str, str]) -> str:
    outcome = str(line['outcome'])
    return reasons.get(line['request'], outcome)


def gather_wishes(lines: Iterable[dict[str, Any]]) -> tuple[list[Wish], float]:
    """Return what callers wanted, and the stated capacity a second."""
    tries: dict[tuple[str, str, int], list[dict[str, Any]]] = defaultdict(list)
    reasons: dict[str, str] = {}
    capacity = 0.0
    for line in lines:
        event = line['event']
        if event == 'request' and line.get('account') and line.get('prompt'):
            key = (line['account'], line['last_part'], line['prompt'])
            tries[key].append(line)
        elif event == 'refused':
            reasons[line['request']] = _reason(line)
        elif event == 'document in force':
            capacity = float(line['tokens_per_second'])
    return [_wish(one, reasons) for one in tries.values()], capacity


def _reason(line: dict[str, Any]) -> str:
    """Return why a scheduler refused, with the wait that it expected."""
    part = line['queue'] / line['goal']
    position = bisect(WAIT_PARTS, part)
    return f'{line["reason"]} ({WAIT_NAMES[position]} wait)'


def _wish(tries: list[dict[str, Any]], reasons: dict[str, str]) -> Wish:
    tries.sort(key=lambda line: float(line['at']))
    first = tries[0]
    cause = cause_of(tries, reasons)
    earned = 1.0
    if cause:
        earned = LATE_PART if cause.startswith('late') else 0
    return Wish(
        account=AccountName(first['account']),
        route=first['route'],
        at=max(0.0, first['at'] - first['seconds']),
        tokens=first['prompt'] + OUTPUT_TOKEN_WEIGHT * first['expected_made'],
        cause=cause,
        earned=earned,
    )


class Losses:
    """Tokens owed and lost, by a heading.

    What an account lost beyond what it was owed in a window is scaled down,
    over its causes alike.
    """

    def __init__(self, wishes: list[Wish], capacity: float) -> None:
        self.owed: dict[str, Counter[str]] = defaultdict(Counter)
        self.lost: dict[str, Counter[str]] = defaultdict(Counter)
        cells: dict[Cell, list[Wish]] = defaultdict(list)
        for wish in wishes:
            cells[cell_of(wish.at, wish.account)].append(wish)
        asked = ((cell, one.tokens) for cell, ones in cells.items() for one in ones)
        parts = owed_parts(asked, capacity)
        for cell, members in cells.items():
            self._add_cell(members, parts[cell])

    def _add_cell(self, members: list[Wish], part: float) -> None:
        owed = part * sum(wish.tokens for wish in members)
        earned = sum(wish.tokens * wish.earned for wish in members)
        missed = sum(wish.tokens * (1 - wish.earned) for wish in members)
        scale = max(0.0, owed - earned) / max(1, missed)
        for wish in members:
            second = int(wish.at // SHOWN_SECONDS * SHOWN_SECONDS)
            gone = wish.tokens * (1 - wish.earned) * scale
            for heading, name in (
                ('cause', wish.cause or 'in time'),
                ('route', wish.route),
                ('account', wish.account),
                ('second', f'{second:3d}'),
            ):
                self.owed[heading][name] += round(wish.tokens * part)
                self.lost[heading][name] += round(gone)


def main(log: str, most: int = 40) -> None:
    """Print what was owed and lost, by cause, route, account and second.

    Parameters
    ----------
    log
        The file of log lines.
    most
        Rows of each table.
    """
    wishes, capacity = gather_wishes(read_lines(Path(log)))
    losses = Losses(wishes, capacity)
    total = sum(losses.owed['cause'].values())
    counts = Counter(wish.cause or 'in time' for wish in wishes)
    print(f'{len(wishes)} wishes, {total} tokens owed, {capacity:.0f} a second stated')
    print('by cause: wishes, part of all that is owed that was lost')
    for cause, lost in losses.lost['cause'].most_common(most):
        print(f'  {counts[cause]:6d}  {lost / total:.4f}  {cause}')
    for heading in ('route', 'account', 'second'):
        print(f'by {heading}: part of all owed, part of its own that was lost')
        for name in sorted(losses.owed[heading])[:most]:
            owed = losses.owed[heading][name]
            lost = losses.lost[heading][name]
            print(f'  {owed / total:.4f}  {lost / max(1, owed):.3f}  {name}')


if __name__ == '__main__':
    fire.Fire(main)
