"""Checks of recorded histories; each returns descriptions of the violations."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """The kind of an operation on a register."""

    write = 'write'
    read = 'read'


@dataclass(frozen=True)
class Operation:
    """An operation on one register, from invocation to response.

    ``ended`` is infinite for an operation whose response was lost: it may take
    effect at any time after its start, or never.
    """

    kind: Kind
    content: str
    started: float
    ended: float


def check_linearizable(history: Sequence[Operation], initial: str) -> list[str]:
    """Check that a history is linearizable for an atomic register.

    Uses the search of Wing and Gong ("Testing and Verifying Concurrent Objects",
    1993) with a memo of visited states: each step picks an operation that started
    before any pending one ended, and applies it.
    """
    must = frozenset(
        index for index, one in enumerate(history) if one.ended != float('inf')
    )
    seen: set[tuple[frozenset[int], str]] = set()
    stack = [(frozenset(range(len(history))), initial)]
    while stack:
        left, content = stack.pop()
        if not left & must:
            return []
        if (left, content) in seen:
            continue
        seen.add((left, content))
        stack.extend(_next_states(history, left, content))
    return ['no order of the operations explains every read']


def _next_states(
    history: Sequence[Operation],
    left: frozenset[int],
    content: str,
) -> list[tuple[frozenset[int], str]]:
    earliest_end = min(history[index].ended for index in left)
    states = []
    for index in left:
        operation = history[index]
        if operation.started > earliest_end:
            continue
        if operation.kind is Kind.write:
            states.append((left - {index}, operation.content))
        elif operation.content == content:
            states.append((left - {index}, content))
    return states


def check_never_reverts(versions: Iterable[tuple[str, int]]) -> list[str]:
    """Check that the version that each observer reads never decreases."""
    latest: dict[str, int] = defaultdict(int)
    wrong = []
    for observer, version in versions:
        if version < latest[observer]:
            wrong.append(f'{observer} went from {latest[observer]} to {version}')
        latest[observer] = max(latest[observer], version)
    return wrong


@dataclass(frozen=True)
class Answer:
    """The answer to one request under an idempotency key."""

    key: str
    ran: str
    body: str = ''


def check_at_most_once(answers: Iterable[Answer], runs: Iterable[str]) -> list[str]:
    """Check answers against the keys that ran, listed once for each run."""
    counts = Counter(runs)
    wrong = [f'{key} ran {count} times' for key, count in counts.items() if count > 1]
    reported: dict[str, set[str]] = defaultdict(set)
    bodies: dict[str, set[str]] = defaultdict(set)
    for answer in answers:
        reported[answer.key].add(answer.ran)
        if answer.ran == 'ran':
            bodies[answer.key].add(answer.body)
    for key, words in reported.items():
        if words == {'not-run'} and counts[key]:
            wrong.append(f'{key} ran although it was answered as not run')
        if 'ran' in words and not counts[key]:
            wrong.append(f'{key} did not run although it was answered as run')
        if len(bodies[key]) > 1:
            wrong.append(f'{key} got different answers')
    return wrong


def check_own_answers(pairs: Iterable[tuple[str, str]]) -> list[str]:
    """Check that each answer is complete and belongs to its caller."""
    return [
        f'got {answered[:60]!r} instead of {expected[:60]!r}'
        for expected, answered in pairs
        if expected != answered
    ]


def check_no_new_work(
    begun: Iterable[float],
    left_at: float,
    allowed: float,
) -> list[str]:
    """Check that an upstream starts no request some seconds after its drain."""
    late = [at - left_at for at in begun if at > left_at + allowed]
    return [f'work started {seconds:.2f} s after the drain' for seconds in late]


def check_sessions_kept(
    created: Iterable[str],
    deleted: Iterable[str],
    present: Iterable[str],
) -> list[str]:
    """Check that every session exists until it is deleted."""
    missing = set(created) - set(deleted) - set(present)
    return [f'session {name} is gone' for name in sorted(missing)]
