"""A hub loses power right after it has acknowledged that a worker is gone."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from machines import (  # noqa: E402
    BROKEN,
    DRAIN_S,
    HELD,
    NOT_RUN,
    ZONES,
    Fleet,
    Operator,
    Record,
    document,
    play_case,
)
from stand_ins import Clients, Worker, wait_until  # noqa: E402

START_S = 30.0
WORKERS = 4
BETWEEN_S = 0.01
"""Time between the departures of two workers that leave together."""

LINGER_S = 6.0
"""How long a worker serves after the answer to its departure: ``drainMs`` and more."""


def main() -> int:
    """Run the case; return its exit code."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    def play(fleet: Fleet, record: Record) -> int:
        return run(fleet, record, trouble=trouble)

    return play_case(Path(__file__).parent, play)


def run(fleet: Fleet, record: Record, *, trouble: bool) -> int:
    """Play the case on a fleet."""
    core = [
        fleet.new(f'front-{zone}-1', number, zone, ('hub', 'entry'), disk=True)
        for number, zone in enumerate(ZONES, 1)
    ]
    others = [
        fleet.new(f'front-{zone}-2', number, zone, ('hub', 'entry'), disk=False)
        for number, zone in enumerate(ZONES, 11)
    ]
    for machine in (*core, *others):
        fleet.start(machine, core, first=True)
    hubs = [*core, *others]
    operator = Operator(fleet, record)
    if not operator.publish(document(1), hubs, START_S):
        return NOT_RUN
    workers = [
        Worker(fleet, record, hubs, ZONES[number % 3], number)
        for number in range(1, WORKERS + 1)
    ]
    for worker in workers:
        worker.start()
    told, survivors = others[0], [*core, *others[1:]]
    clients = Clients(fleet, survivors, per_s=12, path='/lookup/x')
    clients.start()
    if not wait_until(lambda: all(one.arrivals for one in workers), START_S):
        record.add(f'not every worker got requests: {clients.statuses}')
        return NOT_RUN
    time.sleep(5)

    first, second = workers[0], workers[1]
    statuses = [first.leave(told)]
    time.sleep(BETWEEN_S)
    statuses.append(second.leave(told))
    acknowledged = time.monotonic()
    if trouble:
        fleet.kill(told)
    record.add(f'DELETE of {first.name}, {second.name} at {told.name}: {statuses}')
    if trouble:
        record.add(f'{told.name} lost power right after the second answer')
    if statuses != [200, 200]:
        return NOT_RUN
    time.sleep(LINGER_S)
    clients.stop()
    late = [one for one in second.arrivals if one.at > acknowledged + DRAIN_S]
    for one in late:
        record.add(
            f'request {one.attempt} reached {second.name} from {one.sender} '
            f'{one.at - acknowledged:.3f} s after the answer'
        )
    early = [one for one in first.arrivals if one.at > acknowledged + DRAIN_S]
    record.add(f'late at {first.name}: {len(early)}, at {second.name}: {len(late)}')
    record.add(f'answers to clients: {clients.statuses}')
    for worker in workers:
        worker.stopped.set()
    return BROKEN if late or early else HELD


if __name__ == '__main__':
    sys.exit(main())
