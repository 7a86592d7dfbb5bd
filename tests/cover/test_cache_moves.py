"""A router neither fetches nor stores a session's cache during a Retry-After.

An engine may reject a cache transfer like any other call.  Without this check the next
move of any session calls the engine again at once.
"""

from collections.abc import AsyncIterator
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest
from tornado.httpserver import HTTPServer

from hitchdeck_core.backpressure import Backpressure
from hitchdeck_core.clock import boot_seconds
from hitchdeck_core.ids import Address, UpstreamName
from hitchdeck_core.resources import Upstream
from hitchdeck_router.context import RouterContext
from hitchdeck_router.dispatch.caches import move_cache
from standins.engine import Engine, make_app
from standins.ports import free_ports
from standins.records import Recorder, read_records

SOURCE, TARGET = UpstreamName('e0'), UpstreamName('e1')
SESSION = 'long'


class Site:
    """Two engines; the first holds the cache of a session."""

    def __init__(self, folder: Path) -> None:
        self.engines: dict[str, Engine] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.servers: list[HTTPServer] = []
        for name, port in zip((SOURCE, TARGET), free_ports(2), strict=True):
            engine = Engine(name, 4, 0, Recorder(folder / name))
            self.servers.append(make_app(engine).listen(port, '127.0.0.1'))
            self.engines[name] = engine
            address = Address(f'127.0.0.1:{port}')
            self.upstreams[name] = Upstream(name=name, address=address)
        self.engines[SOURCE].caches[SESSION] = 'kv'
        self.folder = folder
        view = SimpleNamespace(upstreams=self.upstreams)
        self.context = cast(
            RouterContext,
            SimpleNamespace(
                fleet=SimpleNamespace(view=view),
                backpressure=Backpressure(boot_seconds),
            ),
        )

    async def move(self) -> bool:
        """Move the session's cache; return whether it was moved."""
        target = self.upstreams[TARGET]
        return await move_cache(self.context, SESSION, SOURCE, target)

    def calls(self, name: str) -> list[object]:
        """Return the events that an engine recorded, in order."""
        return [line['event'] for line in read_records(self.folder / name)]


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    """Return two running engines."""
    running = Site(tmp_path)
    yield running
    for server in running.servers:
        server.stop()


async def test_a_cache_moves(site: Site) -> None:
    assert await site.move()
    assert site.engines[TARGET].caches[SESSION] == 'kv'


@pytest.mark.parametrize(
    ('paused', 'calls'),
    [
        (SOURCE, {SOURCE: ['cache-asked'], TARGET: []}),
        (TARGET, {SOURCE: ['cache-asked'], TARGET: ['cache-given']}),
    ],
)
async def test_no_move_is_tried_during_the_retry_after_of_an_engine(
    site: Site,
    paused: str,
    calls: dict[str, list[str]],
) -> None:
    site.engines[paused].faults['pause'] = 60
    assert [await site.move() for _ in range(3)] == [False] * 3
    assert {name: site.calls(name) for name in (SOURCE, TARGET)} == calls
