"""The role of an entry box on the platform."""

from hitchdeck_core.errors import SettingsError
from hitchdeck_daemon.on_platform import Role, run_role
from hitchdeck_edge.process import start_entry
from hitchdeck_platform.requests import DIALECT
from hitchdeck_platform.settings import PlatformSettings


async def start(settings: PlatformSettings) -> Role:
    """Start the entry box that the settings configure."""
    if settings.entry is None:
        raise SettingsError('settings configure no entry box')
    box = await start_entry(settings.entry, DIALECT)

    async def stop() -> None:
        await box.drain()
        await box.stop()

    return Role(box.known_hubs, box.supervisor, stop)


def run() -> None:
    """Run the role until SIGTERM or SIGINT."""
    run_role(start)
