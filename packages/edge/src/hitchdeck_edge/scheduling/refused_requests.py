"""Recognizes retries of refused requests.

Load: callers that return after a refusal.  Their goal counts from the first attempt.
"""

from collections import OrderedDict
from collections.abc import Hashable

from hitchdeck_core.clock import Clock
from hitchdeck_edge.model.placing import PlacementQuery

RETRY_MEMORY_SECONDS = 6.0
"""Time for which a refused request is recognized: ``Retry-After`` is 5 s at most."""

MAX_REMEMBERED = 20_000
"""Maximum number of remembered refusals, which bounds memory."""


class RefusedRequests:
    """Arrival times of refused requests, by which retries are recognized.

    A retry has another id, but the account, the size and the last prompt part of the
    refused request.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.arrivals: OrderedDict[Hashable, float] = OrderedDict()

    def add(self, query: PlacementQuery, arrived: float) -> None:
        """Remember a refused request by its first arrival."""
        key = _retry_key(query)
        if key is None:
            return
        self.arrivals[key] = arrived
        self.arrivals.move_to_end(key)
        oldest = next(iter(self.arrivals.values()))
        while len(self.arrivals) > MAX_REMEMBERED or self._is_old(oldest):
            self.arrivals.popitem(last=False)
            oldest = next(iter(self.arrivals.values()), self.now())

    def seconds_since(self, query: PlacementQuery) -> float:
        """Return the seconds since a request first arrived; 0 if it was not refused."""
        arrived = self.arrivals.pop(_retry_key(query), None)
        if arrived is None or self._is_old(arrived):
            return 0
        return self.now() - arrived

    def _is_old(self, arrived: float) -> bool:
        return self.now() - arrived > RETRY_MEMORY_SECONDS


def _retry_key(query: PlacementQuery) -> Hashable:
    prompt = query.prompt
    if prompt is None or not prompt.parts:
        return None
    size = prompt.tokens, prompt.expected_output_tokens
    return query.account, prompt.parts[-1].part_id, size
