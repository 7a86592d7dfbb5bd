"""Real processes that are killed, suspended, partitioned, restarted or lose disks."""

import asyncio
import json
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.fleet import Fleet, FleetSize, Member, running_fleet
from standins.records import read_records
from tests.common import callers
from tests.common.history import (
    Answer,
    Kind,
    Operation,
    check_at_most_once,
    check_linearizable,
    check_never_reverts,
    check_own_answers,
    check_sessions_kept,
)

LEASE = 3.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Return a separate fleet for each test."""
    size = FleetSize(routers=3, engines=2, gap=0.02, snapshot_every=60)
    with running_fleet(tmp_path, size) as running:
        path = callers.write_resources(running)
        running.hitchdeck('apply', str(path), '--wait')
        asyncio.run(callers.until_ready(running))
        yield running


def status_of(fleet: Fleet) -> dict[str, object]:
    """Return the status of the fleet from the operator command."""
    content = json.loads(fleet.hitchdeck('status', '--json').stdout)
    assert isinstance(content, dict)
    return content


def leader_of(fleet: Fleet) -> Member:
    """Return the control box that is the leader."""
    name = status_of(fleet)['leader']
    return next(one for one in fleet.controls if one.name == name)


def scheduler_of(fleet: Fleet) -> Member:
    """Return the router that schedules the chat pool."""
    shards = status_of(fleet)['shards']
    assert isinstance(shards, list)
    name = next(one['router'] for one in shards if one['shard'] == 'chat/0')
    return next(one for one in fleet.routers if one.name == name)


class Operators:
    """Operators that write and read one register, each in its own thread."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.history: list[Operation] = []
        self.versions: list[tuple[str, int]] = []
        self.threads = [
            threading.Thread(target=self.work, args=(name,)) for name in 'xyz'
        ]

    def work(self, name: str) -> None:
        """Alternate writes and reads."""
        for number in range(1, 5):
            weight = str(100 * 'xyz'.index(name) + number)
            self.write(weight)
            self.read(name)

    def write(self, weight: str) -> None:
        """Write the register; a write without an answer has an infinite end time."""
        started = time.monotonic()
        ended = self.fleet.hitchdeck(
            'put',
            'account',
            'register',
            f'--weight={weight}',
            check=False,
        )
        at = time.monotonic() if ended.returncode == 0 else float('inf')
        self.history.append(Operation(Kind.write, weight, started, at))

    def read(self, name: str) -> None:
        """Read the register."""
        started = time.monotonic()
        ended = self.fleet.hitchdeck(
            'get',
            'account',
            'register',
            '--json',
            check=False,
        )
        if ended.returncode:
            return
        rows = json.loads(ended.stdout)
        weight = str(int(rows[0]['weight'])) if rows else ''
        self.history.append(Operation(Kind.read, weight, started, time.monotonic()))
        self.versions.append((name, rows[0]['version'] if rows else 0))

    def check(self) -> None:
        """Wait for all operators, and check the recorded history."""
        for thread in self.threads:
            thread.join()
        done = [one for one in self.history if one.ended != float('inf')]
        assert len(done) > 12
        assert not check_linearizable(self.history, '')
        assert not check_never_reverts(self.versions)


@pytest.mark.parametrize('blow', [signal.SIGKILL, signal.SIGSTOP])
def test_configuration_is_one_register_through_loss_of_the_leader(
    fleet: Fleet,
    blow: signal.Signals,
) -> None:
    operators = Operators(fleet)
    for thread in operators.threads:
        thread.start()
    time.sleep(1)
    victim = leader_of(fleet)
    victim.signal(blow)
    time.sleep(4)
    if blow is signal.SIGSTOP:
        victim.signal(signal.SIGCONT)
    else:
        victim.start()
    operators.check()


