"""The state machine, which applies log entries identically on all replicas."""

from expression import Result

from hitchdeck_control.machine import configuration, deduplication, ledger
from hitchdeck_control.machine.state import MachineState, Order, ShardAssignment
from hitchdeck_core.commands import (
    AssignShard,
    Batch,
    Claim,
    Command,
    Delete,
    FinishOrder,
    NoOperation,
    PlaceOrder,
    Put,
    Settle,
    Submission,
    submission_codec,
)
from hitchdeck_core.outcomes import Applied, Outcome, Refused
from hitchdeck_core.signals import Signal

_MAX_ORDERS = 1000
_EXPIRY_PERIOD_SECONDS = 10.0


def first_command() -> bytes:
    """Return the no-op command that a new leader commits first."""
    return submission_codec.dump_json(Submission(command=NoOperation()))


class StateMachine:
    """The replicated state, and the only code that modifies it."""

    def __init__(self, ledger_retention: float) -> None:
        self.state = MachineState()
        # Notified of new configuration versions only.  Claims are much more frequent
        # and need not wake the routers' streams.
        self.version_changed = Signal()
        self.ledger_retention = ledger_retention

    def apply(self, encoded: bytes) -> Outcome:
        """Apply a log entry and return the outcome for its submitter."""
        submission = submission_codec.validate_json(encoded)
        # The clock of the log is monotonic across leaders.
        self.state.clock = max(self.state.clock, submission.taken_at)
        self._expire()
        answer = deduplication.find_recorded_outcome(self.state, submission)
        if answer is not None:
            return answer
        version = self.state.version
        outcome = self._run(submission.command)
        if self.state.version != version:
            self.version_changed.notify()
        deduplication.record_outcome(self.state, submission, outcome)
        return outcome

    def dump(self) -> bytes:
        """Serialize the state for a snapshot."""
        return self.state.model_dump_json().encode()

    def load(self, encoded: bytes) -> None:
        """Replace the state by the one in a snapshot."""
        self.state = MachineState.model_validate_json(encoded or b'{}')

    def _expire(self) -> None:
        if self.state.clock < self.state.last_expiry + _EXPIRY_PERIOD_SECONDS:
            return
        self.state.last_expiry = self.state.clock
        ledger.drop_expired(self.state)

    def _run(self, command: Command) -> Outcome:
        match command:
            case Batch():
                return _to_outcome(configuration.apply_batch(self.state, command))
            case Put() | Delete():
                batch = Batch(changes=(command,))
                return _to_outcome(configuration.apply_batch(self.state, batch))
            case Claim():
                return ledger.apply_claim(
                    self.state,
                    command,
                    self.ledger_retention,
                )
            case Settle():
                return ledger.apply_settle(self.state, command)
            case AssignShard():
                return self._assign(command)
            case PlaceOrder():
                return self._place_order(command)
            case FinishOrder():
                return self._finish_order(command)
        return Applied(version=self.state.version)

    def _assign(self, command: AssignShard) -> Outcome:
        self.state.last_epoch += 1
        self.state.duties[command.shard] = ShardAssignment(
            router=command.router,
            incarnation=command.incarnation,
            epoch=self.state.last_epoch,
        )
        return Applied(version=self.state.version)

    def _place_order(self, command: PlaceOrder) -> Outcome:
        if f'upstream/{command.upstream}' not in self.state.resources:
            return Refused(
                code='not-found',
                reason=f'there is no upstream {command.upstream}',
            )
        self.state.last_order += 1
        self.state.orders[self.state.last_order] = Order(order=command)
        if len(self.state.orders) > _MAX_ORDERS:
            finished = (
                number
                for number, order in self.state.orders.items()
                if order.state != 'open'
            )
            self.state.orders.pop(next(finished, 0), None)
        return Applied(version=self.state.last_order)

    def _finish_order(self, command: FinishOrder) -> Outcome:
        order = self.state.orders.get(command.sequence)
        if order is None:
            return Refused(code='not-found', reason='no such order')
        order.state = command.state
        order.detail = command.detail
        return Applied(version=self.state.version)


def _to_outcome(result: Result[Applied, Refused]) -> Outcome:
    return result.ok if result.is_ok() else result.error
