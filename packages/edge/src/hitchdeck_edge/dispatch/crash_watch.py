"""What attempts show about upstreams that crash, and about requests that crash them."""

import asyncio
from functools import partial
from http import HTTPStatus

from hitchdeck_core.ids import UpstreamIncarnation, UpstreamName
from hitchdeck_core.quarantine.crash_detector import CrashDetector
from hitchdeck_core.quarantine.fingerprints import RequestKeys
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_edge.dispatch.attempts import Attempt, AttemptOutcome
from hitchdeck_edge.dispatch.connections import ConnectionPool
from hitchdeck_edge.dispatch.response_parser import Framing
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.scheduling.health import Health

UNFRAMED_CHECK_SECONDS = 1.0
"""Time after an unframed answer in which a crash of its upstream would be noticed."""

_ANSWERED = frozenset((AttemptOutcome.answered, AttemptOutcome.failed))


class CrashWatch:
    """Reports broken and complete responses to the quarantine."""

    def __init__(
        self, quarantine: Quarantine, connections: ConnectionPool, health: Health
    ) -> None:
        self.quarantine = quarantine
        self.connections = connections
        self.health = health
        self.detector = CrashDetector(quarantine, self._avoid)

    def check_for_crash(self, context: RequestContext, attempt: Attempt) -> None:
        """Check whether an upstream that gave no complete response has crashed."""
        upstream = attempt.choice.upstream
        self.detector.record_broken_response(
            upstream.incarnation,
            context.keys,
            partial(self.connections.is_reachable, upstream),
        )

    async def wait_for_probe(self, attempt: Attempt) -> None:
        """Wait until it is known whether an upstream has crashed, but not for long."""
        await self.detector.wait_for_probe(attempt.choice.upstream.incarnation)

    def confirm_crash(self, name: UpstreamName) -> None:
        """Confirm a suspected crash, since another upstream has the address now."""
        self.detector.confirm_crash(UpstreamIncarnation(name))

    def record_answer(self, context: RequestContext, attempt: Attempt) -> None:
        """Clear the request, and its parts if the answer is complete.

        A response without length and chunks ends with its connection, as it does if
        the upstream crashes, which may be found a moment later.
        """
        if attempt.outcome not in _ANSWERED:
            return
        success = _is_success(attempt)
        framed = attempt.head is not None and attempt.head.framing is not Framing.close
        complete = success and framed
        self.quarantine.record_answer(context.keys, complete=complete)
        if success and not framed:
            loop = asyncio.get_running_loop()
            incarnation = attempt.choice.upstream.incarnation
            loop.call_later(
                UNFRAMED_CHECK_SECONDS, self._record_unframed, incarnation, context.keys
            )

    def _record_unframed(
        self, incarnation: UpstreamIncarnation, keys: RequestKeys
    ) -> None:
        """Clear the parts of an unframed answer unless its upstream has crashed."""
        if not self.detector.suspects(incarnation):
            self.quarantine.record_answer(keys)

    def _avoid(self, incarnation: UpstreamIncarnation) -> None:
        """Avoid a crashed upstream on this box; the quarantine notifies the hubs."""
        self.health.record_crash(UpstreamName(incarnation))


def _is_success(attempt: Attempt) -> bool:
    head = attempt.head
    if attempt.outcome is not AttemptOutcome.answered or head is None:
        return False
    return HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
