"""Retry budget: limits the extra load of retries on an overloaded fleet."""

_TOKENS_PER_REQUEST = 0.1
_MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that requests fill and retries drain.

    Retries are limited to a tenth of all requests, after a burst of ten.
    """

    def __init__(self) -> None:
        self.tokens = _MAX_TOKENS

    def earn(self) -> None:
        """Add the tokens of one request."""
        self.tokens = min(_MAX_TOKENS, self.tokens + _TOKENS_PER_REQUEST)

    def try_spend(self) -> bool:
        """Take the token for one retry; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
