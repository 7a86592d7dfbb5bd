"""Combined log lines for requests that were rejected because of overload."""

import asyncio

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import RequestId
from hitchdeck_core.loop_load import PERCENT, loop_lag, loop_utilization
from hitchdeck_edge.model.refusals import Refusal

MAX_IDS = 64
"""Maximum number of ids in one line."""

MAX_DELAY_SECONDS = 0.25
"""Maximum delay from a rejection to its log line."""


class RejectionLog:
    """Collects the ids of rejected requests until the next log line."""

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.ids: list[RequestId] = []
        self.since = 0.0

    def add(self, request: RequestId) -> None:
        """Record a rejection."""
        if not self.ids:
            self.since = self.now()
            loop = asyncio.get_running_loop()
            loop.call_later(MAX_DELAY_SECONDS, self.flush)
        self.ids.append(request)
        if len(self.ids) >= MAX_IDS:
            self.flush()

    def flush(self) -> None:
        """Write the line."""
        if not self.ids:
            return
        reply = Refusal.no_time_here
        logs.info(
            'requests rejected',
            outcome=reply.name,
            status=reply.value.status,
            requests=self.ids,
            count=len(self.ids),
            seconds=round(self.now() - self.since, 3),
            busy_percent=round(PERCENT * loop_utilization()),
            lag=round(loop_lag(), 3),
        )
        self.ids = []
