"""Replay of responses stored in the ledger."""

from hitchdeck_router.dispatch.ledger import RunStatus, StoredResponse
from hitchdeck_router.errors import OutcomeUnknownError, RouterError

_CONFLICT = 409
_GONE = 410


class ResponseNotStoredError(RouterError):
    """Raised when a request has run, but its response was too large to store."""

    ran = 'ran'


def check_replayable(stored: StoredResponse) -> None:
    """Raise an error if a stored outcome has no response to replay.

    Raises
    ------
    OutcomeUnknownError
        The outcome of the earlier run is unknown.
    ResponseNotStoredError
        The request has run, and its response was not stored.
    """
    if stored.ran is not RunStatus.ran:
        raise OutcomeUnknownError(
            _CONFLICT,
            'outcome-unknown',
            'a request with this key was sent on; how it ended is not known',
        )
    if not stored.body and stored.content_type:
        raise ResponseNotStoredError(
            _GONE,
            'answer-not-kept',
            'the request ran; its answer was too large to keep',
        )
