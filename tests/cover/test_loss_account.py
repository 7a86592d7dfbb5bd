"""The account of losses in the property tests says what the platform's page says."""

import math

import pytest

from tests.common.loss_account import MachineHistory, is_allowed, lost_machines

CATCH_UP = 4.0


def fleet(*machines: MachineHistory) -> dict[str, MachineHistory]:
    """Return machines by name."""
    return {one.name: one for one in machines}


@pytest.mark.parametrize(
    ('machine', 'at', 'lost'),
    [
        (MachineHistory('m'), 0, False),
        (MachineHistory('m', outages=[(5, 7)]), 4.9, False),
        (MachineHistory('m', outages=[(5, 7)]), 5, True),
        (MachineHistory('m', outages=[(5, 7)]), 10.9, True),
        (MachineHistory('m', outages=[(5, 7)]), 11, False),
        (MachineHistory('m', outages=[(5, math.inf)]), 99, True),
        (MachineHistory('m', started_at=5, is_new=True), 4, False),
        (MachineHistory('m', started_at=5, is_new=True), 8.9, True),
        (MachineHistory('m', started_at=5, is_new=True), 9, False),
        (MachineHistory('m', removed_at=5), 99, True),
    ],
    ids=[
        'from-the-start',
        'before-its-outage',
        'down',
        'back-but-behind',
        'back-for-its-time',
        'never-back',
        'not-there-yet',
        'new',
        'new-for-its-time',
        'removed-without-successor',
    ],
)
def test_a_machine_is_lost_as_the_page_says(
    machine: MachineHistory, at: float, *, lost: bool
) -> None:
    assert bool(lost_machines(fleet(machine), at, CATCH_UP)) == lost


@pytest.mark.parametrize(
    ('successor_started', 'removed', 'at', 'lost'),
    [
        (5, 9.2, 8.9, {'new'}),
        (5, 9.2, 9.2, set()),
        (5, 6, 6, {'new'}),
        (5, 6, 9, set()),
        (5.3, 5, 5.1, {'old'}),
        (5.3, 5, 9.2, {'new'}),
        (5.3, 5, 9.3, set()),
    ],
    ids=[
        'planned-too-early',
        'planned',
        'went-before-the-time',
        'had-the-time',
        'gone-before-its-successor',
        'successor-is-behind',
        'successor-had-the-time',
    ],
)
def test_a_removed_machine_counts_until_its_successor_had_its_time(
    successor_started: float, removed: float, at: float, lost: set[str]
) -> None:
    machines = fleet(
        MachineHistory('old', removed_at=removed, successor='new'),
        MachineHistory('new', started_at=successor_started, is_new=True),
    )
    assert lost_machines(machines, at, CATCH_UP) == lost


@pytest.mark.parametrize(
    ('at', 'allowed', 'victim', 'fits'),
    [
        (10.4, 1, 'b', False),
        (10.5, 1, 'b', True),
        (7, 2, 'b', True),
        (7, 1, 'a', True),
    ],
)
def test_a_loss_is_allowed_once_the_last_one_ceases_to_count(
    at: float, allowed: int, victim: str, *, fits: bool
) -> None:
    machines = fleet(MachineHistory('a', outages=[(5, 6.5)]), MachineHistory('b'))
    assert is_allowed(machines, at, CATCH_UP, allowed, [victim]) == fits


def test_a_successor_has_its_time_only_while_the_losses_are_allowed() -> None:
    # An acknowledged change is on a majority of disks, of which one is gone for good:
    # if the others are away meanwhile, nobody can copy it to the successor.
    machines = fleet(
        MachineHistory('old', removed_at=5, successor='new'),
        MachineHistory('new', started_at=5.3, is_new=True),
        MachineHistory('other', outages=[(6, 6.1)]),
    )
    assert lost_machines(machines, 10.2, CATCH_UP) == set()
    assert not is_allowed(machines, 10.2, CATCH_UP, 1, ['third'])
    assert is_allowed(machines, 13.4, CATCH_UP, 1, ['third'])
