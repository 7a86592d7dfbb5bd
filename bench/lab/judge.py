"""What a play was worth: earned of owed, as the users' sheets weigh it."""

from bisect import bisect
from collections import Counter, defaultdict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

from bench.lab.arrivals import Asked
from bench.lab.deployment import Deployment
from bench.owed import Cell, cell_of, owed_parts

SHOWN_WINDOW = 2.0
"""Seconds of the windows of which the two worst count by themselves."""

STARVED_WINDOW = 6
"""Seconds in which an account may not get under half of what others get."""

LARGEST_PARTS = (0.1, 0.3)
"""The largest tenth of a kind, and the fifth below it, are classes too."""

WEIGHTS = (0.45, 0.15, 0.1, 0.3)
"""Of the whole play, its worst windows, kind and accounts."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Worth of a play and its parts.

    ``again`` is the price of tokens read again, ``charges`` what refusals and waits
    cost, ``all`` what was earned of all that was asked for, owed or not, and
    ``least`` the least that an account got in six seconds, as a part of the lesser
    of what it asked for and of what the best served account got.  ``tokens_again``
    were read again, and ``tokens_moved`` were taken from other engines.
    """

    worth: float
    whole: float
    windows: float
    kinds: float
    accounts: float
    again: float
    charges: float
    all: float
    least: float
    late: int
    refused: int
    failed: int
    asked: int
    tokens_again: float = 0.0
    tokens_moved: int = 0


def judge(deployment: Deployment, asked: list[Asked], again: float) -> Verdict:
    """Return what a play was worth.

    What an account asks beyond its max-min share in a window is not owed, and
    what it earns beyond that does not count.
    """
    sizes_of = ((_cell(one), one.tokens) for one in asked)
    owed_of = owed_parts(sizes_of, deployment.capacity)
    owed = sum(one.worth * owed_of[_cell(one)] for one in asked)

    def ratio(group: Callable[[Asked], Hashable]) -> list[float]:
        return _ratios(asked, owed_of, group)

    whole = ratio(lambda one: 0)[0]
    windows = _mean_of_worst(ratio(lambda one: int(one.at // SHOWN_WINDOW)), 2)
    sizes = _size_classes(asked)
    kinds = min(ratio(lambda one: one.kind.name) + ratio(sizes.__getitem__))
    accounts = _mean_of_worst(ratio(lambda one: one.account), 2)
    price = again * deployment.again_price / owed
    parts = (whole, windows, kinds, accounts)
    worth = sum(weight * part for weight, part in zip(WEIGHTS, parts, strict=True))
    outcomes = Counter(one.outcome for one in asked)
    charges = 0.0
    if deployment.charged:
        charges = sum(
            one.worth * (one.charges + _holding(one)) * owed_of[_cell(one)]
            for one in asked
        )
        charges /= owed
    return Verdict(
        worth=worth - price - charges,
        whole=whole,
        windows=windows,
        kinds=kinds,
        accounts=accounts,
        again=price,
        charges=charges,
        all=sum(one.earned for one in asked) / sum(one.worth for one in asked),
        least=_least_served(asked),
        late=outcomes['late'],
        refused=outcomes['refused'],
        failed=outcomes['failed'],
        asked=len(asked),
        tokens_again=again,
    )


def _holding(one: Asked) -> float:
    """Return the part of its worth that it costs to hold a request never served."""
    if one.outcome != 'refused':
        return 0
    free = one.kind.goal / 8
    return min(1, max(0, (one.held - free) / (one.kind.limit * 0.75 - free)))


def _least_served(asked: Iterable[Asked]) -> float:
    """Return the least part that an account got beside the best served one."""
    wanted: dict[int, Counter[str]] = defaultdict(Counter)
    served: dict[int, Counter[str]] = defaultdict(Counter)
    for one in asked:
        window = int(one.at // STARVED_WINDOW)
        wanted[window][one.account] += one.tokens
        if one.outcome in {'served', 'late'}:
            served[window][one.account] += one.tokens
    return min(
        served[window][account] / min(tokens, max(served[window].values()))
        for window, accounts in wanted.items()
        for account, tokens in accounts.items()
        if served[window]
    )


def _size_classes(asked: Iterable[Asked]) -> dict[Asked, str]:
    """Return the class of each request by its size among those of its kind."""
    classes: dict[Asked, str] = {}
    by_kind: dict[str, list[Asked]] = defaultdict(list)
    for one in asked:
        by_kind[one.kind.name].append(one)
    for name, members in by_kind.items():
        members.sort(key=_size, reverse=True)
        for position, one in enumerate(members):
            part = position / len(members)
            classes[one] = f'{name} {bisect(LARGEST_PARTS, part)}'
    return classes


def _size(one: Asked) -> int:
    return one.read + 10 * one.made


def _cell(one: Asked) -> Cell:
    return cell_of(one.at, one.account)


def _ratios(
    asked: Iterable[Asked],
    owed_of: dict[Cell, float],
    group: Callable[[Asked], Hashable],
) -> list[float]:
    owed: dict[Hashable, float] = defaultdict(float)
    cells: dict[tuple[Hashable, Cell], list[float]] = {}
    for one in asked:
        cell = _cell(one)
        entry = cells.setdefault((group(one), cell), [0.0, 0.0])
        entry[0] += one.worth * owed_of[cell]
        entry[1] += one.earned
    earned: dict[Hashable, float] = defaultdict(float)
    for (name, _), (due, got) in cells.items():
        owed[name] += due
        earned[name] += min(due, got)
    return [earned[name] / max(1e-9, owed[name]) for name in owed]


def _mean_of_worst(ratios: list[float], count: int) -> float:
    worst = sorted(ratios)[:count]
    return sum(worst) / len(worst)
