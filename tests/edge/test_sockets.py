"""Every listener detects connections whose peer has gone silent for good."""

import socket

import pytest

from hitchdeck_core.sockets import (
    KEEPALIVE_PROBES,
    KEEPALIVE_SECONDS,
    USER_TIMEOUT_MS,
    listening_socket,
)


@pytest.mark.parametrize(
    ('level', 'option', 'expected'),
    [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ],
)
def test_accepted_connections_are_probed(
    level: int, option: int, expected: int
) -> None:
    listener = listening_socket('127.0.0.1', 0)
    with socket.create_connection(listener.getsockname()):
        listener.settimeout(5)
        accepted, _ = listener.accept()
        assert accepted.getsockopt(level, option) == expected
        accepted.close()
    listener.close()
