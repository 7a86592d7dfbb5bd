"""The proxy of the soak injects the requested faults into connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from soak.proxy import LinkState, Proxy

HELD_SECONDS = 0.1
WAIT_SECONDS = 15.0


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while line := await reader.readline():
        writer.write(line)
    writer.close()


@asynccontextmanager
async def running_proxy() -> AsyncIterator[Proxy]:
    """Run a proxy in front of a server that echoes each line."""
    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    proxy = Proxy(f'127.0.0.1:{port}')
    await proxy.start()
    try:
        yield proxy
    finally:
        await proxy.stop()
        server.close()


async def connect(proxy: Proxy) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = proxy.address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


@pytest.mark.parametrize(
    'state',
    [LinkState.forth_held, LinkState.back_held, LinkState.silent],
)
async def test_held_bytes_arrive_once_the_link_is_restored(
    state: LinkState,
) -> None:
    async with running_proxy() as proxy:
        reader, writer = await connect(proxy)
        await proxy.change(state)
        writer.write(b'line\n')
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(HELD_SECONDS):
                await reader.readline()
        await proxy.change(LinkState.whole)
        async with asyncio.timeout(WAIT_SECONDS):
            assert await reader.readline() == b'line\n'
        writer.close()


@pytest.mark.parametrize('state', [LinkState.whole, LinkState.slow])
async def test_bytes_pass_in_order(state: LinkState) -> None:
    async with running_proxy() as proxy:
        await proxy.change(state)
        reader, writer = await connect(proxy)
        async with asyncio.timeout(WAIT_SECONDS):
            for number in range(3):
                line = f'{number}\n'.encode()
                writer.write(line)
                assert await reader.readline() == line
        writer.close()


async def test_a_reset_ends_the_connections_that_are_open() -> None:
    async with running_proxy() as proxy:
        reader, writer = await connect(proxy)
        writer.write(b'line\n')
        async with asyncio.timeout(WAIT_SECONDS):
            await reader.readline()
            proxy.reset()
            with pytest.raises(ConnectionError):
                await reader.readexactly(1)
        writer.close()
