"""Log line of an attempt that did not end well."""

from hitchdeck_core import logs
from hitchdeck_core.checks import abbreviated
from hitchdeck_edge.dispatch.attempts import Attempt
from hitchdeck_edge.model.calls import Prompt
from hitchdeck_edge.model.request_context import RequestContext

MAX_LOGGED_PARTS = 16
"""Maximum number of parts of a prompt in a log line; callers choose their number."""


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
