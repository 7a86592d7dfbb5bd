"""A signal for changed settings that arrives while a program starts."""

import asyncio
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from hitchdeck_core.signals import Signal
from hitchdeck_daemon import on_platform

WAIT_SECONDS = 10


class Hubs:
    """Records the seeds that it is given."""

    def __init__(self) -> None:
        self.replaced = Signal()

    def replace_seeds(self, _: Any) -> None:
        self.replaced.notify()


@pytest.mark.parametrize('signals', [1, 2])
async def test_a_signal_during_the_start_is_heeded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, signals: int
) -> None:
    # Guards against settings that changed before the watch began and are never applied.
    settings = SimpleNamespace(entry=SimpleNamespace(seeds=('127.0.0.1:1',)), hub=None)
    monkeypatch.setattr(on_platform, 'read_settings', lambda _: settings)
    path = tmp_path / 'settings.toml'
    path.write_text('seeds = []')
    reload, hubs = Signal(), Hubs()
    for _ in range(signals):
        reload.notify()
    role: Any = SimpleNamespace(known_hubs=hubs)
    watching = asyncio.create_task(on_platform.watch_settings(role, reload, path))
    async with asyncio.timeout(WAIT_SECONDS):
        assert hubs.replaced.count or await hubs.replaced.wait()
    watching.cancel()
    assert hubs.replaced.count == 1


EARLY = """
import os, signal
from hitchdeck_daemon import startup

class Role:
    def run():
        os.kill(os.getpid(), signal.SIGHUP)
        print(signal.SIGHUP in signal.sigpending())
        signal.signal(signal.SIGHUP, lambda number, frame: print('handled'))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

startup.import_bundled = lambda name: Role
startup.run_program('role')
"""


def test_a_signal_before_the_event_loop_runs_does_not_end_the_program() -> None:
    # Guards against a process that is killed by SIGHUP within 0.4 s of its start.
    done = subprocess.run(
        [sys.executable, '-c', EARLY], capture_output=True, text=True, check=False
    )
    assert (done.returncode, done.stdout) == (0, 'True\nhandled\n')
