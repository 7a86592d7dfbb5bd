"""Sockets on which a peer that went silent without a word is noticed."""

import select
import socket

KEEPALIVE_SECONDS = 1
"""Idle time before, and time between, probes of a connection."""

KEEPALIVE_PROBES = 3
"""Unanswered probes after which a connection is dead."""

USER_TIMEOUT_MS = 3000
"""Sent bytes that stay unacknowledged so long end a connection, in ms."""

BACKLOG = 1024
"""Connections that may wait to be accepted: callers come in bursts, and one
that finds no room tries again only after a second."""


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel notice a peer that is gone; a listener's are inherited."""
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


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a listening socket whose connections are probed."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family, backlog=BACKLOG)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


def has_unread_input(descriptor: int) -> bool:
    """Tell whether bytes or a close wait to be read, at this moment."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def peer_has_closed(sock: socket.socket) -> bool:
    """Tell whether a peer has closed, by what the kernel holds at this moment.

    An event loop tells it only at its next turn.  Bytes that are not read yet
    hide a close behind them.
    """
    if not has_unread_input(sock.fileno()):
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        # A reset, or a socket that is closed here already: nobody is there.
        return True
