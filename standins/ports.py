"""Loopback ports reserved for this process until it listens on them.

A port that was free when it was selected can be in use before the server binds
it: the kernel may assign it to an outgoing connection, or another process may
select it too.  Ports are therefore allocated below the ephemeral port range, in
blocks.  A socket listening on the first port of a block reserves the block for
as long as the process runs.
"""

import socket
from collections.abc import Iterator

from hitchdeck_core.ids import Address

HOST = '127.0.0.1'
FIRST = 20_000
LAST = 32_000
"""Exclusive; below 32,768, the default start of the ephemeral port range."""

BLOCK = 40
"""Ports per block; exceeds what one test needs, so one reservation is enough."""


class PortsTakenError(Exception):
    """Raised when every block is reserved already."""


class Ports:
    """Allocator of ports for one process; never returns a port twice."""

    def __init__(self, first: int = FIRST, last: int = LAST) -> None:
        self.first = first
        self.last = last
        self.claims: list[socket.socket] = []
        self.left: Iterator[int] = iter(())

    def take(self) -> int:
        """Return a port on which nothing listens.

        Raises
        ------
        PortsTakenError
            If the current block is used up and no other block is free.
        """
        for port in self.left:
            if _is_free(port):
                return port
        self.left = self._reserve_block()
        return self.take()

    def _reserve_block(self) -> Iterator[int]:
        for start in range(self.first, self.last, BLOCK):
            claim = socket.socket()
            try:
                claim.bind((HOST, start))
            except OSError:
                # The block is reserved, or its first port is in use.
                claim.close()
                continue
            claim.listen()
            self.claims.append(claim)
            return iter(range(start + 1, start + BLOCK))
        raise PortsTakenError(f'no free block from port {self.first} to {self.last}')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


_ports = Ports()


def free_ports(count: int) -> list[int]:
    """Return ports reserved for the caller."""
    return [_ports.take() for _ in range(count)]


def free_address() -> Address:
    """Return a loopback address with a port reserved for the caller."""
    return Address(f'{HOST}:{_ports.take()}')
