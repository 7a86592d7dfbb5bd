"""A soak stops all processes that it started, also after a failure."""

from pathlib import Path

import pytest

from soak import fleet
from soak.__main__ import Run
from soak.fleet import Fleet


class FakeProcess:
    """A simulated process that runs until it is killed."""

    started: list['FakeProcess']

    def __init__(self, *_arguments: object, **_options: object) -> None:
        self.runs = True
        self.started.append(self)

    def poll(self) -> int | None:
        return None if self.runs else 0

    def send_signal(self, number: int) -> None:
        self.runs = self.runs and number != fleet.signal.SIGKILL

    def kill(self) -> None:
        self.runs = False

    def wait(self, _seconds: float | None = None) -> int:
        return 0


@pytest.fixture
def started(monkeypatch: pytest.MonkeyPatch) -> list[FakeProcess]:
    """Return the list of started processes, in the order of their start."""
    monkeypatch.setattr(FakeProcess, 'started', [], raising=False)
    monkeypatch.setattr(fleet.subprocess, 'Popen', FakeProcess)
    return FakeProcess.started


@pytest.mark.parametrize('role', ['hub', 'box'])
def test_a_running_program_is_not_started_twice(
    role: str,
    started: list[FakeProcess],
    tmp_path: Path,
) -> None:
    # Two faults on one box each restart it.  Guards against losing track of the
    # first process, which then keeps its addresses for good.
    running = Fleet(tmp_path, 250)
    program = running.add(0, role)
    program.start()
    assert len(started) == 1
    running.stop()
    assert not any(process.runs for process in started)
    program.start()
    assert len(started) == 2


@pytest.mark.parametrize('starts', [1, 2, 5])
async def test_a_soak_that_fails_to_start_stops_what_it_started(
    starts: int,
    started: list[FakeProcess],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    add = Fleet.add

    def fail_later(self: Fleet, number: int, role: str) -> object:
        if len(started) == starts:
            raise KeyError(role)
        return add(self, number, role)

    monkeypatch.setattr(Fleet, 'add', fail_later)
    with pytest.raises(KeyError):
        await Run(tmp_path, 250).play(1)
    assert len(started) == starts
    assert not any(process.runs for process in started)
