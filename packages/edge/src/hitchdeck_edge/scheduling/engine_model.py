"""Learned speed of each engine of a pool.

Load that it answers: engines of one pool that differ by 1.3 to 2.2 times without
announcing it, or take 2.5 times as long for half a second.

The time from sending a request until its first event is taken for a fixed latency, a
time for each token that the engine reads until then, and a time for each request that
runs there.  These three are fitted for the pool; each engine has a factor for the
latency and one for the other two.  The fixed latency includes the delays of boxes and
links, so that what short prompts take is not mistaken for slow reading.
"""

import math

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import PoolName, UpstreamName
from hitchdeck_edge.scheduling.engine_speed import (
    DEFAULT_READ_RATE,
    DEFAULT_RUN_SECONDS,
)
from hitchdeck_edge.scheduling.pool_fit import PoolFit

MAX_RESIDUAL = 0.5
"""Bound of one sample's influence on a factor, as a logarithm of the ratio of measured
to expected time.  A busy box delays some events by tenths of a second; beyond the bound
they count like a time that is 1.65 times as long as expected."""

MIN_GAIN = 0.03
"""Weight of a new sample in the factors of an engine: the last thirty or so count, two
to three seconds under load."""

FACTOR_CONTRAST = 0.6
"""How much more a sample counts for the factor of reading if it was mostly reading, and
for that of the latency if it was short.  An engine that is slow in one is mostly slow
in both, so each sample counts for both; long ones correct what short ones say."""

NEW_POOL_SAMPLES = 8
"""Weight of the pool in the factors of an engine, in samples, until it is known how
much the engines differ."""

SAMPLE_VARIANCE = 0.15
"""Variance of the logarithm of measured to expected time, between samples of one
engine.  With the variance between engines it gives the number of samples after which
an engine's own times count more than those of its pool."""

MIN_PRIOR_SAMPLES = 2.0
"""Least weight of the pool in the factors of an engine, in samples: no single sample
decides what is expected of a new engine."""

MAX_FACTOR_LOG = 1.5
"""Bound of the logarithms of the factors of an engine, 4.5 times in either direction.
Engines of one pool were described as differing by 2.2 times."""

MIN_VARIANCE = 0.004
"""Least assumed variance between engines: a sixteenth is common between equal ones."""

FAST_GAIN = 0.35
"""Weight of a new sample in the deviation of an engine from its usual speed: three
samples in turn show a stall."""

MAX_DEVIATION = 1.2
"""Bound of one sample's influence on the deviation: 3.3 times the usual time."""

STALL_DEVIATION = 0.45
"""Deviation from which an engine counts as stalled: 1.6 times its usual time.  Single
late samples don't reach it."""

STALL_SECONDS = 0.5
"""Time after the last sample for which an engine counts as stalled.  Stalls of 0.6 s
were described; a stalled engine is sent little, so few samples show that one ended."""

REFIT_SAMPLES = 32
"""Samples of a pool between two fits: a fit costs as much as four placements."""

LOGGED_SAMPLES = 300
"""Samples between two log lines: a scheduler of a loaded fleet writes one at each
cleanup, a box that only places its own requests one in a minute."""

MS = 1000

SURE_SAMPLES = 20
"""Samples of an engine from which its factors count in the variance between engines."""


class EnginePace:
    """What is known of the speed of one engine.

    Attributes
    ----------
    read_log, latency_log
        Logarithms of its factors of the times of its pool.
    samples
        Number of first events that were measured.
    deviation, deviated
        Recent logarithm of measured to expected time, and when it was last measured.
    per_token, per_running, latency
        Seconds for each token read, for each running request, and fixed, at its usual
        speed.
    run_seconds
        Moving average of the time for which a request occupies a slot.
    """

    __slots__ = (
        'deviated',
        'deviation',
        'latency',
        'latency_log',
        'per_running',
        'per_token',
        'read_log',
        'run_seconds',
        'samples',
    )

    def __init__(self, fit: PoolFit, run_seconds: float) -> None:
        self.read_log = 0.0
        self.latency_log = 0.0
        self.samples = 0
        self.deviation = 0.0
        self.deviated = 0.0
        self.run_seconds = run_seconds
        self.apply(fit)

    def apply(self, fit: PoolFit) -> None:
        """Update its times by those of its pool and its own factors."""
        factor = math.exp(self.read_log)
        self.per_token = fit.per_token * factor
        self.per_running = fit.per_running * factor
        self.latency = fit.latency * math.exp(self.latency_log)

    def stall_factor(self, now: float) -> float:
        """Return the factor by which it is slower now than usual."""
        if self.deviation < STALL_DEVIATION or now - self.deviated > STALL_SECONDS:
            return 1
        return math.exp(self.deviation)

    def learn(self, residual: float, reading: float, gain: float, now: float) -> None:
        """Update factors and deviation.

        Parameters
        ----------
        residual
            Logarithm of measured to expected time.
        reading
            Part of the expected time that was not fixed latency, from 0 to 1.
        """
        bounded = min(MAX_RESIDUAL, max(-MAX_RESIDUAL, residual))
        contrast = FACTOR_CONTRAST * (2 * reading - 1)
        self.read_log = _clamped(self.read_log + gain * (1 + contrast) * bounded)
        self.latency_log = _clamped(self.latency_log + gain * (1 - contrast) * bounded)
        self.samples += 1
        if now - self.deviated > STALL_SECONDS:
            self.deviation = 0.0
        recent = min(MAX_DEVIATION, max(-MAX_DEVIATION, residual))
        self.deviation += FAST_GAIN * (recent - self.deviation)
        self.deviated = now


