"""Why a box answers a request itself, and what it says."""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE

SHARE_RETRY_SECONDS = 2.0
"""Half of a usual share window: by then half of the share is free.  At 1.0 more
came back to be refused again: 0.611 of what was owed was earned, and not 0.642
(one play under overload)."""

STATE_RETRY_SECONDS = 0.3
"""A box that has just started knows documents and upstreams by then."""

LOAD_RETRY_SECONDS = 0.25
"""About the time in which an engine reads one long prompt."""

AGAIN_RETRY_SECONDS = 0.1
"""Another box, or the next attempt, may well succeed."""

ELSEWHERE_RETRY_SECONDS = 0.02
"""Only this box is in the way: another one serves at once."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Status, and seconds after which another try makes sense (0: never)."""

    status: int
    retry_after: float


class Refusal(Enum):
    """Why this box answers itself.  None of these has run."""

    bad_request = Reply(HTTPStatus.BAD_REQUEST, 0)
    no_key = Reply(HTTPStatus.UNAUTHORIZED, 0)
    no_route = Reply(HTTPStatus.NOT_FOUND, 0)
    over_share = Reply(HTTPStatus.TOO_MANY_REQUESTS, SHARE_RETRY_SECONDS)
    no_document = Reply(UNAVAILABLE, STATE_RETRY_SECONDS)
    no_upstream = Reply(UNAVAILABLE, STATE_RETRY_SECONDS)
    no_attempt_left = Reply(UNAVAILABLE, AGAIN_RETRY_SECONDS)
    overloaded = Reply(UNAVAILABLE, LOAD_RETRY_SECONDS)
    stopping = Reply(UNAVAILABLE, ELSEWHERE_RETRY_SECONDS)
    no_time_here = Reply(UNAVAILABLE, ELSEWHERE_RETRY_SECONDS)
    time_over = Reply(UNAVAILABLE, AGAIN_RETRY_SECONDS)
