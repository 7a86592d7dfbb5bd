"""Answers that the ledger kept."""

from hitchdeck_router.dispatch.ledger import RunStatus, StoredResponse
from hitchdeck_router.errors import OutcomeUnknownError, RouterError

_CONFLICT = 409
_GONE = 410


class ResponseNotStoredError(RouterError):
    """Raised when a request ran, but its answer was too large to keep."""

    ran = 'ran'


def check_replayable(stored: StoredResponse) -> None:
    """Raise the error that stands in the place of a kept answer, if any.

    Raises
    ------
    OutcomeUnknownError
        The earlier run ended without anybody knowing how.
    AnswerNotKeptError
        It ran, and its answer is gone.
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
