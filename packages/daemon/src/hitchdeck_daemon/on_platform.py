"""Shared startup and shutdown of the programs for the platform's two roles.

Each role is a separate program, so that an entry box does not import the
hub's modules: ``platform_entry`` runs ``entry_role``, ``platform_hub`` ``hub_role``.
"""

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from hitchdeck_core import logs
from hitchdeck_core.errors import HitchdeckError, SettingsError
from hitchdeck_core.ids import Address
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.loop_load import MeteredLoop
from hitchdeck_core.signals import Signal
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_core.ticks import until_tick
from hitchdeck_edge.links.known_hubs import KnownHubs
from hitchdeck_edge.settings import BoxSettings
from hitchdeck_platform.settings import (
    PlatformSettings,
    read_settings,
    settings_path,
)

BAD_SETTINGS = 2
FAILED = 1

RELOAD_SECONDS = 1.0
"""Poll interval of the settings file, which may change without a signal."""


@dataclass(frozen=True, slots=True)
class Role:
    """A running role: its known hubs, its supervisor and its graceful shutdown."""

    known_hubs: KnownHubs
    supervisor: Supervisor
    stop: Callable[[], Awaitable[None]]


Start = Callable[[PlatformSettings], Awaitable[Role]]
"""Starts a role from its settings."""


def run_role(start: Start) -> None:
    """Run a role until SIGTERM or SIGINT."""
    try:
        path = settings_path()
        settings = read_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'hitchdeckd: {error}\n')
        sys.exit(BAD_SETTINGS)
    box_settings = _box_settings(settings)
    logs.set_up_stdout(box=box_settings.box, domain=box_settings.domain)
    try:
        with asyncio.Runner(loop_factory=MeteredLoop) as runner:
            runner.run(_run(start, settings, path))
    except (HitchdeckError, OSError) as error:
        logs.failure('stopped', error)
        sys.exit(FAILED)


def _box_settings(settings: PlatformSettings) -> BoxSettings:
    box_settings = settings.entry or settings.hub
    if box_settings is None:
        raise SettingsError('settings configure neither an entry box nor a hub')
    return box_settings


async def _run(start: Start, settings: PlatformSettings, path: Path) -> None:
    stopping = asyncio.Event()
    reload = Signal()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload.notify)
    # Held back since the start of the program.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    role = await start(settings)
    # Objects created during startup live until exit; keep them out of later
    # garbage collections, which begin now: see ``run_program``.
    gc.freeze()
    gc.enable()
    watching = Supervisor('settings')
    watching.permanent('reload', lambda: watch_settings(role, reload, path))
    await _wait_for_stop(stopping, role)
    await watching.stop()
    await role.stop()
    logs.info('stopped')


async def _wait_for_stop(stopping: asyncio.Event, role: Role) -> None:
    """Wait for a signal, or raise if a task failed permanently.

    A process whose disk failed exits at once; the platform restarts it.
    """
    waits = [
        asyncio.ensure_future(stopping.wait()),
        asyncio.ensure_future(role.supervisor.wait_for_failure()),
    ]
    done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for one in done:
        one.result()


async def watch_settings(role: Role, reload: Signal, path: Path) -> None:
    """Apply the seeds of changed settings; runs until cancelled."""
    known_text = _text_of(path)
    # A signal may have arrived while the role started.
    seen = 0
    while True:
        if reload.count == seen:
            await reload.wait(until_tick(RELOAD_SECONDS))
        # Without a signal, the file may still have changed.
        signalled = reload.count > seen
        seen = reload.count
        text = _text_of(path)
        if text and (text != known_text or signalled):
            known_text = text
            _reload(role, path)


def _text_of(path: Path) -> str:
    """Return the settings' text; empty if unreadable, as during a replacement."""
    try:
        return path.read_text()
    except OSError as error:
        logs.warning('settings unreadable', reason=repr(error))
        return ''


def _reload(role: Role, path: Path) -> None:
    try:
        box_settings = _box_settings(read_settings(path))
    except SettingsError as error:
        logs.warning('settings unchanged', reason=str(error))
        return
    role.known_hubs.replace_seeds(map(Address, box_settings.seeds))
    logs.info('settings reloaded', seeds=box_settings.seeds)
