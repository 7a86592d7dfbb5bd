"""Deduplication of operators' commands: a retry gets the recorded outcome."""

from hitchdeck_control.machine.state import MachineState, RecordedOutcome
from hitchdeck_core.commands import Submission
from hitchdeck_core.outcomes import Outcome, Refused

_MAX_NUMBERS_PER_OPERATOR = 128


def find_recorded_outcome(
    state: MachineState, submission: Submission
) -> Outcome | None:
    """Return the outcome of a submission that must not be applied, else ``None``.

    ``None`` means that its number is new.  Numbers below the recorded ones are
    rejected, since it is no longer known whether they were applied.
    """
    if not submission.operator:
        return None
    numbers = state.remembered.get(submission.operator, {})
    earlier = numbers.get(submission.number)
    if earlier is not None:
        return _replay_outcome(earlier, submission)
    if len(numbers) >= _MAX_NUMBERS_PER_OPERATOR and submission.number < min(numbers):
        return Refused(
            code='number-too-old',
            reason=f'number {submission.number} is older than any remembered',
        )
    return None


def record_outcome(
    state: MachineState,
    submission: Submission,
    outcome: Outcome,
) -> None:
    """Record an outcome, and evict the operator's lowest number when full."""
    if not submission.operator:
        return
    numbers = state.remembered.setdefault(submission.operator, {})
    numbers[submission.number] = RecordedOutcome(
        digest=submission.digest,
        outcome=outcome,
    )
    if len(numbers) > _MAX_NUMBERS_PER_OPERATOR:
        numbers.pop(min(numbers))


def _replay_outcome(earlier: RecordedOutcome, submission: Submission) -> Outcome:
    if earlier.digest == submission.digest:
        return earlier.outcome
    return Refused(
        code='number-reused',
        reason=(
            f'operator {submission.operator} used number {submission.number} '
            'for another command'
        ),
    )
