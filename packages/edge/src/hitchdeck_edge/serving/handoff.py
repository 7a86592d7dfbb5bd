"""Handing off new connections to boxes with spare processor time.

Some callers keep to one box whatever addresses the directory returns.  An overloaded
box relays their connections, byte for byte, to boxes of its own failure domain, which
costs a fraction of serving the requests.  A connection that is handed off carries one
request, so that it closes after the response.

The kernel accepts connections even for a process that is suspended.  So the target box
first sends one byte as a greeting, and nothing is sent to it before that.  If a target
stops responding, the connections relayed to it are aborted, so that callers do not
wait.
"""

import asyncio
import errno
import random
import socket
from collections.abc import Callable

from hitchdeck_core import logs
from hitchdeck_core.ids import Address
from hitchdeck_edge.serving.budgets import DescriptorBudget
from hitchdeck_edge.serving.overload import is_overloaded
from hitchdeck_edge.serving.relay_pump import Relay, RelayPump
from hitchdeck_edge.state.relief import ReliefTargets

HANDOFF_START = 0.55
"""Utilization above which connections are handed off at random."""

HANDOFF_FULL = 0.8
"""Utilization from which every connection is handed off."""

CONNECT_SECONDS = 0.3
"""Timeout for the connection to a target box and its greeting.

It ends only after what has arrived was read.  While the delay of the overloaded box
itself counted, all targets were marked unreachable within a second of a flood, and of
1,000 requests in ten seconds 40 were handed off."""

SILENCE_TIMEOUT_SECONDS = 1.2
"""Time after a failed handoff within which a running target must send some bytes."""

GREETING = b'+'
"""Sent by the target box as soon as it accepts a relayed connection."""

LOG_DELAY_SECONDS = 0.5
"""Maximum delay from a handoff to the log line that counts it."""

OWN_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS))
"""Errors for lack of resources of this process, which say nothing about a target."""

ServeConnection = Callable[[socket.socket], None]


def should_hand_off(utilization: float) -> bool:
    """Tell whether a box with this utilization hands off a new connection."""
    if utilization <= HANDOFF_START:
        return False
    return random.random() < (utilization - HANDOFF_START) / (
        HANDOFF_FULL - HANDOFF_START
    )


class Handoff:
    """Hands off connections to other boxes.

    Attributes
    ----------
    serve
        Serves a connection here if the target box can't be reached; nothing was read
        from it.
    heeds_lag
        Whether connections are also handed off by the lag of the event loop.
    last_received
        When bytes were last received from each target box, in seconds.
    """

    def __init__(
        self,
        targets: ReliefTargets,
        descriptors: DescriptorBudget | None = None,
        *,
        heeds_lag: bool = False,
    ) -> None:
        self.targets = targets
        self.descriptors = descriptors or DescriptorBudget(0)
        self.heeds_lag = heeds_lag
        self.last_received: dict[Address, float] = {}
        self.serve: ServeConnection = socket.socket.close
        self.pump = RelayPump(
            targets.now, self._record_handoff, self._record_received, self._abandon
        )
        self.handed_off = 0
        self.unlogged = 0

    @property
    def open(self) -> set[Relay]:
        """Return the relayed connections, and the pending handoffs."""
        return self.pump.open

    def is_late(self, lag: float) -> bool:
        """Tell whether the lag of the event loop calls for a handoff.

        A flood delays the event loop before the mean utilization shows it.
        """
        return self.heeds_lag and is_overloaded(0, lag)

    def try_relay(self, connection: socket.socket) -> bool:
        """Relay a connection to another box; return ``False`` if there is none."""
        target = self.targets.choose()
        if target is None or not self.descriptors.may_relay(len(self.open)):
            return False
        self.pump.greeting_seconds = CONNECT_SECONDS
        try:
            self.pump.start(connection, target)
        except OSError as error:
            if error.errno not in OWN_ERRORS:
                self._avoid(target, error)
            return False
        return True

    def close(self) -> None:
        """Abort all relayed connections."""
        self.pump.close()

    def _record_received(self, relay: Relay) -> None:
        self.last_received[relay.address] = self.targets.now()

    def _abandon(self, relay: Relay, error: OSError) -> None:
        """Avoid a target box, and serve the connection here."""
        self._avoid(relay.address, error)
        self.serve(relay.caller)

    def _avoid(self, target: Address, error: OSError) -> None:
        """Avoid a target box for a while; check later whether it has gone silent."""
        logs.info('box not reached', box_address=target, reason=repr(error))
        self.targets.mark_unreachable(target)
        loop = asyncio.get_running_loop()
        loop.call_later(
            SILENCE_TIMEOUT_SECONDS,
            self._abort_if_silent,
            target,
            self.targets.now(),
        )

    def _abort_if_silent(self, target: Address, since: float) -> None:
        """Abort the connections to a box from which nothing was received since."""
        if self.last_received.get(target, 0) >= since:
            return
        # Callers whose relay is pending can still be served here.
        stuck = [one for one in self.open if one.greeted and one.address == target]
        if stuck:
            logs.warning('box stands still', box_address=target, broken_off=len(stuck))
        for one in stuck:
            self.pump.abort(one)

    def _record_handoff(self, _: Relay) -> None:
        self.handed_off += 1
        self.unlogged += 1
        if self.unlogged == 1:
            asyncio.get_running_loop().call_later(LOG_DELAY_SECONDS, self._log)

    def _log(self) -> None:
        logs.info(
            'connections handed on',
            count=self.unlogged,
            open=len(self.open),
            targets=self.targets.addresses,
            listed_seconds=round(self.targets.now() - self.targets.named_at, 1),
        )
        self.unlogged = 0