def test_lost_disk_is_replaced_and_a_second_loss_survived(fleet: Fleet) -> None:
    for number in range(0, 70, 10):
        fleet.hitchdeck('put', 'account', f'n{number}')
    leader = leader_of(fleet)
    victim, other = (one for one in fleet.controls if one is not leader)
    victim.kill()
    fleet.lose_disk(victim)
    victim.start()
    fleet.hitchdeck('control', 'replace', f'127.0.0.1:{victim.port}')
    other.kill()
    fleet.hitchdeck('put', 'account', 'after')
    leader.kill()
    other.start()
    names = {
        row['name']
        for row in json.loads(fleet.hitchdeck('get', 'account', '--json').stdout)
    }
    assert {'after', 'n0', 'n60', 'ann'} <= names
    sessions = json.loads(fleet.hitchdeck('get', 'session', '--json').stdout)
    present = [row['name'] for row in sessions]
    assert not check_sessions_kept(['long'], [], present)


async def test_resumed_router_does_not_dispatch_on_stale_state(
    fleet: Fleet,
) -> None:
    scheduler = await asyncio.to_thread(scheduler_of, fleet)
    victim = next(one for one in fleet.routers if one is not scheduler)
    victim.signal(signal.SIGSTOP)
    await asyncio.to_thread(
        fleet.hitchdeck,
        'drain',
        'upstream',
        'engine-0',
        '--seconds=20',
    )
    before = len(callers.begun_at(fleet, fleet.engines[0]))
    asking = [
        asyncio.create_task(callers.chat(victim, f'frozen {number}'))
        for number in range(10)
    ]
    await asyncio.sleep(0.2)
    victim.signal(signal.SIGCONT)
    replies = await asyncio.gather(*asking)
    assert len(callers.begun_at(fleet, fleet.engines[0])) == before
    for number, reply in enumerate(replies):
        if reply.status == 200:
            expected = callers.expected_text(f'frozen {number}')
            assert callers.text_of(reply) == expected
        else:
            assert reply.ran == 'not-run'


async def test_routers_cut_off_from_control_stop_and_come_back(fleet: Fleet) -> None:
    for control in fleet.controls:
        control.signal(signal.SIGSTOP)
    await asyncio.sleep(LEASE + 0.5)
    reply = await callers.chat(fleet.routers[0], 'cut off')
    assert (reply.status, reply.ran) == (503, 'not-run')
    for control in fleet.controls:
        control.signal(signal.SIGCONT)
    await callers.until_ready(fleet)
    reply = await callers.chat(fleet.routers[0], 'back')
    assert callers.text_of(reply) == callers.expected_text('back')


async def ask_until_answered(fleet: Fleet, prompt: str) -> str:
    """Send a prompt to one router after the other until one answers."""
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        for router in fleet.routers:
            if not router.is_running():
                continue
            reply = await callers.chat(router, prompt)
            if reply.status == 200:
                return callers.text_of(reply)
        await asyncio.sleep(0.05)
    raise AssertionError('no router answered within the deadline')


@pytest.mark.parametrize('blow', [signal.SIGKILL, signal.SIGSTOP])
async def test_loss_of_the_scheduler_loses_no_answer(
    fleet: Fleet,
    blow: signal.Signals,
) -> None:
    victim = await asyncio.to_thread(scheduler_of, fleet)
    others = [one for one in fleet.routers if one is not victim]
    prompts = [f'caller {number}' for number in range(30)]
    asking = [
        asyncio.create_task(callers.chat(others[number % 2], prompt, 30))
        for number, prompt in enumerate(prompts)
    ]
    await asyncio.sleep(0.5)
    victim.signal(blow)
    replies = await asyncio.gather(*asking)
    pairs = [
        (callers.expected_text(prompt, 30), callers.text_of(reply))
        for prompt, reply in zip(prompts, replies, strict=True)
    ]
    assert not check_own_answers(pairs)


async def test_calls_run_at_most_once_through_kill_and_leader_loss(
    fleet: Fleet,
) -> None:
    keys = [callers.fresh_key(f'key-{number}') for number in range(12)]
    answers: list[Answer] = []

    async def retry_until_answered(key: str, turn: int) -> None:
        for attempt in range(6):
            router = fleet.routers[(turn + attempt) % 3]
            reply = await callers.confirm(router, key)
            answers.append(Answer(key, reply.ran, reply.body.decode()))

    working = [
        asyncio.create_task(retry_until_answered(key, turn))
        for turn, key in enumerate(keys * 2)
    ]
    await asyncio.sleep(0.05)
    fleet.routers[0].kill()
    leader = await asyncio.to_thread(leader_of, fleet)
    leader.kill()
    await asyncio.gather(*working)
    assert not check_at_most_once(answers, callers.runs_of(fleet))
    assert any(one.ran == 'ran' for one in answers)


