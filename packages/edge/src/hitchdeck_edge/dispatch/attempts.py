"""A request that is being served, and its attempts."""

from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import TYPE_CHECKING

from hitchdeck_core import logs
from hitchdeck_core.checks import abbreviated
from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.lazy_dataclasses import dataclass
from hitchdeck_edge.dispatch.relay import StreamRelay
from hitchdeck_edge.dispatch.response_parser import ResponseHead
from hitchdeck_edge.dispatch.response_sizes import HeldResponse
from hitchdeck_edge.dispatch.responses import FinalResponse
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.placing import Choice
from hitchdeck_edge.model.request_context import RequestContext
from hitchdeck_edge.scheduling.open_work import OpenWorkEntry
from hitchdeck_edge.serving.caller import CallerConnection

if TYPE_CHECKING:
    from hitchdeck_edge.dispatch.service_watch import WatchedCall

MAX_LOGGED_PARTS = 16
"""Maximum number of parts of a prompt in a log line; callers choose their number."""


class AttemptOutcome(Enum):
    """Outcome of one attempt."""

    answered = 'answered'
    """The response was streamed to the caller, or is in ``head`` and ``body``."""

    not_run = 'not run'
    """The upstream stated that it did not run the request."""

    failed = 'failed'
    """The upstream responded with a server error, or rejected the rest of a stream."""

    broken = 'broken'
    """The request was sent, but no complete response came back."""


@dataclass(slots=True)
class Attempt:
    """One attempt to have a request answered by an upstream.

    Attributes
    ----------
    number
        Number by which the scheduler tracks the attempt; 0 if it does not.
    outcome
        Outcome so far; ``broken`` until a complete response arrives.
    reason
        Why the attempt failed, for the log.
    may_have_run_before
        Whether the request may have run before this attempt.
    streamed
        Whether the response was forwarded to the caller as it arrived.
    first_event
        Time until the first event of a stream, in seconds.
    idle_before
        How long the connection had been kept idle, in seconds; 0 if it was new.
    backoff
        Time for which the upstream asked for no requests from this box, in seconds.
    leaving
        Whether the upstream announced that it shuts down.
    lost
        Whether the upstream was not reached or sent no complete response.
    held
        Counts the body; ``None`` while none is read.
    watched
        What is observed of a call to a plain service; ``None`` where boxes don't
        share it.
    """

    choice: Choice
    started_at: float
    ticket: OpenWorkEntry
    number: int
    may_have_run_before: bool
    outcome: AttemptOutcome = AttemptOutcome.broken
    head: ResponseHead | None = None
    body: bytes = b''
    reason: str = ''
    streamed: bool = False
    first_event: float = 0.0
    idle_before: float = 0.0
    backoff: float = 0.0
    leaving: bool = False
    lost: bool = False
    held: HeldResponse | None = None
    watched: 'WatchedCall | None' = None

    def release(self) -> None:
        """Stop counting the body, which is not needed any more."""
        if self.held is not None:
            self.held.close()

    @property
    def upstream(self) -> UpstreamName:
        """Return the name of the upstream."""
        return self.choice.upstream.name


@dataclass(slots=True)
class ActiveRequest:
    """A request that is being served, with its caller and response.

    Attributes
    ----------
    unreached_count
        How many upstreams could not be reached.
    begin_second
        Decides whether to give up an attempt without a response and begin another.
    retry_paid
        Whether the retry budget was charged for the next attempt already.
    """

    context: RequestContext
    caller: CallerConnection
    response: FinalResponse
    relay: StreamRelay
    unreached_count: int = 0
    last_attempt: Attempt | None = None
    begin_second: 'Callable[[ActiveRequest], bool] | None' = None
    retry_paid: bool = False

    def release(self) -> None:
        """Discard what is held of responses."""
        self.relay.close()
        if self.last_attempt is not None:
            self.last_attempt.release()


def outcome_of(
    head: ResponseHead, *, not_run: bool, within_stream: bool
) -> AttemptOutcome:
    """Return the outcome of an attempt whose response was read in full.

    Parameters
    ----------
    within_stream
        Whether the caller has received the head of another response.
    """
    if not_run:
        return AttemptOutcome.not_run
    failed = within_stream or head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return AttemptOutcome.failed if failed else AttemptOutcome.answered


def log_failed_attempt(context: RequestContext, attempt: Attempt) -> None:
    """Log an attempt, with all that may be charged with a crash of its upstream."""
    head = attempt.head
    logs.info(
        'attempt failed',
        request=context.call.request,
        content=context.fingerprint.hex(),
        parts=_part_names(context.call.prompt),
        upstream=attempt.upstream,
        software=attempt.choice.upstream.software,
        verdict=attempt.outcome.value,
        status=head.status if head else 0,
        framing=head.framing.value if head else '',
        reason=attempt.reason,
        first_event=round(attempt.first_event, 3),
        attempt=context.sent,
        pause=attempt.backoff,
        leaving=attempt.leaving,
        idle_before=round(attempt.idle_before, 3),
        decided_by=context.decided_by,
    )


def _part_names(prompt: Prompt | None) -> list[str]:
    """Return the ids of the first shared parts of a prompt."""
    if prompt is None:
        return []
    shared = prompt.shared_parts[:MAX_LOGGED_PARTS]
    return [abbreviated(part.part_id) for part in shared]
