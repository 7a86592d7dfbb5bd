"""Which kept connection to an upstream a request may use.

Load: many boxes and upstreams, so that a box sends to one upstream only every few
seconds.  Of two requests one then opened a connection, since streams that are not
resumed used only connections that had been idle for less than a second.
"""

from dataclasses import dataclass
from enum import Enum

from hitchdeck_core.sockets import KEEPALIVE_SECONDS
from hitchdeck_edge.model.request_context import RequestContext

FRESH_SECONDS = 1.0
"""How long a connection may have been idle if it is to carry a request that must not
run twice.  An upstream may silently drop an idle connection, and then it is unknown
whether the request ran."""

_TIMER_SECONDS = 0.25
"""What timers of the kernel and a round trip may add to the interval of probes."""

REACHABLE_SECONDS = KEEPALIVE_SECONDS + _TIMER_SECONDS
"""Age of the last acknowledgement up to which an upstream counts as reachable over a
connection: the kernel probes an idle one every ``KEEPALIVE_SECONDS``."""

DEFAULT_IDLE_SECONDS = 10.0
"""How long an idle connection is kept if the upstream states no timeout."""

LONG_IDLE_SECONDS = 20.0
"""The same where the settings let more requests use kept connections.  A box of a large
fleet sends to one engine every few seconds: at 5 s on average, 13 % of the intervals
exceed 10 s and 2 % exceed 20 s."""

SILENT_SECONDS = 2.0
"""Time without a byte of a response after which a kept connection counts as silent, so
that no other kept connection to its upstream is used: a connection may go silent for
good without a reset while new ones work.  Callers drop a stream after two seconds at
the earliest."""


class Reuse(Enum):
    """Which kept connections a request may use."""

    any = 'any'
    """Any that is idle for less than its limit."""

    reachable = 'reachable'
    """Those over which the upstream was reachable a moment ago."""

    fresh = 'fresh'
    """Those that were used within ``FRESH_SECONDS``."""


@dataclass(frozen=True, slots=True)
class IdleTime:
    """How long a kept connection has been idle, and for how long it may be."""

    seconds: float
    limit: float


def permitted_reuse(context: RequestContext, *, streams_reuse: bool) -> Reuse:
    """Return which kept connections a request may use.

    Parameters
    ----------
    streams_reuse
        Whether the settings let a stream that is not resumed use connections that
        were not used a moment ago.  It is sent once in any case; what it risks on a
        dead connection is its only attempt.  Connections are then kept for longer, so
        that repeatable requests use only those that are known to work.
    """
    if context.repeatable:
        return Reuse.reachable if streams_reuse else Reuse.any
    if context.route.streams and streams_reuse:
        return Reuse.reachable
    return Reuse.fresh


def may_use(reuse: Reuse, idle: IdleTime, acknowledged_ago: float) -> bool:
    """Tell whether a request may use a kept connection.

    Parameters
    ----------
    acknowledged_ago
        Seconds since the upstream last acknowledged anything on the connection.
    """
    if idle.seconds >= idle.limit:
        return False
    if reuse is Reuse.any or idle.seconds < FRESH_SECONDS:
        return True
    return reuse is Reuse.reachable and acknowledged_ago < REACHABLE_SECONDS


def is_silent(*, reused: bool, seconds: float) -> bool:
    """Tell whether an upstream is silent on a connection, by the time without a byte.

    A new connection without a response shows only that the upstream is slow.
    """
    return reused and seconds >= SILENT_SECONDS
