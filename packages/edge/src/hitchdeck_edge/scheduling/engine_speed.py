"""How fast the engines of a pool read prompts, and how long requests run there.

Both are learned from first events and ends.
"""

from hitchdeck_core.ids import PoolName

MIN_MEASURED_TOKENS = 1500
"""Shorter reads tell more of the engine's fixed times than of its pace."""

DECAY = 0.98
"""Weight kept by the past at each measurement: some fifty of them count."""

DEFAULT_READ_RATE = 40_000.0
"""Tokens a second, until something was measured: what an engine of today
reads.  Too low a figure would refuse the first requests of all."""


DEFAULT_RUN_SECONDS = 1.0
"""How long a request holds a place, until some have ended."""


class EngineSpeed:
    """Tokens read a second, and seconds that a place is held, by pool."""

    def __init__(self) -> None:
        self.tokens: dict[PoolName, float] = {}
        self.seconds: dict[PoolName, float] = {}
        self.run_seconds: dict[PoolName, float] = {}

    def measure(self, pool: PoolName, tokens: int, seconds: float) -> None:
        """Note that so many tokens were read before a first token came."""
        if tokens < MIN_MEASURED_TOKENS or seconds <= 0:
            return
        self.tokens[pool] = self.tokens.get(pool, 0) * DECAY + tokens
        self.seconds[pool] = self.seconds.get(pool, 0) * DECAY + seconds

    def read_rate(self, pool: PoolName) -> float:
        """Return tokens read a second by one engine of a pool."""
        if pool not in self.seconds:
            return DEFAULT_READ_RATE
        return self.tokens[pool] / self.seconds[pool]

    def measure_run(self, pool: PoolName, seconds: float) -> None:
        """Note that a request held a place for so long."""
        known = self.mean_run_seconds(pool)
        self.run_seconds[pool] = known + (1 - DECAY) * (seconds - known)

    def mean_run_seconds(self, pool: PoolName) -> float:
        """Return how long a request holds a place at an engine of a pool."""
        return self.run_seconds.get(pool, DEFAULT_RUN_SECONDS)
