"""A box that is behind does not take its own delay for an upstream's."""

import asyncio
import time

import pytest

from hitchdeck_core.ids import Address
from hitchdeck_edge.dispatch import exchange

HELD_UP_SECONDS = 0.6
LAG_SECONDS = 0.2


async def test_an_upstream_is_reached_while_this_process_is_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against sound upstreams that are ejected by a box without processor time.
    monkeypatch.setattr(exchange, 'loop_lag', lambda: LAG_SECONDS)
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    connecting = asyncio.create_task(exchange.connect(Address(f'{host}:{port}')))
    await asyncio.sleep(0)
    time.sleep(HELD_UP_SECONDS)
    connection = await connecting
    assert connection.usable
    connection.abort()
    server.close()
