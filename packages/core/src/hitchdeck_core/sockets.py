"""Sockets that detect peers which disappear without closing the connection."""

import select
import socket
import struct

KEEPALIVE_SECONDS = 1
"""Idle time before the first keepalive probe, and interval between probes."""

KEEPALIVE_PROBES = 3
"""Unanswered probes after which the kernel drops a connection."""

USER_TIMEOUT_MS = 3000
"""Time after which unacknowledged data ends a connection, in milliseconds."""

SLOW_USER_TIMEOUT_MS = 20_000
"""The same for callers that may read slowly, longer than any request may take.

A peer whose receive buffer is full acknowledges no data.  With ``USER_TIMEOUT_MS``, the
kernel closed the connection of a caller that had read nothing for 3.6 s.
"""

RECEIVE_BUFFER_BYTES = 65_536
"""Unread bytes that the kernel holds for a connection of such a caller."""

_TCP_INFO_BYTES = 72
_LAST_ACK_OFFSET = 56
"""Offset of ``tcpi_last_ack_recv`` in the kernel's ``struct tcp_info``."""

_NO_LINGER = struct.pack('ii', 1, 0)

_MS = 1000

BACKLOG = 1024
"""Connections that may wait to be accepted: callers connect in bursts, and a SYN
that is dropped from a full backlog is retransmitted only after a second."""


def enable_keepalive(sock: socket.socket) -> None:
    """Enable keepalive probes; accepted connections inherit it from the listener."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, option, setting in options:
        sock.setsockopt(level, option, setting)


def seconds_since_acknowledged(sock: socket.socket) -> float:
    """Return how long ago the peer's kernel last acknowledged something.

    With keepalive enabled, this stays below ``KEEPALIVE_SECONDS`` and the round-trip
    time while the peer can be reached, also if the connection is idle.
    """
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    age_ms: int = struct.unpack_from('=I', state, _LAST_ACK_OFFSET)[0]
    return age_ms / _MS


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a listening socket whose connections have keepalive enabled."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family, backlog=BACKLOG)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


def prepare_for_slow_callers(listener: socket.socket) -> None:
    """Let the connections of a listener stay open while callers read nothing.

    What callers send and is not read yet takes memory too, so it is limited.
    """
    listener.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SLOW_USER_TIMEOUT_MS
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def reset_on_close(sock: socket.socket) -> None:
    """Let the close of a connection reset it, so that its peer sees an error.

    Otherwise a peer whose response has neither length nor chunks takes the close for
    the end of the response.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def has_unread_input(descriptor: int) -> bool:
    """Return whether data or the end of the stream can be read now."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed the connection, according to the kernel.

    An event loop would notice it only in its next turn.  A close that follows
    unread data is not detected.
    """
    if not has_unread_input(sock.fileno()):
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        # Reset by the peer, or already closed locally.
        return True
