"""Hypothesis profiles: ``ci`` repeats the same examples, ``long`` draws more."""

import os

from hypothesis import HealthCheck, settings

_SLOW_IS_FINE = (HealthCheck.too_slow, HealthCheck.data_too_large)

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=_SLOW_IS_FINE,
)
settings.register_profile(
    'long',
    deadline=None,
    max_examples=3000,
    stateful_step_count=80,
    suppress_health_check=_SLOW_IS_FINE,
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
