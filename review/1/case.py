"""A machine with a disk is replaced as planned; seconds later another loses its disk."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from machines import (  # noqa: E402
    BROKEN,
    CATCH_UP_S,
    CONTACT_S,
    HELD,
    NOT_RUN,
    RECOVERY_S,
    ZONES,
    Fleet,
    Machine,
    Operator,
    Record,
    document,
    play_case,
)

ROLES = ('hub', 'entry')
START_S = 30.0
ACK_S = 4.0

SLACK_S = 0.2
"""How much longer than ``catchUpS`` the successor has before the old machine goes."""

LATER_S = 0.1
"""Time from the end of the old machine's last program to the loss of a disk."""

DOWN_S = 1.0
"""How long the machine without its disk is down."""


def main() -> int:
    """Run the case; return its exit code."""
    # Besides 0 and 1: "replace" and "disk", which play one of the two alone.
    trouble = os.environ.get('TROUBLE', '1')

    def play(fleet: Fleet, record: Record) -> int:
        return run(fleet, record, trouble)

    return play_case(Path(__file__).parent, play)


def run(fleet: Fleet, record: Record, trouble: str) -> int:
    """Play the case on a fleet."""
    operator = Operator(fleet, record)
    core = [
        fleet.new(f'front-{zone}-1', number, zone, ROLES, disk=True)
        for number, zone in enumerate(ZONES, 1)
    ]
    others = [
        fleet.new(f'front-{zone}-2', number, zone, ROLES, disk=False)
        for number, zone in enumerate(ZONES, 11)
    ]
    for machine in (*core, *others):
        fleet.start(machine, core, first=True)
    if not operator.publish(document(1), [*core, *others], START_S):
        return NOT_RUN
    time.sleep(CATCH_UP_S)
    alive = list(core)
    if trouble in {'1', 'replace'}:
        replace(fleet, alive)
    time.sleep(LATER_S)
    if not operator.publish(document(2, 1), [*alive, *others], ACK_S):
        return NOT_RUN
    if trouble in {'1', 'disk'}:
        lose_disk(fleet, alive)
    time.sleep(RECOVERY_S)
    found = operator.read([*alive, *others], 3 * CONTACT_S)
    if fleet.ended():
        record.add(f'ended by themselves: {fleet.ended()}')
        return NOT_RUN
    held = found is not None and found >= operator.acknowledged
    record.add(
        f'newest acknowledged: {operator.acknowledged}; read back: {found}; '
        f'{"held" if held else "broken"}'
    )
    # Not judged: shows whether the group still accepts changes.
    operator.publish(document(3, 2), [*alive, *others], 2 * ACK_S)
    return HELD if held else BROKEN


def replace(fleet: Fleet, alive: list[Machine]) -> None:
    """Start the successor of a machine, give it its time, and take the machine away."""
    gone = next((one for one in alive if fleet.leads(one)), alive[0])
    new = fleet.new(f'front-{gone.zone}-4', 21, gone.zone, ROLES, disk=True)
    fleet.start(new, alive, first=False)
    time.sleep(CATCH_UP_S + SLACK_S)
    fleet.record.add(f'SIGTERM to {gone.name}, for good (leads: {fleet.leads(gone)})')
    fleet.terminate(gone)
    fleet.wait_ended(gone)
    fleet.record.add(f'{gone.name} has ended')
    alive.remove(gone)
    alive.append(new)


def lose_disk(fleet: Fleet, alive: list[Machine]) -> None:
    """Kill a machine, and start it again at its address with an empty disk."""
    lost = alive[0]  # an old machine, not the successor
    fleet.record.add(f'{lost.name} loses its disk (leads: {fleet.leads(lost)})')
    fleet.kill(lost)
    fleet.wipe(lost)
    time.sleep(DOWN_S)
    fleet.start(lost, alive, first=False)


if __name__ == '__main__':
    sys.exit(main())
