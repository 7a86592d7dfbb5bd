"""Least-squares fit of the time until a first event, for the engines of one pool."""

DECAY = 0.999
"""Weight that earlier samples keep with each new one: about the last thousand count,
two to three seconds of a loaded pool."""

MAX_RATIO = 2.5
"""Bound of a measured time relative to the expected one, in either direction, so that
events that a box noticed late have a bounded influence."""

PRIOR_LATENCY = 0.02
"""Fixed latency in seconds until there are samples."""

PRIOR_RUNNING_TOKENS = 40
"""Cost of a running request until there are samples, in tokens to be read."""

PRIOR_WEIGHT = 200.0
"""Weight of the prior: that of about two samples that took a tenth of a second."""

NOISE_SECONDS = 0.03
"""Time that is added to the expected one to weigh a sample: the noise of short times
does not shrink with them."""

RIDGE = 1e-6
"""Relative addition to the diagonal before the equations are solved."""

KILO = 1000
"""Tokens and running requests are scaled, so that the priors weigh alike."""

TENS = 10

Row = tuple[float, float, float]


class PoolFit:
    """Decayed sums of samples, and the fit by them.

    Attributes
    ----------
    latency, per_token, per_running
        Seconds that are fixed, for each token to be read, and for each running request.
    """

    def __init__(self, per_token: float) -> None:
        self.latency = PRIOR_LATENCY
        self.per_token = per_token
        self.per_running = PRIOR_RUNNING_TOKENS * per_token
        self.prior = (PRIOR_LATENCY, per_token * KILO, self.per_running * TENS)
        # The normal equations: three rows of the matrix, with the right side last.
        self.rows = [
            [
                *(PRIOR_WEIGHT if column == row else 0 for column in range(3)),
                PRIOR_WEIGHT * prior,
            ]
            for row, prior in enumerate(self.prior)
        ]

    def add(self, row: Row, seconds: float, expected: float) -> None:
        """Add a sample.

        Parameters
        ----------
        row
            Factor of the latency, tokens to be read, and running requests, the last
            two multiplied with the engine's factor of reading times.
        expected
            Seconds by the present fit.
        """
        bounded = min(expected * MAX_RATIO, max(expected / MAX_RATIO, seconds))
        weight = 1 / (expected + NOISE_SECONDS) ** 2
        scaled = (row[0], row[1] / KILO, row[2] / TENS, bounded)
        for place, sums in enumerate(self.rows):
            factor = weight * scaled[place]
            for column, part in enumerate(scaled):
                sums[column] = sums[column] * DECAY + factor * part

    def solve(self) -> None:
        """Update the times; none becomes negative, and reading takes some time."""
        latency, per_kilo, per_ten = _solved(self.rows)
        prior = self.prior
        self.latency = max(prior[0] / TENS, latency)
        self.per_token = max(prior[1] / TENS, per_kilo) / KILO
        self.per_running = max(0, per_ten) / TENS


def _solved(equations: list[list[float]]) -> list[float]:
    """Solve the normal equations by elimination.

    Their matrix is positive definite, so no pivot is zero; the ridge keeps it so when
    samples have been all alike for long.
    """
    found: list[float] = []
    for row in reversed(_eliminated(equations)):
        # The last unknowns are found first.
        place = len(equations) - 1 - len(found)
        known = zip(row[place + 1 : -1], found, strict=True)
        rest = row[-1] - sum(factor * one for factor, one in known)
        found.insert(0, rest / row[place])
    return found


def _eliminated(equations: list[list[float]]) -> list[list[float]]:
    """Return the equations with zeros below the diagonal."""
    rows = [row.copy() for row in equations]
    for place, row in enumerate(rows):
        row[place] += RIDGE * (1 + row[place])
    for pivot, above in enumerate(rows):
        rows[pivot + 1 :] = [
            _without(pivot, above, lower) for lower in rows[pivot + 1 :]
        ]
    return rows


def _without(pivot: int, above: list[float], lower: list[float]) -> list[float]:
    """Subtract a multiple of an equation from another, to make a column zero."""
    factor = lower[pivot] / above[pivot]
    return [one - factor * other for one, other in zip(lower, above, strict=True)]
