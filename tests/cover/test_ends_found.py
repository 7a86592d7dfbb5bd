"""A crash is detected even if the upstream still accepts a connection meanwhile.

The kernel closes the descriptors of a crashed process one after the other, and the
listening socket need not be the first.  When one request crashed three engines within
30 ms, two of them still accepted the probe that followed their broken responses: the
router detected only one crash, did not quarantine the request, and it crashed two more
engines.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import pytest

from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, UpstreamIncarnation
from hitchdeck_core.quarantine.crash_detector import CrashDetector, Probe
from hitchdeck_core.quarantine.fingerprints import RequestKeys, fingerprint_of
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_edge.dispatch.connections import ConnectionPool
from hitchdeck_router.dispatch.calls import accepts_connections
from tests.common.scheduling import engine

SECONDS = 5.0


class CrashingUpstream:
    """An upstream that crashes as it accepts its next connection."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None

    async def listen(self) -> Address:
        """Listen on loopback; return the address."""
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
        UpstreamIncarnation('e0'), RequestKeys(fingerprint_of(b'lethal')), reaches
    )
    async with asyncio.timeout(SECONDS):
        while not ended:
            await asyncio.sleep(0.02)
