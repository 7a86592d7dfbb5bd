"""A budget for retries, so that an overloaded fleet is not asked twice."""

_TOKENS_PER_REQUEST = 0.1
_MAX_TOKENS = 10.0


class RetryBudget:
    """Tokens that requests earn and retries spend.

    Retries stay at a tenth of all requests, whatever fails, after a burst
    of ten.
    """

    def __init__(self) -> None:
        self.tokens = _MAX_TOKENS

    def earn(self) -> None:
        """Count a request."""
        self.tokens = min(_MAX_TOKENS, self.tokens + _TOKENS_PER_REQUEST)

    def try_spend(self) -> bool:
        """Take leave for one retry, or say that there is none left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
