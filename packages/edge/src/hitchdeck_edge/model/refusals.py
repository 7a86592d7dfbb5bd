"""Reasons for which a box refuses a request, and the responses for them."""

from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus

from hitchdeck_core.quarantine.verdicts import QUARANTINE_SECONDS

UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE

SHARE_RETRY_SECONDS = 2.0
"""Half of a typical share window, after which half of the share is available again.
At 1.0 more retries were refused again, and 0.611 of the owed work was earned instead of
0.642 (one simulation under overload)."""

STATE_RETRY_SECONDS = 0.3
"""Time in which a box that has just started learns configuration and upstreams."""

LOAD_RETRY_SECONDS = 0.25
"""About the time in which an engine reads one long prompt."""

TRANSIENT_RETRY_SECONDS = 0.1
"""Another box, or the next attempt, is likely to succeed."""

OTHER_BOX_RETRY_SECONDS = 0.02
"""Only this box cannot serve the request; another one can at once."""

QUARANTINE_RETRY_SECONDS = QUARANTINE_SECONDS
"""Until the quarantine expires, every box refuses the request."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Response to a refused request.

    Attributes
    ----------
    status
        HTTP status code.
    retry_after
        Seconds after which a retry makes sense; 0 for no retry.
    text
        Body of the response.  It is different for each refusal: members of an
        enumeration with equal values would be aliases of one.
    """

    status: int
    retry_after: float
    text: str


@unique
class Refusal(Enum):
    """Reasons for which this box refuses a request; no upstream ran it."""

    bad_request = Reply(HTTPStatus.BAD_REQUEST, 0, 'bad request')
    no_key = Reply(HTTPStatus.UNAUTHORIZED, 0, 'no key')
    no_route = Reply(HTTPStatus.NOT_FOUND, 0, 'no route')
    over_share = Reply(
        HTTPStatus.TOO_MANY_REQUESTS,
        SHARE_RETRY_SECONDS,
        'over the share of the account',
    )
    # Not 413: a later document may move the route to engines that hold the request.
    too_large = Reply(UNAVAILABLE, 0, 'more tokens than an engine holds')
    no_document = Reply(UNAVAILABLE, STATE_RETRY_SECONDS, 'no document')
    no_upstream = Reply(UNAVAILABLE, STATE_RETRY_SECONDS, 'no upstream')
    paused = Reply(UNAVAILABLE, LOAD_RETRY_SECONDS, 'all upstreams want a pause')
    no_attempt_left = Reply(UNAVAILABLE, TRANSIENT_RETRY_SECONDS, 'no attempt left')
    overloaded = Reply(UNAVAILABLE, LOAD_RETRY_SECONDS, 'overloaded')
    quarantined = Reply(
        UNAVAILABLE,
        QUARANTINE_RETRY_SECONDS,
        'upstreams ended under this request',
    )
    part_quarantined = Reply(
        UNAVAILABLE,
        QUARANTINE_RETRY_SECONDS,
        'upstreams crashed under a part of this prompt',
    )
    version_gone = Reply(
        UNAVAILABLE,
        STATE_RETRY_SECONDS,
        'no upstream of the software version that began the stream',
    )
    version_unknown = Reply(
        UNAVAILABLE,
        STATE_RETRY_SECONDS,
        'software version that began the stream is unknown',
    )
    stopping = Reply(UNAVAILABLE, OTHER_BOX_RETRY_SECONDS, 'stopping')
    no_time_here = Reply(
        UNAVAILABLE, OTHER_BOX_RETRY_SECONDS, 'this box has no time left'
    )
    time_over = Reply(UNAVAILABLE, TRANSIENT_RETRY_SECONDS, 'time over')


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal with the time that was predicted for a retry.

    Attributes
    ----------
    retry_after
        Seconds after which the request can be served.
    """

    refusal: Refusal
    retry_after: float
