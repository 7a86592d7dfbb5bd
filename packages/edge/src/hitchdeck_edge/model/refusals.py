"""Why a box answers a request itself, and what it says."""

from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus

from hitchdeck_core.quarantine.verdicts import QUARANTINE_SECONDS

UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE

SHARE_RETRY_SECONDS = 2.0
"""Half of a usual share window: by then half of the share is free.  At 1.0 more
came back to be refused again: 0.611 of what was owed was earned, and not 0.642
(one play under overload)."""

STATE_RETRY_SECONDS = 0.3
"""A box that has just started knows documents and upstreams by then."""

LOAD_RETRY_SECONDS = 0.25
"""About the time in which an engine reads one long prompt."""

TRANSIENT_RETRY_SECONDS = 0.1
"""Another box, or the next attempt, may well succeed."""

OTHER_BOX_RETRY_SECONDS = 0.02
"""Only this box is in the way: another one serves at once."""

QUARANTINE_RETRY_SECONDS = QUARANTINE_SECONDS
"""Before it is over every box says the same."""


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller is told.

    ``retry_after`` is the seconds after which another try makes sense (0:
    never), ``text`` the answer's text: the refusal's name, so that no two are
    equal, which an enumeration would take for one.
    """

    status: int
    retry_after: float
    text: str


@unique
class Refusal(Enum):
    """Why this box answers itself.  None of these has run."""

    bad_request = Reply(HTTPStatus.BAD_REQUEST, 0, 'bad request')
    no_key = Reply(HTTPStatus.UNAUTHORIZED, 0, 'no key')
    no_route = Reply(HTTPStatus.NOT_FOUND, 0, 'no route')
    over_share = Reply(
        HTTPStatus.TOO_MANY_REQUESTS,
        SHARE_RETRY_SECONDS,
        'over the share of the account',
    )
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
    stopping = Reply(UNAVAILABLE, OTHER_BOX_RETRY_SECONDS, 'stopping')
    no_time_here = Reply(
        UNAVAILABLE, OTHER_BOX_RETRY_SECONDS, 'this box has no time left'
    )
    time_over = Reply(UNAVAILABLE, TRANSIENT_RETRY_SECONDS, 'time over')
