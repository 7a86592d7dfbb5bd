"""Limits of what this process holds of upstreams' responses.

A faulty upstream may send without an end.  Only their number tells its bytes from those
of a large response, so that it is the number that ends the response, not the deadline.
"""

from collections.abc import Callable

from hitchdeck_edge.errors import ResponseTooLongError
from hitchdeck_edge.serving.budgets import ByteBudget, Holding

MAX_RESPONSE_BYTES = 16_777_216
"""Default limit of a body that is held until it is complete; a caller's body has the
same limit."""

MAX_EVENT_BYTES = 1_048_576
"""Limit of one event of a stream, which holds some tokens."""

MAX_SKIPPED_BYTES = 1_048_576
"""Limit of a body that is read only to reach what follows it."""

UNCOUNTED_BYTES = 65_536
"""Size up to which a body is not counted in the budget: nearly all are smaller."""

DEFAULT_BUDGET_BYTES = 67_108_864
"""Limit of all bodies that a process holds, if its memory limit is not stated."""


def _do_nothing() -> None:
    """Release nothing."""


class HeldResponse:
    """What is held of one response.

    Attributes
    ----------
    release
        Releases it if the budget runs short.
    holding
        Its share of the budget; ``None`` while it is too small to be counted.
    is_evicted
        Whether it was released since the budget ran short.
    """

    def __init__(self, limits: 'ResponseLimits', account: str, limit: int) -> None:
        self.limits = limits
        self.account = account
        self.limit = limit
        self.release: Callable[[], None] = _do_nothing
        self.holding: Holding | None = None
        self.is_evicted = False

    def check_size(self, size: int) -> None:
        """Count the bytes that are held now.

        Raises
        ------
        ResponseTooLongError
            They are too many, for one response or for all that are held.
        """
        if size > self.limit:
            self.limits.give_up(f'over {self.limit} bytes without an end')
        if self.holding is None and size > UNCOUNTED_BYTES:
            self.holding = self.limits.budget.open(self.account, self._evict)
        if self.holding is not None:
            self.limits.budget.resize(self.holding, size)
        if self.is_evicted:
            raise ResponseTooLongError('lack of memory')

    def close(self) -> None:
        """Stop counting."""
        if self.holding is not None:
            self.limits.budget.close(self.holding)
            self.holding = None

    def _evict(self) -> None:
        self.is_evicted = True
        self.limits.given_up += 1
        self.release()


class ResponseLimits:
    """Limits of the responses of upstreams, and how many exceeded one.

    Attributes
    ----------
    limit
        Maximum size of a body that is held until it is complete, in bytes.
    budget
        Counts what is held of all responses.
    given_up
        Number of responses that were given up for their size.
    """

    def __init__(
        self, limit: int = MAX_RESPONSE_BYTES, budget: ByteBudget | None = None
    ) -> None:
        self.limit = limit
        self.budget = budget or ByteBudget(DEFAULT_BUDGET_BYTES)
        self.given_up = 0

    def open(self, account: str) -> HeldResponse:
        """Return the count of a body that is held until it is complete."""
        return HeldResponse(self, account, self.limit)

    def open_event(self, account: str) -> HeldResponse:
        """Return the count of an event that is held until it is complete."""
        return HeldResponse(self, account, MAX_EVENT_BYTES)

    def check_skipped(self, size: int) -> None:
        """Raise ``ResponseTooLongError`` if a body is too long to be skipped."""
        if size > MAX_SKIPPED_BYTES:
            self.give_up(f'over {MAX_SKIPPED_BYTES} bytes to be skipped')

    def check_relayed(self, size: int) -> None:
        """Raise ``ResponseTooLongError`` if a relayed body has no end in sight."""
        if size > self.limit:
            self.give_up(f'over {self.limit} bytes without an end')

    def give_up(self, reason: str) -> None:
        """Count a response that is given up, and raise ``ResponseTooLongError``."""
        self.given_up += 1
        raise ResponseTooLongError(reason)


def limits_within(budget: ByteBudget, limit: int) -> ResponseLimits:
    """Return limits that share a budget, or have their own if that has no limit."""
    return ResponseLimits(limit, budget if budget.limit else None)