async def test_rolling_restart_cuts_nothing(fleet: Fleet) -> None:
    stop = asyncio.Event()
    pairs: list[tuple[str, str]] = []
    refused: list[int] = []

    async def keep_asking(number: int) -> None:
        while not stop.is_set():
            prompt = f'caller {number} {len(pairs)}'
            router = await _address(fleet)
            reply = await callers.chat(router, prompt, 20)
            pairs.append((callers.expected_text(prompt, 20), callers.text_of(reply)))
            if reply.status != 200:
                refused.append(reply.status)

    asking = [asyncio.create_task(keep_asking(number)) for number in range(6)]
    for router in fleet.routers:
        await asyncio.sleep(0.5)
        assert await asyncio.to_thread(router.stop) == 0
        await asyncio.to_thread(router.start)
        await callers.until_ready(fleet)
    stop.set()
    await asyncio.gather(*asking)
    assert not refused
    assert not check_own_answers(pairs)


async def _address(fleet: Fleet) -> Member:
    """Ask any router which entry address to use, as callers do."""
    for router in fleet.routers:
        reply = await callers.request(router, '/v1/addresses', method='GET')
        if reply.status != 200:
            continue
        first = json.loads(reply.body)['addresses'][0]
        port = int(first.rpartition(':')[2])
        return next(one for one in fleet.routers if one.port == port)
    raise AssertionError('no router returned an entry address')


async def test_newest_configuration_is_in_force_after_everything_restarts(
    fleet: Fleet,
) -> None:
    for number in range(25):
        await asyncio.to_thread(fleet.hitchdeck, 'put', 'account', f'n{number}')
    await asyncio.to_thread(fleet.hitchdeck, 'drain', 'upstream', 'engine-0')
    for member in (*fleet.controls, *fleet.routers):
        member.kill()
    for member in (*fleet.controls, *fleet.routers):
        member.launch()
    await callers.until_ready(fleet)
    before = len(callers.begun_at(fleet, fleet.engines[0]))
    for number in range(8):
        text = await ask_until_answered(fleet, f'after {number}')
        assert text == callers.expected_text(f'after {number}')
    assert len(callers.begun_at(fleet, fleet.engines[0])) == before


async def test_an_evacuated_domain_gets_no_new_work_until_it_is_reopened(
    fleet: Fleet,
) -> None:
    for number, engine in enumerate(fleet.engines):
        labels = f'--labels={{kind: engine, domain: d{number}}}'
        address = f'--address=127.0.0.1:{engine.port}'
        fleet.hitchdeck('put', 'upstream', engine.name, address, labels)
    unknown = fleet.hitchdeck('evacuate', 'nowhere', check=False)
    assert unknown.returncode == 2
    assert 'd0, d1' in unknown.stderr
    for _ in range(2):
        fleet.hitchdeck('evacuate', 'd0')
    before = len(callers.begun_at(fleet, fleet.engines[0]))
    for number in range(6):
        await ask_until_answered(fleet, f'evacuated {number}')
    assert len(callers.begun_at(fleet, fleet.engines[0])) == before
    for _ in range(2):
        fleet.hitchdeck('reopen', 'd0')
    rules = json.loads(fleet.hitchdeck('get', 'rule', '--json').stdout)
    assert all(one['effect'] != 'leaving' for one in rules)


def test_orders_survive_the_leader_and_are_fenced(fleet: Fleet) -> None:
    for number in range(3):
        fleet.hitchdeck('order', 'engine-0', 'load', f'model-{number}')
    leader_of(fleet).kill()
    fleet.hitchdeck('order', 'engine-0', 'unload', 'model-1')
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        orders = json.loads(fleet.hitchdeck('orders', '--json').stdout)
        if all(one['state'] == 'done' for one in orders):
            break
    assert [one['state'] for one in orders] == ['done'] * 4
    records = read_records(fleet.folder / 'engine-0.records')
    fences = [
        (one['term'], one['sequence']) for one in records if one['event'] == 'order'
    ]
    assert fences == sorted(fences)
    assert len({term for term, _ in fences}) == 2
