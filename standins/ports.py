"""Ports on loopback that stay this process's own until something listens there.

A port that was free when it was picked may be taken before its hub listens: by
an outgoing connection, to which the kernel gives any port of its own range, or
by another process that picks.  So ports come from below that range, in blocks,
and a block is held by a socket that listens on its first port for as long as
the process lives.
"""

import socket
from collections.abc import Iterator

from hitchdeck_core.ids import Address

HOST = '127.0.0.1'
FIRST = 20_000
LAST = 32_000
"""Below 32,768, where the kernel's range for outgoing connections begins."""

BLOCK = 40
"""Ports of a block: more than one test takes, so that one claim serves it."""


class PortsTakenError(Exception):
    """Raised when other processes hold every block."""


class Ports:
    """Ports of one process, none handed out twice."""

    def __init__(self, first: int = FIRST, last: int = LAST) -> None:
        self.first = first
        self.last = last
        self.claims: list[socket.socket] = []
        self.left: Iterator[int] = iter(())

    def take(self) -> int:
        """Return a port on which nothing listens, or raise ``PortsTakenError``."""
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
                # Another process has this block.
                claim.close()
                continue
            claim.listen()
            self.claims.append(claim)
            return iter(range(start + 1, start + BLOCK))
        raise PortsTakenError(f'{self.first} to {self.last}')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


_ports = Ports()


def free_ports(count: int) -> list[int]:
    """Return ports that nobody else is given."""
    return [_ports.take() for _ in range(count)]


def free_address() -> Address:
    """Return an address that nobody else is given."""
    return Address(f'{HOST}:{_ports.take()}')