def _clamped(factor_log: float) -> float:
    return min(MAX_FACTOR_LOG, max(-MAX_FACTOR_LOG, factor_log))


class PoolPace:
    """What is known of the speed of the engines of one pool.

    Attributes
    ----------
    prior_samples
        Number of samples for which the pool counts in the factors of a new engine.
    run_seconds
        Moving average of the time for which a request occupies a slot.
    uneven
        Whether the engines are known to differ in speed.
    """

    def __init__(self) -> None:
        self.uneven = False
        self.fit = PoolFit(1 / DEFAULT_READ_RATE)
        self.engines: dict[UpstreamName, EnginePace] = {}
        self.samples = 0
        self.prior_samples = float(NEW_POOL_SAMPLES)
        self.run_seconds = DEFAULT_RUN_SECONDS

    def new_engine(self, name: UpstreamName) -> EnginePace:
        """Return a new engine, of which only its pool is known."""
        self.engines[name] = EnginePace(self.fit, self.run_seconds)
        return self.engines[name]

    def refit(self) -> None:
        """Fit the times of the pool, and update those of the engines."""
        self.fit.solve()
        sure = [one for one in self.engines.values() if one.samples >= SURE_SAMPLES]
        if sure:
            self._center(sure)
        for one in self.engines.values():
            one.apply(self.fit)

    def _center(self, sure: list[EnginePace]) -> None:
        """Make the mean of the factors 1, or they and the fit could drift apart."""
        read = sum(one.read_log for one in sure) / len(sure)
        latency = sum(one.latency_log for one in sure) / len(sure)
        for one in sure:
            one.read_log -= read
            one.latency_log -= latency
        squares = sum(one.read_log**2 for one in sure)
        variance = max(MIN_VARIANCE, squares / len(sure))
        self.prior_samples = max(MIN_PRIOR_SAMPLES, SAMPLE_VARIANCE / variance)
        self.uneven = variance > MIN_VARIANCE


class EngineModel:
    """Learned speeds of the engines of all pools.

    Attributes
    ----------
    paces
        What is known of each engine that was considered or measured.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.pools: dict[PoolName, PoolPace] = {}
        self.paces: dict[UpstreamName, EnginePace] = {}
        self.logged_samples = 0

    def pool(self, name: PoolName) -> PoolPace:
        """Return what is known of a pool."""
        known = self.pools.get(name)
        if known is None:
            known = PoolPace()
            self.pools[name] = known
        return known

    def engine(self, name: UpstreamName, pool: PoolName) -> EnginePace:
        """Return what is known of an engine; at first, what is known of its pool."""
        known = self.paces.get(name)
        if known is None:
            known = self.pool(pool).new_engine(name)
            self.paces[name] = known
        return known

    def measure(
        self,
        name: UpstreamName,
        pool_name: PoolName,
        ahead: tuple[float, int],
        seconds: float,
    ) -> None:
        """Learn from the time until a first event.

        Parameters
        ----------
        ahead
            Tokens that the engine had to read until then, and requests that ran.
        """
        if seconds <= 0:
            return
        tokens, running = ahead
        pool = self.pool(pool_name)
        engine = self.engine(name, pool_name)
        reading = engine.per_token * tokens + engine.per_running * running
        expected = engine.latency + reading
        residual = math.log(seconds / expected)
        pool.fit.add(
            (
                math.exp(engine.latency_log),
                tokens * math.exp(engine.read_log),
                running * math.exp(engine.read_log),
            ),
            seconds,
            expected,
        )
        gain = max(MIN_GAIN, 1 / (pool.prior_samples + engine.samples))
        engine.learn(residual, reading / expected, gain, self.now())
        pool.samples += 1
        if pool.samples % REFIT_SAMPLES == 0:
            pool.refit()
        else:
            engine.apply(pool.fit)

    def measure_run(
        self, name: UpstreamName, pool_name: PoolName, seconds: float
    ) -> None:
        """Learn from the time for which a request occupied a slot."""
        pool = self.pool(pool_name)
        engine = self.engine(name, pool_name)
        engine.run_seconds += MIN_GAIN * (seconds - engine.run_seconds)
        pool.run_seconds += MIN_GAIN / 4 * (seconds - pool.run_seconds)

    def keep(self, names: set[UpstreamName]) -> None:
        """Drop all other engines, and log what is known of the pools."""
        for name in self.paces.keys() - names:
            self.paces.pop(name)
        samples = sum(pool.samples for pool in self.pools.values())
        logged = samples >= self.logged_samples + LOGGED_SAMPLES
        for pool_name, pool in self.pools.items():
            for name in pool.engines.keys() - names:
                pool.engines.pop(name)
            if logged and pool.engines:
                self.logged_samples = samples
                self._log(pool_name, pool)

    def _log(self, name: PoolName, pool: PoolPace) -> None:
        engines = pool.engines.values()
        factors = sorted(math.exp(one.read_log) for one in engines)
        now = self.now()
        logs.info(
            'engine speeds',
            pool=name,
            engines=len(factors),
            samples=pool.samples,
            sample_age=round(now - max(one.deviated for one in engines), 2),
            tokens_per_s=round(1 / pool.fit.per_token),
            latency_ms=round(pool.fit.latency * MS, 1),
            running_ms=round(pool.fit.per_running * MS, 3),
            fastest=round(factors[0], 2),
            slowest=round(factors[-1], 2),
            stalled=sum(one.stall_factor(now) > 1 for one in engines),
        )
