"""An upstream that still takes a connection while it ends has ended.

Three engines ended under one request, within 30 ms; the router that saw it found one
of these ends.  Asked for a connection right after their answers had broken off, the
other two still took it: the kernel closes what a process has open one after the other,
and the port it listens on need not be first.  So the request was not kept away, and two
more engines ended under it.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import pytest

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, UpstreamIncarnation
from hitchdeck_core.quarantine.crash_detector import CrashDetector, Probe
from hitchdeck_core.quarantine.fingerprints import fingerprint_of
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_edge.dispatch.connections import ConnectionPool
from hitchdeck_router.dispatch.calls import accepts_connections
from tests.common.scheduling import engine

SECONDS = 5.0


class CrashingUpstream:
    """An upstream that ends as it takes its next connection."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None

    async def listen(self) -> Address:
        """Listen on loopback; return where."""
        self.server = await asyncio.start_server(self._end, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        return Address(f'{host}:{port}')

    async def _end(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert self.server is not None
        self.server.close()
        writer.transport.abort()


def router_probe(address: Address) -> Probe:
    return partial(accepts_connections, address)


def box_probe(address: Address) -> Probe:
    upstream = replace(engine('e0'), address=address)
    return partial(ConnectionPool(boot_seconds).is_reachable, upstream)


@pytest.mark.parametrize('asker', [router_probe, box_probe])
async def test_a_crash_after_an_accepted_connection_is_detected(
    asker: Callable[[Address], Probe],
) -> None:
    ended: list[UpstreamIncarnation] = []
    crash_detector = CrashDetector(Quarantine(boot_seconds, Signal()), ended.append)
    reaches = asker(await CrashingUpstream().listen())
    crash_detector.record_broken_response(
        UpstreamIncarnation('e0'), fingerprint_of(b'lethal'), reaches
    )
    async with asyncio.timeout(SECONDS):
        while not ended:
            await asyncio.sleep(0.02)
