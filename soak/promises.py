"""Records what callers, upstreams and operators saw, and checks the guarantees."""

from collections import Counter
from dataclasses import dataclass, field

NOT_RUN = frozenset((429, 503))
SUCCESS = 200
REFUSALS = frozenset((0, *range(400, 500)))
"""Valid statuses for a report of a foreign writer; 0 means no response."""

MIN_LETHAL_CRASHES = 3
MAX_LATE_RUNS = 3
"""Upstreams a lethal content may still reach after ``MIN_LETHAL_CRASHES`` crashes,
while all processes are connected."""


@dataclass(frozen=True, slots=True)
class Answer:
    """One request and its response; ``status`` is 0 if none arrived."""

    attempt: str
    path: str
    status: int
    whole: bool
    body: str


@dataclass(slots=True)
class History:
    """Everything seen in one run.

    ``asked`` holds the id of every request that was sent, answered or not.
    ``accepted`` is the highest configuration version acknowledged, ``reads`` are
    pairs of the version acknowledged before a read and the version read.
    ``request_limits`` holds a name, the number of requests received and the
    limit, without faults: an upstream that drains or sends Retry-After may get
    one request from each box, whose response notifies the box.
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
        """Return a line for each violated guarantee.

        ``ran`` counts how often upstreams ran each attempt.
        """
        lines = [
            line
            for one in self.answers
            for line in _check_answer(one, ran[one.attempt])
        ]
        unrequested = set(ran) - self.asked
        lines.extend(f'{one} ran but was never sent' for one in sorted(unrequested))
        lines.extend(
            f'version {read} was read after {accepted} was accepted'
            for accepted, read in self.reads
            if read < accepted
        )
        lines.extend(
            f'foreign report {body[:60]} got status {status}'
            for body, status in self.foreign
            if status not in REFUSALS
        )
        if (
            self.lethal_before >= MIN_LETHAL_CRASHES
            and self.lethal_after > MAX_LATE_RUNS
        ):
            lines.append(
                f'lethal request crashed {self.lethal_after} more without faults'
            )
        lines.extend(
            f'{name} got {sent} requests, the limit is {most}'
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
        lines.append(f'{answer.attempt} ran but was rejected with {answer.status}')
    if answer.status == SUCCESS and answer.whole:
        lines.extend(_check_success(answer, runs))
    return lines


def _check_success(answer: Answer, runs: int) -> list[str]:
    if not runs:
        return [f'{answer.attempt} succeeded but never ran']
    if answer.path.startswith(('/s/', '/once/')):
        ids = [line for line in answer.body.split('\n') if line.startswith('id: ')]
        wanted = [f'id: {number}' for number in range(1, len(ids) + 1)]
        whole = ids == wanted and len(ids) == EVENTS
        return [] if whole else [f'{answer.attempt} got the events {ids}']
    if f'"{answer.attempt}"' not in answer.body:
        return [f'{answer.attempt} got {answer.body}']
    return []


EVENTS = 5
"""Number of events in a stream of the stand-in worker."""
