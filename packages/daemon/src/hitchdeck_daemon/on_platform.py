"""Runs the entry box or hub that the platform's settings ask for.

Started as ``python3 -m hitchdeck_daemon.on_platform``.
"""

import asyncio
import gc
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

from tornado.httpserver import HTTPServer

from hitchdeck_core import logs
from hitchdeck_core.errors import HitchdeckError, SettingsError
from hitchdeck_core.ids import Address
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_edge.hub.process import Hub, start_hub
from hitchdeck_edge.links.hubs import HubBook
from hitchdeck_edge.process import EntryBox, start_entry
from hitchdeck_edge.settings import BoxSettings
from hitchdeck_platform.documents import read_document
from hitchdeck_platform.doors import open_doors
from hitchdeck_platform.requests import DIALECT
from hitchdeck_platform.settings import (
    PlatformSettings,
    read_settings,
    settings_path,
)

BAD_SETTINGS = 2
FAILED = 1

RELOAD_SECONDS = 1.0
"""Between two looks at the settings file, which may change without a signal."""

HUB_STOP_SECONDS = 0.5
"""A stopping hub still answers calls that are under way for so long."""


@dataclass(slots=True)
class Running:
    """What this process runs."""

    stopping: asyncio.Event = field(default_factory=asyncio.Event)
    reload: asyncio.Event = field(default_factory=asyncio.Event)
    entry: EntryBox | None = None
    hub: Hub | None = None
    doors: list[HTTPServer] = field(default_factory=list)

    def books(self) -> list[HubBook]:
        """Return the books of hubs, which changed settings change."""
        found = [self.entry.book] if self.entry else []
        return [*found, self.hub.book] if self.hub else found

    async def stop(self) -> None:
        """Stop as planned."""
        if self.entry is not None:
            await self.entry.drain()
            await self.entry.stop()
        if self.hub is not None:
            await asyncio.sleep(HUB_STOP_SECONDS)
            for door in self.doors:
                door.stop()
            await self.hub.stop()


def main() -> None:
    """Run until SIGTERM or SIGINT."""
    try:
        path = settings_path()
        settings = read_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'hitchdeckd: {error}\n')
        sys.exit(BAD_SETTINGS)
    about = _about(settings)
    logs.set_up_stdout(box=about.box, domain=about.domain)
    try:
        asyncio.run(_run(settings, path))
    except (HitchdeckError, OSError) as error:
        logs.failure('stopped', error)
        sys.exit(FAILED)


def _about(settings: PlatformSettings) -> BoxSettings:
    about = settings.entry or settings.hub
    if about is None:
        raise SettingsError('these settings ask for neither an entry box nor a hub')
    return about


async def _run(settings: PlatformSettings, path: Path) -> None:
    running = Running()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, running.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, running.reload.set)
    if settings.hub is not None:
        running.hub = await start_hub(settings.hub, read_document)
        running.doors = open_doors(running.hub)
    if settings.entry is not None:
        running.entry = await start_entry(settings.entry, DIALECT)
    # What was made up to here stays; the collector need not look at it again.
    gc.freeze()
    watching = Supervisor('settings')
    watching.permanent('reload', lambda: _watch_settings(running, path))
    await running.stopping.wait()
    await watching.stop()
    await running.stop()
    logs.info('stopped')


async def _watch_settings(running: Running, path: Path) -> None:
    """Take new seeds from changed settings; for ever."""
    known = _text_of(path)
    while True:
        try:
            await asyncio.wait_for(running.reload.wait(), RELOAD_SECONDS)
        except TimeoutError:
            # No signal came; the file may have changed all the same.
            signalled = False
        else:
            signalled = True
        running.reload.clear()
        text = _text_of(path)
        if text and (text != known or signalled):
            known = text
            _reload(running, path)


def _text_of(path: Path) -> str:
    """Return the settings' text; blank while the file is being replaced."""
    try:
        return path.read_text()
    except OSError as error:
        logs.warning('settings unreadable', reason=repr(error))
        return ''


def _reload(running: Running, path: Path) -> None:
    try:
        about = _about(read_settings(path))
    except SettingsError as error:
        logs.warning('settings unchanged', reason=str(error))
        return
    for book in running.books():
        book.reseed(map(Address, about.seeds))
    logs.info('settings reloaded', seeds=about.seeds)


if __name__ == '__main__':
    main()
