"""Soft state and tasks of the leader."""

import hashlib
from collections.abc import Callable

from hitchdeck_control.errors import NotLeaderError, OutcomeUnknownError
from hitchdeck_control.fleet.assignments import needed_assignments
from hitchdeck_control.fleet.deltas import DeltaCache
from hitchdeck_control.fleet.directory import DirectoryState
from hitchdeck_control.fleet.presence import Presence, RouterTable
from hitchdeck_control.fleet.usage import UsageTable
from hitchdeck_control.machine.state import ShardAssignment
from hitchdeck_control.machine.state_machine import StateMachine
from hitchdeck_control.raft.replica import Leadership, Replica
from hitchdeck_core import logs
from hitchdeck_core.clock import Clock, boot_seconds, wall_seconds
from hitchdeck_core.commands import Command, Submission, command_codec, submission_codec
from hitchdeck_core.ids import ShardId
from hitchdeck_core.outcomes import Outcome
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.wire.hitchdeck_pb2 import ShardEntry

_ASSIGNMENT_PERIOD_SECONDS = 0.2
_CLOCK_DRIFT_FACTOR = 1.05
"""Allowance for clocks that run at different rates, in waits for leases."""


class Leader:
    """The leader's soft state, reset for each leadership except for verdicts."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        lease_seconds: float,
        now: Clock = boot_seconds,
        wall_clock: Callable[[], float] = wall_seconds,
    ) -> None:
        self.replica = replica
        self.machine = machine
        self.deltas = DeltaCache(machine)
        self.lease_seconds = lease_seconds
        self.now = now
        self.wall_clock = wall_clock
        self.observed_leadership: Leadership | None = None
        self.routers = RouterTable(now, lease_seconds)
        self.usage = UsageTable()
        self.directory = DirectoryState()
        # Kept across leaderships, since verdicts apply under any leader.
        self.quarantine = Quarantine(now, machine.version_changed)

    def check_leads(self) -> None:
        """Raise ``NotLeaderError`` unless this replica certainly leads now."""
        self.replica.check_leads()
        if self.replica.leadership is not self.observed_leadership:
            self.observed_leadership = self.replica.leadership
            self.routers = RouterTable(self.now, self.lease_seconds)
            self.usage = UsageTable()
            self.directory = DirectoryState()

    async def execute(
        self,
        command: Command,
        operator: str = '',
        number: int = 0,
    ) -> Outcome:
        """Commit a command and return its outcome.

        Raises
        ------
        NotLeaderError
            The command was not accepted; send it to the leader.
        OutcomeUnknownError
            It may or may not take effect; retry it under the same number.
        """
        self.check_leads()
        encoded = command_codec.dump_json(command)
        submission = Submission(
            command=command,
            operator=operator,
            number=number,
            taken_at=self.wall_clock(),
            digest=hashlib.sha256(encoded).hexdigest(),
        )
        outcome: Outcome = await self.replica.propose(
            submission_codec.dump_json(submission),
        )
        return outcome

    def laggards(self, version: int) -> list[str]:
        """Return the routers that may not apply a version yet.

        Leases that an earlier leader granted are unknown.  Until they must have
        expired, a placeholder stands for the routers that may hold them.
        """
        self.check_leads()
        assert self.observed_leadership is not None
        known_since = self.now() - self.observed_leadership.started_at
        if known_since < self.lease_seconds * _CLOCK_DRIFT_FACTOR:
            return ['(routers of the leader before)']
        return self.routers.laggards(version)

    def refresh_directory(self) -> None:
        """Update the directory, and notify the streams if it has changed."""
        alive = list(self.routers.alive())
        by_incarnation = {one.hello.incarnation: one for one in alive}
        routers = {one.hello.incarnation: one.entry() for one in alive}
        shards = {
            shard: _shard_entry(
                shard, assignment, by_incarnation[assignment.incarnation]
            )
            for shard, assignment in self.machine.state.duties.items()
            if assignment.incarnation in by_incarnation
        }
        known = self.directory
        if (routers, shards) != (known.routers, known.shards):
            self.directory = DirectoryState(known.number + 1, routers, shards)
            self.machine.version_changed.notify()

    async def assign_shards(self) -> None:
        """Keep every shard assigned to a live router, until cancelled."""
        while True:
            await self.routers.roster_changed.wait(_ASSIGNMENT_PERIOD_SECONDS)
            try:
                self.check_leads()
                for gone in self.routers.remove_expired():
                    self.usage.retire(gone)
                await self._assign_once()
                self.refresh_directory()
            except (NotLeaderError, OutcomeUnknownError):
                await self.replica.role_changed.wait(_ASSIGNMENT_PERIOD_SECONDS)

    async def _assign_once(self) -> None:
        for assignment in needed_assignments(self.machine.state, self.routers.alive()):
            await self.execute(assignment)
            logs.info(
                'shard assigned', shard=assignment.shard, router=assignment.router
            )


def _shard_entry(
    shard: ShardId, assignment: ShardAssignment, holder: Presence
) -> ShardEntry:
    return ShardEntry(
        shard=shard,
        router=assignment.router,
        incarnation=assignment.incarnation,
        epoch=assignment.epoch,
        wire_address=holder.hello.wire_address,
    )
