"""Commands, versions and claims of the state machine against plain dictionaries.

Snapshots and reloads happen at any point and must not change the state.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hitchdeck_control.machine.state_machine import StateMachine
from hitchdeck_core.commands import Command, Delete
from hitchdeck_core.outcomes import Applied, Granted, Outcome, Pending, Refused, Settled
from tests.cover.test_machine import RETENTION, claim, put, settle, submit

NAMES = st.sampled_from(['x', 'y'])
OPERATORS = st.sampled_from(['ann', 'bob'])
VERSIONS = st.one_of(st.none(), st.integers(0, 6))


class CommandMachine(RuleBasedStateMachine):
    """Concurrent operators, resent commands, idempotency keys and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.machine = StateMachine(RETENTION)
        self.versions: dict[str, int] = {}
        self.version = 0
        self.answers: dict[tuple[str, int], tuple[Command, Outcome]] = {}
        self.now = 1000.0
        self.holder = ''
        self.settled = ''
        self.granted: list[str] = []

    @rule(
        name=NAMES,
        weight=st.integers(1, 3),
        based_on=VERSIONS,
        operator=OPERATORS,
        number=st.integers(1, 6),
    )
    def write(
        self,
        name: str,
        weight: int,
        based_on: int | None,
        operator: str,
        number: int,
    ) -> None:
        """Write an account."""
        self._command(put(name, weight, based_on), name, operator, number)

    @rule(name=NAMES, operator=OPERATORS, number=st.integers(1, 6))
    def delete(self, name: str, operator: str, number: int) -> None:
        """Delete an account."""
        command = Delete(kind='account', name=name)
        self._command(command, name, operator, number)

    @rule()
    def reload(self) -> None:
        """Reload the machine from a snapshot of itself."""
        encoded = self.machine.dump()
        self.machine = StateMachine(RETENTION)
        self.machine.load(encoded)

    @rule(seconds=st.floats(0, 40))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds

    @rule(request=st.sampled_from(['r1', 'r2', 'r3']))
    def claim_key(self, request: str) -> None:
        """Claim the key for a request."""
        outcome = submit(self.machine, claim(request=request), taken_at=self.now)
        if self.now >= 1000 + RETENTION:
            assert isinstance(outcome, Refused)
        elif self.settled:
            assert isinstance(outcome, Settled)
        elif self.holder in {'', request}:
            assert isinstance(outcome, Granted)
            if not self.holder:
                self.granted.append(request)
            self.holder = request
        else:
            assert isinstance(outcome, Pending)

    @rule(
        request=st.sampled_from(['r1', 'r2', 'r3']),
        ran=st.sampled_from(['ran', 'not-run', 'unknown']),
    )
    def settle_key(self, request: str, ran: str) -> None:
        """Settle the claim with the outcome of the run."""
        submit(self.machine, settle(ran, request), taken_at=self.now)
        if request != self.holder or self.settled:
            return
        if ran == 'not-run':
            self.holder = ''
            self.granted.pop()
        else:
            self.settled = ran

    @invariant()
    def at_most_one_run_is_granted(self) -> None:
        """At most one request holds the claim of the key."""
        assert len(self.granted) <= 1

    @invariant()
    def configuration_is_that_of_the_model(self) -> None:
        """Resources and their versions agree with the model."""
        kept = self.machine.state.resources
        assert {key: one.version for key, one in kept.items()} == {
            f'account/{name}': version for name, version in self.versions.items()
        }
        assert self.machine.state.version == self.version

    def _command(self, command: Command, name: str, operator: str, number: int) -> None:
        outcome = submit(self.machine, command, operator, number, self.now)
        known = self.answers.get((operator, number))
        if known is None:
            assert outcome == self._expected(command, name)
            self.answers[operator, number] = (command, outcome)
        elif known[0] == command:
            assert outcome == known[1]
        else:
            assert isinstance(outcome, Refused)
            assert outcome.code == 'number-reused'

    def _expected(self, command: Command, name: str) -> Outcome:
        present = self.versions.get(name, 0)
        outcome = submit(StateMachine(RETENTION), command)
        if isinstance(command, Delete):
            if not present:
                assert isinstance(outcome, Refused)
                return outcome
            self.version += 1
            self.versions.pop(name)
            return Applied(version=self.version)
        based_on = getattr(command, 'based_on', None)
        if based_on not in {None, present}:
            reason = f'account/{name} is at version {present}, not {based_on}'
            return Refused(code='version-conflict', reason=reason)
        self.version += 1
        self.versions[name] = self.version
        return Applied(version=self.version)


TestCommands = CommandMachine.TestCase
