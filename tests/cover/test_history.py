"""The history checks reject a bad history of each kind and accept good ones."""

from collections.abc import Callable

import pytest

from tests.common import history
from tests.common.history import Answer, Kind, Operation

LOST = float('inf')


def write(content: str, started: float, ended: float) -> Operation:
    """Return a write operation."""
    return Operation(Kind.write, content, started, ended)


def read(content: str, started: float, ended: float) -> Operation:
    """Return a read operation."""
    return Operation(Kind.read, content, started, ended)


@pytest.mark.parametrize(
    ('operations', 'good'),
    [
        ([write('a', 0, 1), read('a', 2, 3)], True),
        ([write('a', 0, 1), read('', 2, 3)], False),
        ([write('a', 0, 5), read('', 1, 2), read('a', 3, 4)], True),
        ([write('a', 0, 5), read('a', 1, 2), read('', 3, 4)], False),
        ([write('a', 0, LOST), read('', 1, 2), read('a', 3, 4)], True),
        ([write('a', 0, LOST), read('a', 1, 2), read('', 3, 4)], False),
        ([write('a', 0, LOST), read('', 5, 6)], True),
        ([write('a', 0, 1), write('b', 2, 3), read('a', 4, 5)], False),
        ([write('a', 0, 3), write('b', 0, 3), read('a', 4, 5)], True),
        (
            [
                write('a', 0, 3),
                write('b', 0, 3),
                read('a', 4, 5),
                read('b', 6, 7),
            ],
            False,
        ),
        ([read('never written', 0, 1)], False),
    ],
)
def test_register_histories_are_judged(
    operations: list[Operation],
    good: bool,
) -> None:
    assert (not history.check_linearizable(operations, '')) is good


BAD = [
    lambda: history.check_never_reverts([('r', 3), ('s', 1), ('r', 2)]),
    lambda: history.check_at_most_once([Answer('k', 'ran')], ['k', 'k']),
    lambda: history.check_at_most_once([Answer('k', 'not-run')], ['k']),
    lambda: history.check_at_most_once([Answer('k', 'ran')], []),
    lambda: history.check_at_most_once(
        [Answer('k', 'ran', 'x'), Answer('k', 'ran', 'y')],
        ['k'],
    ),
    lambda: history.check_own_answers([('mine', 'yours')]),
    lambda: history.check_own_answers([('whole', 'who')]),
    lambda: history.check_no_new_work([1.0, 9.0], 5.0, 3.0),
    lambda: history.check_sessions_kept(['s'], [], []),
]
GOOD = [
    lambda: history.check_never_reverts([('r', 1), ('s', 1), ('r', 1), ('r', 2)]),
    lambda: history.check_at_most_once([Answer('k', 'unknown')], ['k']),
    lambda: history.check_at_most_once([Answer('k', 'unknown')], []),
    lambda: history.check_at_most_once(
        [Answer('k', 'not-run'), Answer('k', 'ran')],
        ['k'],
    ),
    lambda: history.check_own_answers([('mine', 'mine')]),
    lambda: history.check_no_new_work([1.0, 7.9], 5.0, 3.0),
    lambda: history.check_sessions_kept(['s', 't'], ['t'], ['s']),
]


@pytest.mark.parametrize('check', BAD)
def test_bad_history_is_rejected(check: Callable[[], list[str]]) -> None:
    assert check()


@pytest.mark.parametrize('check', GOOD)
def test_good_history_is_accepted(check: Callable[[], list[str]]) -> None:
    assert not check()
