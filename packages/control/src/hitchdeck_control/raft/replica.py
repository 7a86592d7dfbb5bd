"""State of a Raft replica, and the operations on it."""

import asyncio
from collections.abc import Callable
from dataclasses import field
from enum import Enum
from typing import Any

from hitchdeck_control.errors import NotLeaderError, OutcomeUnknownError
from hitchdeck_control.raft.delays import SchedulingDelay
from hitchdeck_control.storage.log import DurableLog
from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import Address, BoxName, ReplicaId
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.signals import Signal
from hitchdeck_core.wire.hitchdeck_pb2 import Entry, Member, Snapshot

Outcome = Any
"""Result of a command.  The replica only forwards it, and therefore doesn't import
the codecs of the state machine's outcomes at startup."""

LEASE_FRACTION = 0.8
"""Leader lease as a fraction of the election timeout; the rest is a margin for
clocks that run at different rates."""


class Role(Enum):
    """Current Raft role of a replica."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


@dataclass(slots=True)
class Progress:
    """Replication state of a peer, as known to the leader.

    ``acked_at`` is when the last request that the peer answered was *sent*, in
    seconds on the leader's clock.  The peer received it no earlier than that.
    """

    next_index: int
    match: int = 0
    acked_at: float = float('-inf')


@dataclass(frozen=True, slots=True)
class Timing:
    """Timing parameters in seconds; ``snapshot_every`` is in log entries."""

    heartbeat: float
    election_timeout: float
    snapshot_every: int


@dataclass(frozen=True, slots=True)
class ReplicaIdentity:
    """Identity and address of a replica."""

    replica: ReplicaId
    box: BoxName
    address: Address


@dataclass(slots=True)
class Proposal:
    """A proposed entry whose outcome is awaited."""

    term: int
    outcome: asyncio.Future[Outcome]


@dataclass(slots=True)
class StateMachineCallbacks:
    """The functions of a state machine.

    ``first_command`` is a no-op that a new leader commits, which also commits all
    entries of earlier leaders.
    """

    apply: Callable[[bytes], Outcome]
    dump: Callable[[], bytes]
    load: Callable[[bytes], None]
    first_command: bytes = b''


@dataclass(slots=True)
class Leadership:
    """State that a replica has only while it is the leader."""

    started_at: float
    first_index: int
    peers: dict[ReplicaId, Progress] = field(default_factory=dict)


class Replica:
    """A replica of the group."""

    def __init__(
        self,
        identity: ReplicaIdentity,
        log: DurableLog,
        state_machine: StateMachineCallbacks,
        timing: Timing,
        now: Clock,
    ) -> None:
        self.identity = identity
        self.log = log
        self.state_machine = state_machine
        self.timing = timing
        self.now = now
        self.scheduling_delay = SchedulingDelay(now, timing.election_timeout)
        self.role = Role.follower
        self.leader_id = ReplicaId('')
        # Just before a restart this replica may have acknowledged a leader, whose
        # lease relies on the replica granting no vote for a while.  So it starts as
        # if it had just been in contact with a leader.
        self.last_contact_at = now()
        self.leadership: Leadership | None = None
        self.commit_index = int(log.snapshot.last_index)
        self.applied_index = self.commit_index
        self.proposals: dict[int, Proposal] = {}
        self.appended = Signal()
        self.committed = Signal()
        self.applied = Signal()
        self.role_changed = Signal()
        state_machine.load(log.snapshot.state)

    @property
    def term(self) -> int:
        """Current term."""
        return self.log.term

    def members(self) -> list[Member]:
        """Return the membership in effect."""
        return self.log.members()

    def committed_members(self) -> list[Member]:
        """Return the latest membership that this replica knows to be committed."""
        return self._members_at(self.commit_index)

    def voters(self) -> list[Member]:
        """Return the members that vote."""
        return [member for member in self.members() if member.voter]

    def is_member(self) -> bool:
        """Return whether this replica is a member of its group, voting or not."""
        return any(one.replica == self.identity.replica for one in self.members())

    def is_voter(self) -> bool:
        """Return whether this replica is a voter."""
        return any(one.replica == self.identity.replica for one in self.voters())

    def is_leader(self) -> bool:
        """Return whether this replica is leader, as far as it knows."""
        return self.role is Role.leader

    def leader_address(self) -> str:
        """Return the address of the leader, blank if it is unknown."""
        for member in self.members():
            if member.replica == self.leader_id:
                return member.address
        return ''

    def quorum_contact(self) -> float:
        """Return the latest time since which a majority has been in contact."""
        assert self.leadership is not None
        times = sorted(
            self._contact_with(ReplicaId(member.replica)) for member in self.voters()
        )
        # A majority of the times is at or after the lower median.
        return times[(len(times) - 1) // 2]

    def has_lease(self) -> bool:
        """Return whether this replica is certainly the only leader.

        Voters grant no vote within an election timeout after contact with their
        leader, so a leader with recent contact to a majority is the only one.  It
        must also have applied an entry of its own term, since before that it may
        not know all entries that earlier leaders committed.
        """
        if self.leadership is None:
            return False
        lease = self.timing.election_timeout * LEASE_FRACTION
        recent = self.now() - self.quorum_contact() < lease
        return recent and self.applied_index >= self.leadership.first_index

    def check_leads(self) -> None:
        """Raise ``NotLeaderError`` unless this replica holds the lease."""
        if not self.has_lease():
            address = '' if self.is_leader() else self.leader_address()
            raise NotLeaderError(address)

    async def propose(self, command: bytes) -> Outcome:
        """Commit a command and return its outcome.

        Raises
        ------
        NotLeaderError
            The command was not appended.
        OutcomeUnknownError
            Leadership was lost; the command may still be committed.
        """
        if not self.is_leader():
            raise NotLeaderError(self.leader_address())
        entry = Entry(
            term=self.term,
            index=self.log.last_index + 1,
            command=command,
        )
        return await self.propose_entry(entry)

    async def propose_entry(self, entry: Entry) -> Outcome:
        """Append an entry as the leader, and wait for its outcome."""
        loop = asyncio.get_running_loop()
        proposal = Proposal(int(entry.term), loop.create_future())
        self.log.append([entry])
        self.proposals[int(entry.index)] = proposal
        self.appended.notify()
        return await proposal.outcome

    def become_follower(self, term: int, leader: ReplicaId) -> None:
        """Become a follower; the caller must flush a higher term to disk."""
        if term > self.term:
            self.log.save_vote(term, '')
        self.leader_id = leader
        if self.role is Role.follower:
            return
        logs.info('became follower', term=term, leader=leader)
        self.role = Role.follower
        self.leadership = None
        self._fail_proposals()
        self.role_changed.notify()

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        logs.info('leads', term=self.term)
        self.role = Role.leader
        self.leader_id = self.identity.replica
        first = self.log.last_index + 1
        self.leadership = Leadership(started_at=self.now(), first_index=first)
        self.role_changed.notify()

    def progress_of(self, replica: ReplicaId) -> Progress:
        """Return the replication state of a peer, created on first use."""
        assert self.leadership is not None
        return self.leadership.peers.setdefault(
            replica,
            Progress(next_index=self.log.last_index + 1),
        )

    def advance_commit(self) -> None:
        """Commit the entries that a majority of voters has synced."""
        if self.leadership is None:
            return
        matches = sorted(
            self._match_of(ReplicaId(member.replica)) for member in self.voters()
        )
        agreed = matches[(len(matches) - 1) // 2]
        # Entries of earlier terms are committed only together with one of this term,
        # since counting replicas is not safe for them (Raft, 5.4.2).
        if agreed > self.commit_index and self.log.term_at(agreed) == self.term:
            self.commit_index = agreed
            self.committed.notify()

    def apply_committed(self) -> None:
        """Apply all committed entries and resolve their proposals.

        Does nothing while a snapshot from the leader is being installed: the entries
        before it are already dropped, and its state is not loaded yet.
        """
        base = int(self.log.snapshot.last_index)
        while base <= self.applied_index < self.commit_index:
            entry = self.log.slice(self.applied_index + 1, 1)[0]
            outcome = None
            if not entry.members:
                outcome = self.state_machine.apply(entry.command)
            self.applied_index += 1
            self._resolve(entry, outcome)
        self.applied.notify()

    async def take_snapshot(self) -> None:
        """Compact the applied part of the log into a snapshot."""
        index = self.applied_index
        snapshot = Snapshot(
            last_index=index,
            last_term=self.log.term_at(index),
            members=self._members_at(index),
            state=self.state_machine.dump(),
        )
        await self.log.compact(snapshot)
        logs.info('snapshot', index=index, bytes=len(snapshot.state))

    def _members_at(self, index: int) -> list[Member]:
        base = int(self.log.snapshot.last_index)
        for entry in reversed(self.log.entries[: index - base]):
            if entry.members:
                return list(entry.members)
        return list(self.log.snapshot.members)

    def _contact_with(self, replica: ReplicaId) -> float:
        if replica == self.identity.replica:
            return self.now()
        return self.progress_of(replica).acked_at

    def _match_of(self, replica: ReplicaId) -> int:
        if replica == self.identity.replica:
            return self.log.synced_index
        return self.progress_of(replica).match

    def _resolve(self, entry: Entry, outcome: Outcome | None) -> None:
        proposal = self.proposals.pop(int(entry.index), None)
        if proposal is None or proposal.outcome.done():
            return
        if proposal.term != entry.term:
            proposal.outcome.set_exception(OutcomeUnknownError('overwritten'))
        else:
            proposal.outcome.set_result(outcome)  # type: ignore[arg-type]

    def _fail_proposals(self) -> None:
        for proposal in self.proposals.values():
            if not proposal.outcome.done():
                proposal.outcome.set_exception(
                    OutcomeUnknownError('leadership lost before the commit'),
                )
        self.proposals.clear()
