"""What attempts show about upstreams that crash, and about requests that crash them."""

from functools import partial
from http import HTTPStatus

from hitchdeck_core.ids import UpstreamIncarnation, UpstreamName
from hitchdeck_core.quarantine.crash_detector import CrashDetector
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_edge.dispatch.attempts import Attempt, AttemptOutcome
from hitchdeck_edge.dispatch.connections import ConnectionPool
from hitchdeck_edge.dispatch.response_parser import Framing
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.scheduling.health import Health

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
        """Clear the request, and its parts if the answer was surely complete."""
        if attempt.outcome in _ANSWERED:
            complete = _is_surely_complete(attempt)
            self.quarantine.record_answer(context.keys, complete=complete)

    def _avoid(self, incarnation: UpstreamIncarnation) -> None:
        """Avoid a crashed upstream on this box; the quarantine notifies the hubs."""
        self.health.record_crash(UpstreamName(incarnation))


def _is_surely_complete(attempt: Attempt) -> bool:
    """Tell whether an answer was written to its end by an upstream that survived it.

    A response without length and chunks ends with its connection, as it does if the
    upstream crashes.
    """
    head = attempt.head
    if attempt.outcome is not AttemptOutcome.answered or head is None:
        return False
    success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
    return success and head.framing is not Framing.close
