"""Prompt reading rate and request duration of the engines of each pool.

Both are estimated from the times of first tokens and of ends of requests.
"""

from hitchdeck_core.ids import PoolName

MIN_MEASURED_TOKENS = 1500
"""Fewest tokens in a sample: the time of shorter reads is mostly fixed overhead."""

DECAY = 0.98
"""Weight that earlier samples keep with each new one: about the last fifty count."""

DEFAULT_READ_RATE = 40_000.0
"""Tokens per second until there are samples.  A lower default would refuse the first
requests, for queues that seem too long."""


DEFAULT_RUN_SECONDS = 1.0
"""Time for which a request occupies an engine slot, until there are samples."""


class EngineSpeed:
    """Reading rate and slot occupancy by pool.

    Attributes
    ----------
    tokens, seconds
        Decayed sums of tokens read, and of the seconds that this took.
    run_seconds
        Moving average of the time for which a request occupies a slot.
    """

    def __init__(self) -> None:
        self.tokens: dict[PoolName, float] = {}
        self.seconds: dict[PoolName, float] = {}
        self.run_seconds: dict[PoolName, float] = {}

    def measure(self, pool: PoolName, tokens: int, seconds: float) -> None:
        """Record the tokens read, and the seconds passed, before a first token."""
        if tokens < MIN_MEASURED_TOKENS or seconds <= 0:
            return
        self.tokens[pool] = self.tokens.get(pool, 0) * DECAY + tokens
        self.seconds[pool] = self.seconds.get(pool, 0) * DECAY + seconds

    def read_rate(self, pool: PoolName) -> float:
        """Return the tokens per second that one engine of a pool reads."""
        if pool not in self.seconds:
            return DEFAULT_READ_RATE
        return self.tokens[pool] / self.seconds[pool]

    def measure_run(self, pool: PoolName, seconds: float) -> None:
        """Record the seconds for which a request occupied a slot."""
        known = self.mean_run_seconds(pool)
        self.run_seconds[pool] = known + (1 - DECAY) * (seconds - known)

    def mean_run_seconds(self, pool: PoolName) -> float:
        """Return the mean seconds for which a request occupies a slot in a pool."""
        return self.run_seconds.get(pool, DEFAULT_RUN_SECONDS)
