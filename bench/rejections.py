"""Processor time that a box spends on a request it rejects, from the socket on.

``python -m bench.rejections`` sends requests on new connections, from another process,
to a box that has no time, and tells the box's processor time for each: read from the
plain socket, and read by the HTTP server.
"""

import asyncio
import socket
import sys
import tempfile
import time
from pathlib import Path
from unittest.mock import patch

import fire

from bench.common import append_row
from hitchdeck_core.channels import split_address
from hitchdeck_core.ids import Address
from standins.platform_site import KEY, generation, running_site

BODY_BYTES = 18_000
"""Mean of the longest kind of request."""

MS = 1000
OUTPUT = 'bench/results/rejections.jsonl'
DECISION = 'hitchdeck_edge.serving.admission.should_admit'
ANSWER_BYTES = 4096


def request_of(number: int) -> bytes:
    """Return a request with a body of the usual length."""
    parts = f'aa:2520,bb:3780,{number:x}:2890'
    return generation(f'{number:016x}', KEY, parts, '9190,51', BODY_BYTES)


def send(address: str, count: int) -> None:
    """Send requests one after the other, each on a connection of its own."""
    where = split_address(Address(address))
    for number in range(count):
        with socket.create_connection(where) as connection:
            connection.sendall(request_of(number))
            answer = connection.recv(ANSWER_BYTES)
        if not answer.startswith(b'HTTP/1.1 503'):
            raise RuntimeError(f'not rejected: {answer!r}')


async def measure(folder: Path, count: int, *, plain: bool) -> float:
    """Return the processor time of one rejection, in ms."""
    async with running_site(folder) as site:
        box = site.boxes[0]
        box.caller_server.is_overloaded = lambda: plain
        listen = box.settings.listen
        command = ('-m', 'bench.rejections', '--address', listen, '--count', str(count))
        began = time.process_time()
        with patch(DECISION, return_value=False):
            sender = await asyncio.create_subprocess_exec(sys.executable, *command)
            if await sender.wait():
                raise RuntimeError('the sender failed')
        return (time.process_time() - began) * MS / count


def main(count: int = 2000, address: str = '') -> None:
    """Measure both ways; with an address, only send."""
    if address:
        send(address, count)
        return
    for plain in (True, False):
        with tempfile.TemporaryDirectory() as folder:
            cost = asyncio.run(measure(Path(folder), count, plain=plain))
        way = 'plain socket' if plain else 'HTTP server'
        append_row(OUTPUT, {'way': way, 'ms': round(cost, 3), 'count': count})


if __name__ == '__main__':
    fire.Fire(main)
