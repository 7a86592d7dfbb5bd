"""The soak finds no violation on its fixed seeds, and detects each kind of one."""

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from soak.__main__ import Run
from soak.promises import Answer, History, LethalRuns

SECONDS = 6.0


@pytest.mark.parametrize('seed', [1, 905])
def test_no_guarantee_is_violated_under_the_faults_of_a_seed(
    tmp_path: Path,
    seed: int,
) -> None:
    run = Run(tmp_path, seed)
    assert asyncio.run(run.play(SECONDS)) == []
    assert any(one.status == 200 for one in run.history.answers)


GOOD = '\n'.join(f'id: {number}' for number in range(1, 6))


@pytest.mark.parametrize(
    ('answer', 'runs', 'broken'),
    [
        (Answer('a', '/u/', 200, True, '{"attempt": "a"}'), 1, 0),
        (Answer('a', '/u/', 200, True, '{"attempt": "a"}'), 2, 1),
        (Answer('a', '/u/', 200, True, '{"attempt": "b"}'), 1, 1),
        (Answer('a', '/u/', 200, True, '{"attempt": "a"}'), 0, 1),
        (Answer('a', '/u/', 503, True, ''), 1, 1),
        (Answer('a', '/u/', 502, True, ''), 1, 0),
        (Answer('a', '/g/', 503, True, ''), 1, 0),
        (Answer('a', '/s/', 200, True, GOOD), 2, 0),
        (Answer('a', '/s/', 200, True, GOOD.replace('id: 3', 'id: 2')), 1, 1),
        (Answer('a', '/s/', 200, True, f'{GOOD}\ndata: v1\ndata: v2'), 1, 1),
        (Answer('a', '/once/', 200, True, GOOD), 2, 1),
    ],
)
def test_each_violated_guarantee_is_reported(
    answer: Answer, runs: int, broken: int
) -> None:
    history = History(asked={'a'}, answers=[answer])
    assert len(history.broken(Counter({'a': runs}))) == broken


def test_stale_reads_and_unrequested_work_are_reported() -> None:
    history = History(accepted=4, reads=[(4, 3), (3, 3)])
    assert len(history.broken(Counter({'stranger': 1}))) == 2


@pytest.mark.parametrize(
    ('before', 'after', 'lines'), [(3, 3, 0), (3, 4, 1), (2, 4, 0)]
)
def test_lethal_requests_that_go_on_are_reported(
    before: int, after: int, lines: int
) -> None:
    history = History(lethal_runs=[LethalRuns('lethal', 3, before, after)])
    assert len(history.broken(Counter())) == lines


def test_requests_to_an_unwilling_upstream_are_reported() -> None:
    history = History(request_limits=[('w0', 3, 3), ('w1', 4, 3)])
    assert len(history.broken(Counter())) == 1


@pytest.mark.parametrize(
    ('rest', 'lines'),
    [
        ('id: 2\ndata: v1\n\n', 0),
        ('id: 2\ndata: v2\n\n', 1),
        ('id: 3\ndata: v1\n\n', 1),
        ('id: 2\ndata: v', 0),
    ],
)
def test_a_resumed_stream_has_every_event_once_and_of_one_version(
    rest: str, lines: int
) -> None:
    history = History()
    begun = Answer('a', '/s/', 0, False, 'id: 1\ndata: v1\n\nid: 2\nda')
    history.add_resumed(begun, Answer('b', '/s/', 200, True, rest))
    assert len(history.broken(Counter())) == lines
