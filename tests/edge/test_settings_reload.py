"""A running process applies settings that change, with a signal or without."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from hitchdeck_core.signals import Signal
from hitchdeck_daemon import on_platform

HOUR = 3600.0
WAIT_SECONDS = 5


@pytest.fixture
def role(monkeypatch: pytest.MonkeyPatch) -> Mock:
    """Return a role; the settings name a seed whatever the file says."""
    seeds = SimpleNamespace(entry=SimpleNamespace(seeds=('10.0.0.1:1',)), hub=None)
    monkeypatch.setattr(on_platform, 'read_settings', lambda path: seeds)
    return Mock()


async def reloads(role: Mock, count: int, act: Callable[[], object]) -> None:
    act()
    async with asyncio.timeout(WAIT_SECONDS):
        while role.known_hubs.replace_seeds.call_count < count:
            await asyncio.sleep(0.01)


async def test_settings_are_applied_once_for_each_change_and_each_signal(
    role: Mock, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A signal that arrives while the file is read must not be lost."""
    path = tmp_path / 'settings'
    path.write_text('first')
    signalled = Signal()
    monkeypatch.setattr(on_platform, 'RELOAD_SECONDS', 0.02)
    watching = asyncio.ensure_future(on_platform.watch_settings(role, signalled, path))
    await asyncio.sleep(0.1)
    assert not role.known_hubs.replace_seeds.called
    await reloads(role, 1, lambda: path.write_text('second'))
    await reloads(role, 2, signalled.notify)
    again = [signalled.notify]
    role.known_hubs.replace_seeds.side_effect = lambda _: again and again.pop()()
    await reloads(role, 4, signalled.notify)
    await asyncio.sleep(0.1)
    assert role.known_hubs.replace_seeds.call_count == 4
    watching.cancel()


async def test_a_signal_needs_no_tick(
    role: Mock, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(on_platform, 'RELOAD_SECONDS', HOUR)
    path = tmp_path / 'settings'
    path.write_text('first')
    signalled = Signal()
    watching = asyncio.ensure_future(on_platform.watch_settings(role, signalled, path))
    await asyncio.sleep(0.05)
    await reloads(role, 1, signalled.notify)
    watching.cancel()
