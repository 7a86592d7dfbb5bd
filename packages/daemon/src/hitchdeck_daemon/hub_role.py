"""The role of a hub on the platform."""

import asyncio

from hitchdeck_core.errors import SettingsError
from hitchdeck_daemon.on_platform import Role, run_role
from hitchdeck_edge.hub.process import start_hub
from hitchdeck_platform.documents import DocumentReader
from hitchdeck_platform.hub_api import start_servers
from hitchdeck_platform.settings import PlatformSettings

STOP_SECONDS = 0.5
"""Time that a hub which shuts down leaves for calls in flight."""


async def start(settings: PlatformSettings) -> Role:
    """Start the hub that the settings configure."""
    if settings.hub is None:
        raise SettingsError('settings configure no hub')
    hub = await start_hub(settings.hub, DocumentReader().read)
    servers = start_servers(hub)

    async def stop() -> None:
        await hub.leave()
        await asyncio.sleep(STOP_SECONDS)
        for server in servers:
            server.stop()
        await hub.stop()

    return Role(hub.known_hubs, hub.supervisor, stop)


def run() -> None:
    """Run the role until SIGTERM or SIGINT."""
    run_role(start)
