"""What accounts are owed of what they ask: max-min shares, window by window."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from hitchdeck_core.ids import AccountName
from hitchdeck_edge.scheduling.shares import fair_share_level

SHARE_WINDOW = 4.0
"""Seconds in which an account is owed its share."""

Cell = tuple[int, AccountName]
"""One account in one window."""


def cell_of(at: float, account: AccountName) -> Cell:
    """Return the cell of a request that came at a moment, in seconds."""
    return int(at // SHARE_WINDOW), account


def owed_parts(
    asked: Iterable[tuple[Cell, int]],
    capacity: float,
) -> dict[Cell, float]:
    """Return the owed part of what was asked in each cell.

    Parameters
    ----------
    asked
        The cell of each request, and its size in tokens.
    capacity
        What the engines are stated to give, in tokens a second.
    """
    tokens: dict[int, Counter[AccountName]] = defaultdict(Counter)
    for (window, account), size in asked:
        tokens[window][account] += size
    parts: dict[Cell, float] = {}
    for window, counts in tokens.items():
        level = fair_share_level(dict(counts), capacity * SHARE_WINDOW)
        for account, count in counts.items():
            parts[window, account] = min(1, level / max(1, count))
    return parts
