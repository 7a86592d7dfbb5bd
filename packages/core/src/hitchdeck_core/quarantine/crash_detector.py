"""Detection of crashed upstreams after broken responses.

A broken response alone can also be caused by the network.  A refused connection
after a broken response means that the upstream crashed, with all requests in flight on
it.
"""

from collections import defaultdict
from collections.abc import Awaitable, Callable

from hitchdeck_core import logs
from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_core.quarantine.fingerprints import RequestKeys
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.signals import Signal
from hitchdeck_core.supervisor import Supervisor

Probe = Callable[[], Awaitable[bool]]
"""Tells whether an upstream accepts connections and keeps running."""

PROBE_WAIT_SECONDS = 0.05
"""Longest wait of a retry for the probe of the upstream whose response broke: a crashed
one refuses the connection at once."""

SUSPICION_TTL_SECONDS = 10.0
"""Time within which a new incarnation of the upstream confirms a suspected crash."""


@dataclass(frozen=True, slots=True)
class SuspectedCrash:
    """Requests in flight on an incarnation that may have crashed, and since when."""

    in_flight: frozenset[RequestKeys]
    since: float


class CrashDetector:
    """Probes an upstream after a broken response, once for concurrent ones.

    Attributes
    ----------
    probed
        Requests in flight on incarnations that are being probed.
    suspected
        Incarnations whose probe was accepted, possibly by the next incarnation.
    on_crash
        Called with each incarnation for which a probe was refused.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        on_crash: Callable[[UpstreamIncarnation], object],
    ) -> None:
        self.quarantine = quarantine
        self.on_crash = on_crash
        self.probed: dict[UpstreamIncarnation, set[RequestKeys]] = defaultdict(set)
        self.suspected: dict[UpstreamIncarnation, SuspectedCrash] = {}
        self.tasks = Supervisor('endings')
        self.probe_done = Signal()

    def record_broken_response(
        self, incarnation: UpstreamIncarnation, keys: RequestKeys, probe: Probe
    ) -> None:
        """Record that the response to a request broke off, and probe the upstream."""
        already_probed = incarnation in self.probed
        self.probed[incarnation].add(keys)
        if not already_probed:
            self.tasks.temporary(incarnation, self._probe(incarnation, probe))

    def suspects(self, incarnation: UpstreamIncarnation) -> bool:
        """Tell whether an incarnation has crashed, or may have."""
        if incarnation in self.probed or incarnation in self.suspected:
            return True
        return incarnation in self.quarantine.crashes.by_incarnation

    def confirm_crash(self, incarnation: UpstreamIncarnation) -> None:
        """Record that an incarnation is gone, since a later one is known."""
        if incarnation not in self.suspected and incarnation not in self.probed:
            return
        self._expire()
        crash = self.suspected.pop(incarnation, None)
        in_flight = crash.in_flight if crash else frozenset()
        # A probe of this incarnation may still be running.
        in_flight |= self.probed.pop(incarnation, set())
        if in_flight:
            self.quarantine.record_crash(incarnation, in_flight)

    async def wait_for_probe(self, incarnation: UpstreamIncarnation) -> None:
        """Wait until a broken response counts as a crash, if that is found quickly.

        Otherwise a retry could be sent although this crash quarantines the request.
        """
        until = self.quarantine.now() + PROBE_WAIT_SECONDS
        while incarnation in self.probed and self.quarantine.now() < until:
            await self.probe_done.wait(until - self.quarantine.now())

    async def _probe(self, incarnation: UpstreamIncarnation, probe: Probe) -> None:
        try:
            alive = await probe()
        finally:
            in_flight = self.probed.pop(incarnation, set())
            self.probe_done.notify()
        if not in_flight:
            # Confirmed while the probe was running.
            return
        if alive:
            logs.info(
                'upstream accepts connections after a broken response',
                upstream=incarnation,
                contents=[one.content.hex() for one in in_flight],
            )
            self._suspect(incarnation, in_flight)
            return
        self.on_crash(incarnation)
        self.quarantine.record_crash(incarnation, in_flight)

    def _suspect(
        self, incarnation: UpstreamIncarnation, in_flight: set[RequestKeys]
    ) -> None:
        self._expire()
        before = self.suspected.pop(incarnation, None)
        known = before.in_flight if before else frozenset()
        self.suspected[incarnation] = SuspectedCrash(
            known | in_flight, self.quarantine.now()
        )

    def _expire(self) -> None:
        horizon = self.quarantine.now() - SUSPICION_TTL_SECONDS
        for incarnation, crash in list(self.suspected.items()):
            if crash.since < horizon:
                self.suspected.pop(incarnation)
