"""The state machine: operator numbers, versions, claims and snapshots."""

import hashlib

import pytest

from hitchdeck_control.machine.state_machine import StateMachine
from hitchdeck_core.commands import (
    AssignShard,
    Batch,
    Claim,
    Command,
    Delete,
    PlaceOrder,
    Put,
    Settle,
    Submission,
    command_codec,
    submission_codec,
)
from hitchdeck_core.ids import Incarnation, ShardId
from hitchdeck_core.outcomes import Applied, Granted, Outcome, Pending, Refused, Settled
from hitchdeck_core.resources import Account

RETENTION = 100.0


def submit(
    machine: StateMachine,
    command: Command,
    operator: str = '',
    number: int = 0,
    taken_at: float = 1000.0,
) -> Outcome:
    """Apply a command in the way the leader does."""
    digest = hashlib.sha256(command_codec.dump_json(command)).hexdigest()
    submission = Submission(
        command=command,
        operator=operator,
        number=number,
        taken_at=taken_at,
        digest=digest,
    )
    return machine.apply(submission_codec.dump_json(submission))


def put(name: str, weight: float = 1, based_on: int | None = None) -> Put:
    """Return a command that writes an account."""
    return Put(resource=Account(name=name, weight=weight), based_on=based_on)


def claim(
    key: str = 'k',
    request: str = 'r1',
    digest: str = 'd',
    issued: float = 1000.0,
) -> Claim:
    """Return a command that claims an idempotency key."""
    return Claim(
        account='a',
        key=key,
        digest=digest,
        issued=issued,
        router='router',
        incarnation=Incarnation('life'),
        request=request,
        upstream='u',
    )


def settle(ran: str, request: str = 'r1') -> Settle:
    """Return a command that settles a claim with an outcome."""
    return Settle.model_validate(
        {'account': 'a', 'key': 'k', 'request': request, 'ran': ran, 'body': 'yes'},
    )


def reloaded(machine: StateMachine) -> StateMachine:
    """Return a new machine that is loaded from the snapshot of another."""
    again = StateMachine(RETENTION)
    again.load(machine.dump())
    return again


def code_of(outcome: Outcome) -> str:
    """Return the code of a rejection, or an empty string for other outcomes."""
    return outcome.code if isinstance(outcome, Refused) else ''


@pytest.mark.parametrize('through_snapshot', [False, True])
def test_resend_gets_the_first_answer(through_snapshot: bool) -> None:
    machine = StateMachine(RETENTION)
    first = submit(machine, put('x'), 'ann', 1)
    submit(machine, put('y'), 'ann', 2)
    if through_snapshot:
        machine = reloaded(machine)
    assert submit(machine, put('x'), 'ann', 1) == first
    assert machine.state.version == 2


@pytest.mark.parametrize('through_snapshot', [False, True])
def test_equal_number_with_other_content_is_a_conflict(through_snapshot: bool) -> None:
    machine = StateMachine(RETENTION)
    submit(machine, put('x', 1), 'ann', 1)
    if through_snapshot:
        machine = reloaded(machine)
    assert code_of(submit(machine, put('x', 2), 'ann', 1)) == 'number-reused'
    assert submit(machine, put('x', 2), 'bob', 1) == Applied(version=2)


def test_expired_number_is_refused_rather_than_run() -> None:
    machine = StateMachine(RETENTION)
    for number in range(10, 200):
        submit(machine, put('x', number), 'ann', number)
    assert code_of(submit(machine, put('x', 10), 'ann', 10)) == 'number-too-old'
    assert machine.state.version == 190


def test_one_of_two_racing_writes_wins() -> None:
    machine = StateMachine(RETENTION)
    assert submit(machine, put('x', 1, based_on=0), 'ann', 1) == Applied(version=1)
    loser = submit(machine, put('x', 2, based_on=0), 'bob', 1)
    assert code_of(loser) == 'version-conflict'
    assert submit(machine, put('x', 2, based_on=1), 'bob', 2) == Applied(version=2)


def test_batch_is_all_or_nothing() -> None:
    machine = StateMachine(RETENTION)
    batch = Batch(changes=(put('x'), Delete(kind='account', name='missing')))
    assert code_of(submit(machine, batch)) == 'not-found'
    assert not machine.state.resources


def test_second_claim_waits_and_then_gets_the_answer() -> None:
    machine = StateMachine(RETENTION)
    assert submit(machine, claim()) == Granted()
    assert submit(machine, claim()) == Granted(), 'the holder of the claim retries'
    assert isinstance(submit(machine, claim(request='r2')), Pending)
    submit(machine, settle('ran'))
    machine = reloaded(machine)
    answer = submit(machine, claim(request='r2'))
    assert isinstance(answer, Settled)
    assert answer.body == 'yes'


@pytest.mark.parametrize(
    ('command', 'taken_at', 'code'),
    [
        (claim(request='r2', digest='other'), 1000, 'content-conflict'),
        (claim(request='r2'), 1000 + RETENTION, 'expired'),
        (claim(key='old', issued=1000 - RETENTION), 1000, 'expired'),
        (claim(key='early', issued=2000), 1000, 'invalid'),
    ],
)
def test_claim_is_refused(command: Claim, taken_at: float, code: str) -> None:
    machine = StateMachine(RETENTION)
    submit(machine, claim())
    assert code_of(submit(machine, command, taken_at=taken_at)) == code


def test_not_run_frees_the_key_and_only_for_its_holder() -> None:
    machine = StateMachine(RETENTION)
    submit(machine, claim())
    assert code_of(submit(machine, settle('not-run', 'r2'))) == 'not-found'
    submit(machine, settle('not-run'))
    assert submit(machine, claim(request='r2')) == Granted()


def test_claims_expire_after_the_retention() -> None:
    machine = StateMachine(RETENTION)
    submit(machine, claim())
    submit(machine, put('x'), taken_at=1000 + RETENTION)
    assert not machine.state.claims
    assert code_of(submit(machine, claim(request='r2'))) == 'expired'


def test_epochs_only_rise() -> None:
    machine = StateMachine(RETENTION)
    for incarnation in ('one', 'two', 'one'):
        submit(
            machine,
            AssignShard(
                shard=ShardId('p/0'),
                router='r',
                incarnation=Incarnation(incarnation),
            ),
        )
    assert reloaded(machine).state.duties[ShardId('p/0')].epoch == 3


def test_order_needs_its_upstream() -> None:
    machine = StateMachine(RETENTION)
    order = PlaceOrder(upstream='missing', action='load', target='m')
    assert code_of(submit(machine, order)) == 'not-found'
