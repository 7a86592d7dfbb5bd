"""Which hubs vote in the replicated group: a pure function of what the leader sees.

The group has to keep a majority while as many voters are lost as the settings allow,
at every moment.  A voter that is gone for good therefore must not be counted for
longer than the loss itself: it gives up its seat once it says that it stops, once its
box runs with another disk, or after a time without contact.  A hub gets a vote only
while all other voters respond, since a larger group needs a larger majority.

Each change adds or removes one vote, so that any majority before it and any majority
after it have a voter in common.
"""

from collections.abc import Callable

from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.wire.hitchdeck_pb2 import Member

MAX_VOTERS = 7
"""Maximum number of voters, unless the required tolerance calls for more."""


@dataclass(frozen=True, slots=True)
class VotingPolicy:
    """Tolerance of the group, and times in seconds.

    Attributes
    ----------
    disks_lost
        How many voters may be lost at once.
    voters_needed
        How many voters keep a majority when as many are lost.
    responsive
        Time without contact up to which a member counts as responsive.
    replaced
        Time without contact after which a voter loses its seat if the group can't
        bear further losses until then.
    absent
        The same for a voter without which the group can bear them.
    """

    disks_lost: int
    voters_needed: int
    responsive: float
    replaced: float
    absent: float

    @property
    def voters_limit(self) -> int:
        """Return how many voters the group has at most."""
        return max(MAX_VOTERS, self.voters_needed + 1)


@dataclass(frozen=True, slots=True)
class MemberState:
    """What the leader knows of a member.

    Attributes
    ----------
    silence
        Seconds without contact; 0 for the leader itself.
    heard
        Whether it has answered this leader at all.
    caught_up
        Whether its log has all but the newest entries.
    connected
        Whether its hub has a stream to the leader's hub.
    leaving
        Whether its hub has said that it stops, and has not started again.
    disk_lost
        Whether its box runs a hub with another disk.
    """

    member: Member
    silence: float = 0
    heard: bool = True
    caught_up: bool = True
    connected: bool = True
    leaving: bool = False
    disk_lost: bool = False

    @property
    def may_vote(self) -> bool:
        """Tell whether the member is fit for a vote, if it responds."""
        stays = self.connected and not self.leaving
        return stays and self.caught_up and not self.disk_lost


@dataclass(frozen=True, slots=True)
class GroupView:
    """The group as its leader sees it; ``newcomers`` are hubs that are no members."""

    members: tuple[MemberState, ...]
    newcomers: tuple[Member, ...] = ()

    @property
    def voters(self) -> list[MemberState]:
        """Return the members that vote."""
        return [one for one in self.members if one.member.voter]

    @property
    def learners(self) -> list[MemberState]:
        """Return the members that don't vote."""
        return [one for one in self.members if not one.member.voter]


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The next membership, and the reason for it."""

    members: list[Member]
    reason: str


Rule = Callable[[GroupView, VotingPolicy], MembershipChange | None]


def plan_change(view: GroupView, policy: VotingPolicy) -> MembershipChange | None:
    """Return the next change of the membership, ``None`` if it is right as it is.

    Changes that a majority of the new voters could not commit are not proposed.
    """
    for rule in _RULES:
        change = rule(view, policy)
        if change is not None and _can_commit(change, view, policy):
            return change
    return None


def majority(voters: int) -> int:
    """Return how many of a number of voters are a majority."""
    return voters // 2 + 1


def bears_losses_beside(view: GroupView, lost: Member, policy: VotingPolicy) -> bool:
    """Tell whether the group keeps a majority beside the loss of one voter.

    That is, whether ``disks_lost`` more of the responsive voters may be lost while it
    is counted as a voter.
    """
    others = [
        one
        for one in view.voters
        if one.member.replica != lost.replica and _responds(one, policy)
    ]
    return len(others) - policy.disks_lost >= majority(len(view.voters))


def _remove_gone(view: GroupView, policy: VotingPolicy) -> MembershipChange | None:
    """Take the seat of a voter that is gone, if the group has a hub for it.

    It is taken before the other hub votes: in a group of three, two of two and then
    two of three are needed, instead of all three of four.
    """
    seats = len(view.voters) - 1 + len(_ready(view, policy))
    if seats < policy.voters_needed:
        return None
    for one in sorted(view.voters, key=lambda voter: -voter.silence):
        reason = _reason_to_remove(one, view, policy)
        if reason:
            return MembershipChange(_without(view, one.member), reason)
    return None


def _reason_to_remove(
    one: MemberState, view: GroupView, policy: VotingPolicy
) -> str | None:
    if one.disk_lost:
        return 'disk lost'
    if one.leaving and not _responds(one, policy):
        return 'stopped'
    spare = bears_losses_beside(view, one.member, policy)
    limit = policy.absent if spare else policy.replaced
    return 'no contact' if one.silence >= limit else None


def _demote_leaving(view: GroupView, policy: VotingPolicy) -> MembershipChange | None:
    """Take the vote of a hub that stops, unless the group can spare or needs it.

    The hub remains a member, and so learns that the change is committed.
    """
    if len(view.voters) <= policy.voters_needed:
        return None
    for one in view.voters:
        if one.leaving and not bears_losses_beside(view, one.member, policy):
            return MembershipChange(_with_vote(view, one.member, False), 'stops')
    return None


def _promote_ready(view: GroupView, policy: VotingPolicy) -> MembershipChange | None:
    voters = view.voters
    ready = _ready(view, policy)
    if not ready or len(voters) >= policy.voters_limit:
        return None
    enough = len(voters) >= policy.voters_needed
    if enough and not all(_responds(one, policy) for one in voters):
        return None
    members = _with_vote(view, ready[0].member, True)
    return MembershipChange(members, 'caught up')


def _add_newcomer(view: GroupView, policy: VotingPolicy) -> MembershipChange | None:
    """Add a hub as a learner, in place of an earlier learner of its box."""
    if not view.newcomers:
        return None
    newcomer = view.newcomers[0]
    kept = [
        one.member
        for one in view.members
        if one.member.voter or one.member.box != newcomer.box
    ]
    return MembershipChange([*kept, newcomer], 'new hub')


def _forget_learner(view: GroupView, policy: VotingPolicy) -> MembershipChange | None:
    for one in view.learners:
        if not one.connected and one.silence >= policy.absent:
            return MembershipChange(_without(view, one.member), 'learner is gone')
    return None


_RULES: tuple[Rule, ...] = (
    _remove_gone,
    _demote_leaving,
    _promote_ready,
    _add_newcomer,
    _forget_learner,
)


def _ready(view: GroupView, policy: VotingPolicy) -> list[MemberState]:
    """Return the learners that may vote at once."""
    return [one for one in view.learners if one.may_vote and _responds(one, policy)]


def _responds(one: MemberState, policy: VotingPolicy) -> bool:
    return one.heard and one.silence < policy.responsive


def _can_commit(
    change: MembershipChange, view: GroupView, policy: VotingPolicy
) -> bool:
    responsive = {one.member.replica for one in view.members if _responds(one, policy)}
    voters = [one.replica for one in change.members if one.voter]
    able = sum(one in responsive for one in voters)
    return bool(voters) and able >= majority(len(voters))


def _without(view: GroupView, member: Member) -> list[Member]:
    return [one.member for one in view.members if one.member.replica != member.replica]


def _with_vote(view: GroupView, member: Member, votes: bool) -> list[Member]:
    changed = Member()
    changed.CopyFrom(member)
    changed.voter = votes
    return [
        changed if one.member.replica == member.replica else one.member
        for one in view.members
    ]
