"""The plan of who votes: seats of voters that go are taken, one vote at a time."""

from dataclasses import replace
from itertools import product

import pytest

from hitchdeck_core.wire.hitchdeck_pb2 import Member
from hitchdeck_edge.hub.voter_plan import (
    GroupView,
    MemberState,
    VotingPolicy,
    majority,
    plan_change,
)

POLICY = VotingPolicy(
    disks_lost=1, voters_needed=3, responsive=0.6, replaced=1, absent=4
)

VOTES, LEARNS = True, False


def member(name: str, *, votes: bool = VOTES, **state: object) -> MemberState:
    """Return a member that is well but for what is given."""
    return replace(
        MemberState(Member(replica=name, box=name, address=name, voter=votes)), **state
    )


def three(**state: object) -> tuple[MemberState, ...]:
    """Return a group of three, of which ``c`` is not well."""
    return (member('a'), member('b'), member('c', **state))


READY = member('d', votes=LEARNS)
FOURTH = member('d')


def voters_after(view: GroupView, policy: VotingPolicy = POLICY) -> str | None:
    """Return the voters after the next change."""
    change = plan_change(view, policy)
    if change is None:
        return None
    return ''.join(sorted(one.replica for one in change.members if one.voter))


@pytest.mark.parametrize(
    ('members', 'voters'),
    [
        (three(), None),
        (three(silence=9), None),
        (three(leaving=True), None),
        ((*three(), READY), 'abcd'),
        ((*three(silence=0.7), READY), None),
        ((*three(silence=1), READY), 'ab'),
        ((*three(disk_lost=True), READY), 'ab'),
        ((*three(leaving=True, silence=0.7), READY), 'ab'),
        ((*three(leaving=True), READY), 'abcd'),
        ((*three(leaving=True), FOURTH), 'abd'),
        ((*three(silence=0.7), FOURTH), None),
        ((*three(silence=1), FOURTH), 'abd'),
        ((*three(disk_lost=True), FOURTH), 'abd'),
        ((*three(silence=3), FOURTH, member('e')), None),
        ((*three(silence=4), FOURTH, member('e')), 'abde'),
        ((*three(leaving=True), FOURTH, member('e')), None),
        ((*three(), replace(READY, caught_up=False)), None),
        ((*three(), replace(READY, heard=False)), None),
        ((*three(), replace(READY, leaving=True)), None),
        ((member('a'), member('b', silence=9), READY), 'abd'),
        ((member('a'), READY), 'ad'),
    ],
    ids=[
        'all-is-well',
        'gone-without-successor',
        'stops-without-successor',
        'newcomer',
        'newcomer-while-one-is-silent',
        'newcomer-takes-the-seat-of-a-silent-one',
        'newcomer-takes-the-seat-of-a-lost-disk',
        'newcomer-takes-the-seat-of-one-that-stopped',
        'newcomer-before-one-stops',
        'stops-beside-its-successor',
        'silent-for-a-moment',
        'silent-beside-its-successor',
        'lost-disk-beside-a-fourth',
        'silent-but-two-more-may-go',
        'silent-for-long',
        'stops-but-two-more-may-go',
        'behind',
        'never-heard',
        'newcomer-stops',
        'too-few-voters',
        'founder-alone',
    ],
)
def test_seats_are_taken_by_who_can_hold_them(
    members: tuple[MemberState, ...], voters: str | None
) -> None:
    assert voters_after(GroupView(members)) == voters


def test_a_new_hub_learns_before_it_votes_and_replaces_a_learner_of_its_box() -> None:
    lost = member('d', votes=LEARNS, silence=9)
    newcomer = Member(replica='d2', box='d', address='d')
    change = plan_change(GroupView((*three(), lost), (newcomer,)), POLICY)
    assert change is not None
    assert [one.replica for one in change.members] == ['a', 'b', 'c', 'd2']
    assert not change.members[-1].voter


def test_a_learner_that_is_gone_is_forgotten() -> None:
    lost = member('d', votes=LEARNS, silence=4, connected=False)
    change = plan_change(GroupView((*three(), lost)), POLICY)
    assert change is not None
    assert [one.replica for one in change.members] == ['a', 'b', 'c']


STATES: tuple[dict[str, object], ...] = (
    {},
    {'silence': 1.2},
    {'silence': 5, 'connected': False},
    {'leaving': True},
    {'leaving': True, 'silence': 1},
    {'disk_lost': True, 'silence': 1},
)


@pytest.mark.parametrize('count', [3, 4, 5])
def test_any_majority_before_a_change_meets_any_majority_after_it(count: int) -> None:
    # A seat that is taken and given in one step allows two leaders at once.
    for states in product(STATES, repeat=count):
        for votes in product([VOTES, LEARNS], repeat=count - 1):
            members = [
                member(f'{number}', votes=voter, **state)
                for number, (state, voter) in enumerate(
                    zip(states, (VOTES, *votes), strict=True)
                )
            ]
            view = GroupView(tuple(members))
            change = plan_change(view, POLICY)
            if change is None:
                continue
            before = {one.member.replica for one in view.voters}
            after = {one.replica for one in change.members if one.voter}
            joint = len(before | after)
            assert majority(len(before)) + majority(len(after)) > joint
