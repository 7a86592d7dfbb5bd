"""Play the scheduler on many drawn deployments: ``python -m bench.lab``."""

from collections.abc import Callable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from functools import partial
from random import Random
from statistics import fmean
from types import MappingProxyType

import fire

from bench.lab.deployment import Deployment, draw_deployment
from bench.lab.judge import Verdict
from bench.lab.loads import load_a, load_b
from bench.lab.play import Play
from hitchdeck_core import logs
from hitchdeck_edge.model.mechanisms import Mechanisms

LOADS: Mapping[str, Callable[[Random], Deployment]] = MappingProxyType(
    {
        'quiet': partial(draw_deployment, quiet=True),
        'busy': partial(draw_deployment, quiet=False),
        'a': load_a,
        'b': load_b,
    }
)


def play_one(seed: int, without: str, load: str) -> Verdict:
    """Return what one drawn play was worth, with one mechanism switched off."""
    logs.silence()
    deployment = LOADS[load](Random(f'{seed} deployment'))
    mechanisms = Mechanisms(**({without: False} if without else {}))
    return Play(deployment, str(seed), mechanisms).run()


def main(
    seeds: int = 14,
    first: int = 1,
    jobs: int = 2,
    without: str = '',
    loads: str = 'quiet busy',
) -> None:
    """Print the mean worth over drawn plays of each load.

    Parameters
    ----------
    seeds
        Plays of each sort.
    first
        First seed.
    jobs
        Processes to use.
    without
        Mechanism to switch off: a field of ``Mechanisms``.
    loads
        Names of ``LOADS``; ``a`` and ``b`` are those of the design page.
    """
    numbers = range(first, first + seeds)
    with ProcessPoolExecutor(jobs) as pool:
        for load in loads.split():
            runs = [pool.submit(play_one, seed, without, load) for seed in numbers]
            _print(load, [run.result() for run in runs])


def _print(name: str, verdicts: list[Verdict]) -> None:
    means = {
        field: fmean(asdict(one)[field] for one in verdicts)
        for field in asdict(verdicts[0])
    }
    print(name, ' '.join(f'{field} {mean:.3f}' for field, mean in means.items()))


if __name__ == '__main__':
    fire.Fire(main)
