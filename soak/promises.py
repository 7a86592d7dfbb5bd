"""What callers, upstreams and operators saw, and which promise that breaks."""

from collections import Counter
from dataclasses import dataclass, field

NOT_RUN = frozenset((429, 503))
SUCCESS = 200
REFUSALS = frozenset((0, *range(400, 500)))
"""How an entry of another writer may be answered; 0 where no answer came."""

MIN_LETHAL_CRASHES = 3
MAX_LATE_RUNS = 3
"""Upstreams that a content may reach after enough have ended, all in touch."""


@dataclass(frozen=True, slots=True)
class Answer:
    """One request and its answer; ``status`` 0 where none came."""

    attempt: str
    path: str
    status: int
    whole: bool
    body: str


@dataclass(slots=True)
class History:
    """Everything seen in one run.

    ``asked`` holds every request that was sent, answered or not; ``unwilling`` what
    calm upstreams got after they had said that they want nothing, and the most that
    it may be: one request of each box, by which it is told.
    """

    asked: set[str] = field(default_factory=set)
    answers: list[Answer] = field(default_factory=list)
    accepted: int = 0
    reads: list[tuple[int, int]] = field(default_factory=list)
    foreign: list[tuple[str, int]] = field(default_factory=list)
    lethal_before: int = 0
    lethal_after: int = 0
    request_limits: list[tuple[str, int, int]] = field(default_factory=list)

    def broken(self, ran: Counter[str]) -> list[str]:
        """Return a line for each broken promise; ``ran`` counts by attempt."""
        lines = [
            line
            for one in self.answers
            for line in _check_answer(one, ran[one.attempt])
        ]
        unrequested = set(ran) - self.asked
        lines.extend(f'{one} ran and nobody asked' for one in sorted(unrequested))
        lines.extend(
            f'version {read} was read after {accepted} was accepted'
            for accepted, read in self.reads
            if read < accepted
        )
        lines.extend(
            f'foreign entry {body[:60]} was answered with {status}'
            for body, status in self.foreign
            if status not in REFUSALS
        )
        if (
            self.lethal_before >= MIN_LETHAL_CRASHES
            and self.lethal_after > MAX_LATE_RUNS
        ):
            lines.append(f'a lethal request ended {self.lethal_after} more when calm')
        lines.extend(
            f'{name} got {sent} requests and wanted {most} at most'
            for name, sent, most in self.request_limits
            if sent > most
        )
        return lines


def _check_answer(answer: Answer, runs: int) -> list[str]:
    lines: list[str] = []
    once = answer.path.startswith(('/u/', '/once/'))
    if once and runs > 1:
        lines.append(f'{answer.attempt} ran {runs} times')
    if once and runs and answer.status in NOT_RUN:
        lines.append(f'{answer.attempt} ran and was refused with {answer.status}')
    if answer.status == SUCCESS and answer.whole:
        lines.extend(_check_success(answer, runs))
    return lines


def _check_success(answer: Answer, runs: int) -> list[str]:
    if not runs:
        return [f'{answer.attempt} succeeded and never ran']
    if answer.path.startswith(('/s/', '/once/')):
        ids = [line for line in answer.body.split('\n') if line.startswith('id: ')]
        wanted = [f'id: {number}' for number in range(1, len(ids) + 1)]
        whole = ids == wanted and len(ids) == EVENTS
        return [] if whole else [f'{answer.attempt} got the events {ids}']
    if f'"{answer.attempt}"' not in answer.body:
        return [f'{answer.attempt} got {answer.body}']
    return []


EVENTS = 5
"""Events of a stand-in's stream."""
