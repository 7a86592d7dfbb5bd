"""Records what callers, upstreams and operators saw, and checks the guarantees."""

from collections import Counter
from dataclasses import dataclass, field
from itertools import chain

NOT_RUN = frozenset((429, 503))
SUCCESS = 200
REFUSALS = frozenset((0, *range(400, 500)))
"""Valid statuses for a report of a foreign writer; 0 means no response."""

MAX_LATE_RUNS = 3
"""Upstreams that lethal requests of one kind may reach once it must be recognized,
while all processes are connected."""


@dataclass(frozen=True, slots=True)
class LethalRuns:
    """Upstreams that requests of a lethal kind reached, under faults and after them.

    ``recognized_at`` is the number of crashes by which the kind must be recognized.
    """

    kind: str
    recognized_at: int
    before: int
    after: int


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
    ``resumed`` holds the attempt and all events of each stream that a caller resumed.
    ``unavailable`` names what could not be had in time after all faults.
    """

    asked: set[str] = field(default_factory=set)
    answers: list[Answer] = field(default_factory=list)
    accepted: int = 0
    reads: list[tuple[int, int]] = field(default_factory=list)
    foreign: list[tuple[str, int]] = field(default_factory=list)
    lethal_runs: list[LethalRuns] = field(default_factory=list)
    request_limits: list[tuple[str, int, int]] = field(default_factory=list)
    resumed: list[tuple[str, str]] = field(default_factory=list)
    unavailable: list[str] = field(default_factory=list)

    def add_resumed(self, broken: Answer, rest: Answer) -> None:
        """Add a stream that a caller resumed, if it went on."""
        more = complete_events(rest.body)
        if rest.status in {0, SUCCESS} and 'id: ' in more:
            events = complete_events(broken.body) + more
            self.resumed.append((rest.attempt, events))

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
        lines.extend(self._broken_streams())
        lines.extend(
            f'{runs.kind} request crashed {runs.after} more without faults'
            for runs in self.lethal_runs
            if runs.before >= runs.recognized_at and runs.after > MAX_LATE_RUNS
        )
        lines.extend(
            f'{name} got {sent} requests, the limit is {most}'
            for name, sent, most in self.request_limits
            if sent > most
        )
        lines.extend(f'{one} was not to be had' for one in self.unavailable)
        return lines

    def _broken_streams(self) -> list[str]:
        checked = [_check_one_stream(*stream) for stream in self.resumed]
        return list(chain.from_iterable(checked))


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
        if not whole:
            return [f'{answer.attempt} got the events {ids}']
        return _check_one_stream(answer.attempt, answer.body)
    if f'"{answer.attempt}"' not in answer.body:
        return [f'{answer.attempt} got {answer.body}']
    return []


EVENT_END = '\n\n'
EVENTS = 5
"""Number of events in a stream of the stand-in worker."""


def complete_events(body: str) -> str:
    """Return a body without an incomplete event at its end."""
    return body[: body.rfind(EVENT_END) + len(EVENT_END)] if EVENT_END in body else ''


def _check_one_stream(attempt: str, events: str) -> list[str]:
    """Return a line if events are missing, repeated or of several versions."""
    lines = events.split('\n')
    ids = [line for line in lines if line.startswith('id: ')]
    versions = {line for line in lines if line.startswith('data: ')}
    in_order = ids == [f'id: {number}' for number in range(1, len(ids) + 1)]
    if in_order and len(versions) <= 1:
        return []
    return [f'{attempt} got the events {ids} of {sorted(versions)}']
